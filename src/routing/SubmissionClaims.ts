import { createHash } from 'node:crypto'
import type { Clock } from '../shared/Clock.js'
import { createIdentifier } from '../shared/identifiers.js'
import { SettledWriter, type JsonValue, type Row, type TableService } from '../table/index.js'
import { createUnclaimedOutcome, type RequestOutcome, type RoutedRequest } from './RequestOutcome.js'

/** The table of claimed idempotency keys, with rows `<service>:<caller>:<key>`. */
export const SUBMISSION_TABLE = 'submissions'

type StoredOutcome = {
  kind: RequestOutcome['kind']
  statusCode: number
  headers: string[]
  /** In base64; null when the answer was too long to be kept. */
  body: string | null
  reason: string
}

type SubmissionRow = {
  writeId: string
  requestId: string
  /** SHA-256 of method, path and body: a key stands for one request only. */
  digest: string
  outcome: StoredOutcome | null
}

/** The result of claiming a key. */
export type ClaimOutcome =
  /** The request is to be sent by this instance, which then records the outcome. */
  | { kind: 'claimed', record: (outcome: RequestOutcome) => void }
  /** The request is not to be sent; the caller is told this. */
  | { kind: 'settled', outcome: RequestOutcome }

/** Options of the claims. */
export interface SubmissionClaimsOptions {
  tableService: TableService
  clock: Clock
}

/** A store that does not answer within this time is in an outage, and submissions are refused. */
const CLAIM_TIMEOUT_MILLISECONDS = 1000
/** How often a duplicate looks for the outcome of the first request; each look is one read. */
const POLL_INTERVAL_MILLISECONDS = 50
/** Rows are read by every duplicate; longer answers are not kept. */
const MAXIMUM_STORED_BODY_BYTES = 65_536
/** Outages of the store that are longer leave the outcome unknown for duplicates. */
const RECORD_TIMEOUT_MILLISECONDS = 120_000
const RECORD_RETRY_INTERVAL_MILLISECONDS = 500

/** Claims idempotency keys in the table service so that each runs at most once over all entry instances. */
export class SubmissionClaims {
  private readonly writer: SettledWriter
  private readonly pendingRecords = new Set<Promise<void>>()
  private stopped = false

  private constructor (private readonly options: SubmissionClaimsOptions) {
    this.writer = SettledWriter.create(options)
  }

  /**
   * Creates the claims.
   * @param options The table service and the clock.
   * @returns The claims.
   */
  static create (options: SubmissionClaimsOptions): SubmissionClaims {
    return new SubmissionClaims(options)
  }

  /**
   * Claims the key of a request, or finds the outcome of the request that claimed it first.
   * @param request A request with an idempotency key.
   * @returns Whether to send the request, or what to tell the caller.
   */
  async claim (request: RoutedRequest): Promise<ClaimOutcome> {
    const key = `${request.service}:${request.caller}:${request.idempotencyKey ?? ''}`
    const digest = createDigest(request)
    const { clock } = this.options
    for (;;) {
      const writeId = createIdentifier()
      const value: SubmissionRow = { writeId, requestId: request.requestId, digest, outcome: null }
      const remaining = request.deadlineAt - clock.monotonicMilliseconds()
      if (remaining <= 0) return createSettledClaim(createUnclaimedOutcome('the deadline passed'))
      const claimed = await this.writer.transactAndSettle(
        { operations: [{ kind: 'put', table: SUBMISSION_TABLE, key, value, condition: { kind: 'absent' } }] },
        { table: SUBMISSION_TABLE, key, writeId },
        { deadlineMilliseconds: Math.min(remaining, CLAIM_TIMEOUT_MILLISECONDS) })
      if (claimed.kind === 'committed') {
        return { kind: 'claimed', record: outcome => this.record(key, value, outcome) }
      }
      if (claimed.kind !== 'conflict') {
        // A claim of unknown outcome may stand in the store; it is removed so that the key can be used again.
        if (claimed.kind === 'unknown') this.record(key, value, { kind: 'notRun', reason: 'not-sent', detail: '' })
        return createSettledClaim(createUnclaimedOutcome(`table service: ${claimed.reason}`))
      }
      const first = await this.waitForFirstOutcome(key, digest, claimed.current, request.deadlineAt)
      if (first !== null) return createSettledClaim(first)
    }
  }

  /** Waits until all outcomes are recorded or have been given up. */
  async drain (): Promise<void> {
    await Promise.all(this.pendingRecords)
  }

