import type { JobState, JobSubmission } from '../jobs/index.js'
import { getTransferMilliseconds } from '../shared/getTransferMilliseconds.js'
import type { HttpCaller } from '../shared/HttpCaller.js'
import type { AccountDescription } from './describeAccounts.js'

/** The outcome of probing the owner. */
export type ProbeOutcome =
  | { kind: 'alive', isOwner: boolean, renewalAge: number }
  /** The machine refused the connection, so no process listens there. */
  | { kind: 'refused' }
  | { kind: 'silent', reason: string }

/**
 * The state of a job as its owner reports it: `unknown` for an unknown job, `foreign` for a job of another client
 * account, null when the owner did not respond.
 */
export type OwnerJobState = JobState | 'unknown' | 'foreign' | null

/** The outcome of storing a submission or a cancellation. */
export type StoreOutcome = 'stored' | 'not-stored' | 'unknown' | 'missing' | 'foreign'

/** The calls that an owner handles for its peers. */
export interface OwnerApi {
  /** Stores a submission for a peer to which the store is unavailable. */
  storeSubmission (submission: JobSubmission): Promise<StoreOutcome>
  /** Stores a cancellation for a peer to which the store is unavailable. */
  storeCancellation (jobId: string, accountName?: string | null): Promise<StoreOutcome>
  probe (): { isOwner: boolean, renewalAge: number }
  getJobState (jobId: string, accountName?: string | null): OwnerJobState
  countWaiting (queueName: string): number | null
  /** Returns the client accounts for operators, or the address of the owner when this process is not the owner. */
  describeAccounts (): AccountsAnswer
}

/** The client accounts, from the owner only. */
export type AccountsAnswer =
  | { kind: 'owner', accounts: AccountDescription[] }
  | { kind: 'not-owner', ownerAddress: string | null }

/** A process that takes longer to respond to a probe counts as paused, stopped or disconnected. */
const PROBE_TIMEOUT_MILLISECONDS = 600
/** The owner responds from memory; when it takes longer than this, the store is read instead. */
const STATE_TIMEOUT_MILLISECONDS = 400
/**
 * Covers the owner's single attempt to store the row, which takes up to one timeout of a store call. The time to send
 * the body to the owner, and from there to the store, is added to that.
 */
const STORE_TIMEOUT_MILLISECONDS = 1300
/** The bytes that are sent for each byte of a body: one to the owner, and at most 4/3 in base64 to the store. */
const SENT_BYTES_PER_BODY_BYTE = 1 + 4 / 3
/** Only this failure shows that no process listens: a live process may also reset connections. */
const REFUSED_CODE = 'ECONNREFUSED'

/** Client of one process for the calls to the owner. */
export interface OwnerPeer {
  /** Returns whether a process responds and owns the shard. */
  probe (address: string): Promise<ProbeOutcome>
  /** Returns the state of a job as the owner reports it to a client account, or to any caller without one. */
  getJobState (address: string, jobId: string, accountName?: string | null): Promise<OwnerJobState>
  /** Returns how many jobs of a queue have not started yet, or null when the owner did not respond or cannot tell. */
  countWaiting (address: string, queueName: string): Promise<number | null>
  /** Sends a submission to the owner, which stores it. */
  storeSubmission (address: string, submission: JobSubmission): Promise<StoreOutcome>
  /** Sends a cancellation to the owner, which stores it. */
  storeCancellation (address: string, jobId: string, accountName?: string | null): Promise<StoreOutcome>
}

/** Client that sends the calls as JSON over HTTP. */
export class HttpOwnerPeer implements OwnerPeer {
  private constructor (private readonly caller: HttpCaller) {}

  /**
   * Creates the client.
   * @param options The HTTP client to use.
   * @returns The client.
   */
  static create (options: { caller: HttpCaller }): HttpOwnerPeer {
    return new HttpOwnerPeer(options.caller)
  }

  async probe (address: string): Promise<ProbeOutcome> {
    const answer = await this.caller.call({
      address, method: 'GET', path: '/owner', timeoutMilliseconds: PROBE_TIMEOUT_MILLISECONDS
    })
    if (answer.kind === 'answered' && answer.statusCode === 200) {
      const { isOwner, renewalAge } = parseObject(answer.body)
      const isValid = typeof isOwner === 'boolean' && typeof renewalAge === 'number'
      return isValid ? { kind: 'alive', isOwner, renewalAge } : { kind: 'silent', reason: 'malformed answer' }
    }
    if (answer.kind === 'not-sent' && answer.reason === REFUSED_CODE) return { kind: 'refused' }
    return { kind: 'silent', reason: answer.kind === 'answered' ? `status ${answer.statusCode}` : answer.reason }
  }

  async getJobState (address: string, jobId: string, accountName: string | null = null): Promise<OwnerJobState> {
    const query = accountName === null ? '' : `?account=${encodeURIComponent(accountName)}`
    const answer = await this.caller.call({
      address, method: 'GET', path: `/jobs/${jobId}${query}`, timeoutMilliseconds: STATE_TIMEOUT_MILLISECONDS
    })
    if (answer.kind !== 'answered' || answer.statusCode !== 200) return null
    const { state } = parseObject(answer.body)
    return typeof state === 'string' ? state as OwnerJobState : null
  }

  async countWaiting (address: string, queueName: string): Promise<number | null> {
    const answer = await this.caller.call({
      address,
      method: 'GET',
      path: `/queues/${encodeURIComponent(queueName)}`,
      timeoutMilliseconds: STATE_TIMEOUT_MILLISECONDS
    })
    if (answer.kind !== 'answered' || answer.statusCode !== 200) return null
    const { waiting } = parseObject(answer.body)
    return typeof waiting === 'number' ? waiting : null
  }

  async storeSubmission (address: string, submission: JobSubmission): Promise<StoreOutcome> {
    return await this.store(address, '/submissions', submission)
  }

  async storeCancellation (address: string, jobId: string, accountName: string | null = null): Promise<StoreOutcome> {
    return await this.store(address, '/cancellations', { jobId, ...accountName !== null && { accountName } })
  }

  private async store (address: string, path: string, body: object): Promise<StoreOutcome> {
    const bytes = Buffer.from(JSON.stringify(body))
    const answer = await this.caller.call({
      address,
      method: 'POST',
      path,
      headers: { 'content-type': 'application/json' },
      body: bytes,
      timeoutMilliseconds:
        STORE_TIMEOUT_MILLISECONDS + getTransferMilliseconds(bytes.length * SENT_BYTES_PER_BODY_BYTE),
      queueTimeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS
    })
    if (answer.kind === 'not-sent') return 'not-stored'
    if (answer.kind !== 'answered' || answer.statusCode !== 200) return 'unknown'
    const { outcome } = parseObject(answer.body)
    return typeof outcome === 'string' ? outcome as StoreOutcome : 'unknown'
  }
}

/** Parses an answer; the fields are absent when it is not a JSON object, as another program may use the address. */
function parseObject (body: Buffer): Record<string, unknown> {
  try {
    const value = JSON.parse(body.toString()) as unknown
    return typeof value === 'object' && value !== null ? value as Record<string, unknown> : {}
  } catch {
    return {}
  }
}
