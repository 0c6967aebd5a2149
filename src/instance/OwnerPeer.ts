import type { JobState, JobSubmission } from '../jobs/index.js'
import type { HttpCaller } from '../shared/HttpCaller.js'

/** What a probe of the owner showed. */
export type ProbeOutcome =
  | { kind: 'alive', isOwner: boolean, renewalAge: number }
  /** The machine answers and no process listens. */
  | { kind: 'refused' }
  | { kind: 'silent', reason: string }

/** What an owner answers about a job; `unknown` when it does not know the job, null when it did not answer. */
export type OwnerJobState = JobState | 'unknown' | null

/** What became of a submission or cancellation that a process tried to store. */
export type StoreOutcome = 'stored' | 'not-stored' | 'unknown' | 'missing'

/** The answers of an owner to its peers. */
export interface OwnerApi {
  /** Stores a submission for a peer that the store turns away. */
  storeSubmission (submission: JobSubmission): Promise<StoreOutcome>
  /** Stores a cancellation for a peer that the store turns away. */
  storeCancellation (jobId: string): Promise<StoreOutcome>
  probe (): { isOwner: boolean, renewalAge: number }
  getJobState (jobId: string): OwnerJobState
  countWaiting (queueName: string): number | null
}

/** A probe that takes longer goes to a process that is frozen, off or cut off. */
const PROBE_TIMEOUT_MILLISECONDS = 600
/** An owner answers from memory; the store is asked when it takes longer. */
const STATE_TIMEOUT_MILLISECONDS = 400
/** The owner tries once to store what a peer sends, within one timeout of a store call. */
const STORE_TIMEOUT_MILLISECONDS = 1300
/** Only this failure shows that no process listens; connections of a process that lives may be reset. */
const REFUSED_CODE = 'ECONNREFUSED'

/** The calls from one process of the system to the owner. */
export interface OwnerPeer {
  /** Asks a process whether it owns the shard. */
  probe (address: string): Promise<ProbeOutcome>
  /** Asks the owner for the state of a job. */
  getJobState (address: string, jobId: string): Promise<OwnerJobState>
  /** Asks the owner how many jobs of a queue wait; null when it did not answer. */
  countWaiting (address: string, queueName: string): Promise<number | null>
  /** Asks the owner to store a submission. */
  storeSubmission (address: string, submission: JobSubmission): Promise<StoreOutcome>
  /** Asks the owner to store a cancellation. */
  storeCancellation (address: string, jobId: string): Promise<StoreOutcome>
}

/** The calls to the owner as JSON over HTTP. */
export class HttpOwnerPeer implements OwnerPeer {
  private constructor (private readonly caller: HttpCaller) {}

  /**
   * Creates the client.
   * @param options The caller to use.
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
      const body = JSON.parse(answer.body.toString()) as { isOwner: boolean, renewalAge: number }
      return { kind: 'alive', ...body }
    }
    if (answer.kind === 'not-sent' && answer.reason === REFUSED_CODE) return { kind: 'refused' }
    return { kind: 'silent', reason: answer.kind === 'answered' ? `status ${answer.statusCode}` : answer.reason }
  }

  async getJobState (address: string, jobId: string): Promise<OwnerJobState> {
    const answer = await this.caller.call({
      address, method: 'GET', path: `/jobs/${jobId}`, timeoutMilliseconds: STATE_TIMEOUT_MILLISECONDS
    })
    if (answer.kind !== 'answered' || answer.statusCode !== 200) return null
    return (JSON.parse(answer.body.toString()) as { state: OwnerJobState }).state
  }

  async countWaiting (address: string, queueName: string): Promise<number | null> {
    const answer = await this.caller.call({
      address,
      method: 'GET',
      path: `/queues/${encodeURIComponent(queueName)}`,
      timeoutMilliseconds: STATE_TIMEOUT_MILLISECONDS
    })
    if (answer.kind !== 'answered' || answer.statusCode !== 200) return null
    return (JSON.parse(answer.body.toString()) as { waiting: number | null }).waiting
  }

  async storeSubmission (address: string, submission: JobSubmission): Promise<StoreOutcome> {
    return await this.store(address, '/submissions', submission)
  }

  async storeCancellation (address: string, jobId: string): Promise<StoreOutcome> {
    return await this.store(address, '/cancellations', { jobId })
  }

  private async store (address: string, path: string, body: object): Promise<StoreOutcome> {
    const answer = await this.caller.call({
      address,
      method: 'POST',
      path,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS
    })
    if (answer.kind === 'not-sent') return 'not-stored'
    if (answer.kind !== 'answered' || answer.statusCode !== 200) return 'unknown'
    return (JSON.parse(answer.body.toString()) as { outcome: StoreOutcome }).outcome
  }
}