  /** Gives up outcomes that are not recorded yet; duplicates of those are told `unknown`. */
  stop (): void {
    this.stopped = true
  }

  /** Returns the outcome of the first request, or null when its claim was removed and the key is free again. */
  private async waitForFirstOutcome (
    key: string,
    digest: string,
    found: Row | null,
    deadlineAt: number
  ): Promise<RequestOutcome | null> {
    let row = found
    for (;;) {
      if (row === null) return null
      const submission = row.value as SubmissionRow
      if (submission.digest !== digest) {
        return { kind: 'notRun', reason: 'key-reused-for-other-request', detail: 'the key names another request' }
      }
      if (submission.outcome !== null) return restoreOutcome(submission.outcome)
      const { clock, tableService } = this.options
      if (clock.monotonicMilliseconds() + POLL_INTERVAL_MILLISECONDS >= deadlineAt) {
        return { kind: 'unknown', reason: 'claimed-elsewhere', detail: `request ${submission.requestId} claimed the key` }
      }
      await this.wait(POLL_INTERVAL_MILLISECONDS)
      const read = await tableService.read({ table: SUBMISSION_TABLE, key })
      if (read.kind === 'ok') row = read.value
    }
  }

  private record (key: string, claim: SubmissionRow, outcome: RequestOutcome): void {
    const recording = this.recordUntilSettled(key, claim, outcome)
    this.pendingRecords.add(recording)
    recording.finally(() => this.pendingRecords.delete(recording)).catch(() => {})
  }

  /** Records the outcome; a claim whose request did not run is removed. */
  private async recordUntilSettled (key: string, claim: SubmissionRow, outcome: RequestOutcome): Promise<void> {
    const { tableService, clock } = this.options
    const row = { table: SUBMISSION_TABLE, key }
    const end = clock.monotonicMilliseconds() + RECORD_TIMEOUT_MILLISECONDS
    while (!this.stopped && clock.monotonicMilliseconds() < end) {
      const read = await tableService.read(row)
      if (read.kind === 'ok') {
        const submission = read.value?.value as SubmissionRow | undefined
        // Another's claim, or none: there is nothing of ours to record, unless our write is still on its way.
        const isOwnClaim = submission?.writeId === claim.writeId
        if (!isOwnClaim && outcome.kind !== 'notRun') return
        if (isOwnClaim && submission.outcome?.kind === 'answered') return
        if (isOwnClaim && read.value !== null) {
          const condition = { kind: 'version', version: read.value.version } as const
          const value = { ...claim, outcome: storeOutcome(outcome) } as unknown as JsonValue
          const written = await tableService.transact({
            operations: [outcome.kind === 'notRun'
              ? { kind: 'delete', ...row, condition }
              : { kind: 'put', ...row, value, condition }]
          })
          if (written.kind === 'committed') return
        } else if (submission !== undefined || clock.monotonicMilliseconds() > end - RECORD_TIMEOUT_MILLISECONDS / 2) {
          return
        }
      }
      await this.wait(RECORD_RETRY_INTERVAL_MILLISECONDS)
    }
  }

  private wait (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}

function createSettledClaim (outcome: RequestOutcome): ClaimOutcome {
  return { kind: 'settled', outcome }
}

function createDigest (request: RoutedRequest): string {
  const hash = createHash('sha256').update(`${request.method} ${request.path}\n`)
  if (request.body !== null) hash.update(request.body)
  return hash.digest('hex')
}

function storeOutcome (outcome: RequestOutcome): StoredOutcome {
  if (outcome.kind !== 'answered') {
    return { kind: outcome.kind, statusCode: 0, headers: [], body: null, reason: outcome.reason }
  }
  const { statusCode, headers, body } = outcome.response
  const kept = body.length <= MAXIMUM_STORED_BODY_BYTES ? body.toString('base64') : null
  return { kind: 'answered', statusCode, headers, body: kept, reason: '' }
}

function restoreOutcome (stored: StoredOutcome): RequestOutcome {
  if (stored.kind === 'answered' && stored.body !== null) {
    const { statusCode, headers, body } = stored
    return { kind: 'answered', response: { statusCode, headers, body: Buffer.from(body, 'base64') } }
  }
  const detail = stored.kind === 'answered' ? 'it ran once; its answer was too long to be kept' : `first: ${stored.reason}`
  return { kind: 'unknown', reason: 'claimed-elsewhere', detail }
}
