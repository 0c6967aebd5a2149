import type { AdmissionControl, AdmissionDecision } from '../admission/index.js'
import { isForeignAccount } from '../accounts/index.js'
import { DEFAULT_GANG_TIMES, getLargestGang, type GangTimes } from '../dispatch/index.js'
import type { JobSpecification, JobState, JobSubmission } from '../jobs/index.js'
import { decodeProgress } from '../jobs/index.js'
import { BatchedLog } from '../shared/BatchedLog.js'
import type { Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'
import type { TableLimits } from '../table/TableLimits.js'
import type { Condition, Operation, TableService, Transaction, TransactionOutcome } from '../table/TableService.js'
import type { TransactionRepeater } from '../table/TransactionRepeater.js'
import type { InstanceMetrics } from './InstanceMetrics.js'
import {
  createRefusedJobValue, getAccountName, getCancelKey, getRefusalTime, isFinishedJob, JOB_TABLE, PROGRESS_TABLE
} from './jobRows.js'
import type { OwnerApi, OwnerJobState, OwnerPeer, StoreOutcome } from './OwnerPeer.js'
import type { QueueConfiguration } from './SiteConfiguration.js'
import { createSubmissionOperations } from './submissionRows.js'

/** The outcome of a submission. */
export type SubmitOutcome =
  /** The job is stored, by this request or by an earlier copy of it. */
  | { kind: 'accepted' }
  /** A job with this identifier belongs to another client account. */
  | { kind: 'foreign' }
  /** The job is certainly not stored and will not run unless it is submitted again. */
  | { kind: 'rejected', retryAfterSeconds: number }
  /** The job is not stored because of the load, and will not run unless it is submitted again. */
  | { kind: 'refused', retryAfterSeconds: number }
  /** The job can never run, whatever the load, and is not stored. */
  | { kind: 'unservable', reason: string }
  /** The job may or may not be stored; submitting it again is safe. */
  | { kind: 'unknown' }

/** The outcome of a job lookup. */
export type StateOutcome =
  | { kind: 'known', state: JobState }
  | { kind: 'missing' }
  /** The job belongs to another client account. */
  | { kind: 'foreign' }
  | { kind: 'unavailable' }

/** The outcome of a cancellation. */
export type CancelOutcome = { kind: 'cancelled' } | { kind: 'missing' } | { kind: 'foreign' } | { kind: 'unavailable' }

/** How long a caller waits for a response; no call is made for it afterwards. */
export interface CallerWait {
  /** Time that remains when the gateway is called. */
  milliseconds: number
  /** Time since the head of the request has arrived; 0 by default. */
  elapsedMilliseconds?: number
  /** Returns whether the caller has closed its connection. */
  hasDisconnected (): boolean
}

/** Options of a gateway. */
export interface JobGatewayOptions {
  tableService: TableService
  /** Sends the repeats, on other connections than the first sends; `tableService` by default. */
  repeatTable?: TableService
  /** Repeats submissions and cancellations while responses are overdue; each is sent once at a time by default. */
  repeater?: TransactionRepeater
  tableLimits: TableLimits
  peer: OwnerPeer
  metrics: InstanceMetrics
  /** The owner's calls in this process, used while it is the owner. */
  ownerApi: OwnerApi
  isOwner (): boolean
  getOwnerAddress (): string | null
  /** Decides which jobs are refused because of the load; none by default. */
  admission?: AdmissionControl
  /** The time limits of gangs; those of `DEFAULT_GANG_TIMES` by default. */
  gangTimes?: GangTimes
  clock: Clock
  logger: Logger
}

/**
 * Bounds of the retry delay that a rejected caller is given, which equals the time the store has been unavailable:
 * an outage that has lasted long is likely to go on, and callers make only a few attempts.
 */
const SHORTEST_RETRY_AFTER_SECONDS = 1
const LONGEST_RETRY_AFTER_SECONDS = 4
const RETRY_DELAY_MILLISECONDS = 120
/** Time that the last attempt leaves for the response to reach the caller. */
const ANSWER_MARGIN_MILLISECONDS = 250

/** How long a write without a response is repeated before the owner is asked to store it. */
const REPEAT_LIMIT_MILLISECONDS = 300

/** Covers storing a refusal, and storing the job if the refusal fails. */
const REFUSAL_MILLISECONDS = 2000
/**
 * Bounds how far the clocks of two instances differ: a request is later than a refusal only by more than this. Refused
 * callers are asked to wait longer.
 */
const CLOCK_DIFFERENCE_MILLISECONDS = 2000
/** The delay for the caller of a copy of a request that another instance has refused. */
const REFUSED_COPY_RETRY_SECONDS = 4

/** Accepts, cancels and looks up jobs for callers, in any process of the system. */
export class JobGateway {
  /** Monotonic time of the first failed submission since the last one that was stored. */
  private storeFailingSince: number | null = null

  private readonly waitingCounts: BatchedLog
  private readonly refusals: BatchedLog

  private constructor (private readonly options: JobGatewayOptions) {
    this.waitingCounts = BatchedLog.create({ ...options, message: 'waiting jobs answered' })
    this.refusals = BatchedLog.create({ ...options, message: 'submission refused' })
  }

  /**
   * Creates a gateway.
   * @param options The store, the owner and the clock.
   * @returns The gateway.
   */
  static create (options: JobGatewayOptions): JobGateway {
    return new JobGateway(options)
  }

  /**
   * Stores a job, which the owner then reads from the store.
   * @param jobId The caller's identifier of the job.
   * @param specification The specification sent by the caller.
   * @param queue The queue.
   * @param wait How long the caller waits.
   * @param accountName The client account of the caller; null without one.
   * @returns Whether the job is stored, not stored, possibly stored, or can never run.
   */
  async submit (
    jobId: string, specification: JobSpecification, queue: QueueConfiguration, wait: CallerWait,
    accountName: string | null = null
  ): Promise<SubmitOutcome> {
    const { clock, metrics } = this.options
    const unservableReason = this.findUnservableGang(specification)
    if (unservableReason !== null) return this.recordUnservable(jobId, queue, unservableReason)
    const since = clock.monotonicMilliseconds()
    // A request whose body arrives slowly is no later one than a copy of it that was refused meanwhile.
    const elapsed = this.options.admission === undefined ? 0 : wait.elapsedMilliseconds ?? 0
    const acceptedAtMilliseconds = Math.round(clock.wallMilliseconds() - elapsed)
    const submission = createSubmission({ jobId, specification, queue, accountName, acceptedAtMilliseconds })
    const decision = this.decideAdmission(submission, wait)
    const isRefused = decision.kind === 'refused' && await this.storeRefusal(jobId)
    const milliseconds = wait.milliseconds - (clock.monotonicMilliseconds() - since)
    const outcome = isRefused
      ? this.recordRefusal(submission, decision)
      : await this.storeUntilSettled(submission, { ...wait, milliseconds })
    metrics.submissions.inc({ outcome: outcome.kind })
    metrics.submissionSeconds.observe((clock.monotonicMilliseconds() - since) / 1000)
    return outcome
  }

  /**
   * Looks up the state of a job in the owner's memory, or in the store when the owner does not respond.
   * @param jobId The job.
   * @param wait How long the caller waits.
   * @param accountName The client account of the caller; null without one.
   * @returns The state, or that the job is missing or cannot be looked up.
   */
  async getState (jobId: string, wait: CallerWait, accountName: string | null = null): Promise<StateOutcome> {
    const isExpired = this.createExpiryCheck(wait)
    if (isExpired()) return this.abandonLookup(jobId)
    const ownerState = await this.getStateFromOwner(jobId, accountName)
    if (ownerState === 'foreign') return { kind: 'foreign' }
    if (ownerState !== null && ownerState !== 'unknown') return { kind: 'known', state: ownerState }
    if (isExpired()) return this.abandonLookup(jobId)
    const { tableService } = this.options
    const progress = await tableService.read({ table: PROGRESS_TABLE, key: jobId })
    if (progress.kind !== 'ok') return { kind: 'unavailable' }
    const row = progress.value === null ? null : decodeProgress(progress.value.value)
    if (isForeignAccount(accountName, row?.account)) return { kind: 'foreign' }
    if (row?.state !== undefined) return { kind: 'known', state: row.state }
    if (row !== null) return { kind: 'known', state: 'running' }
    if (isExpired()) return this.abandonLookup(jobId)
    const job = await tableService.read({ table: JOB_TABLE, key: jobId })
    if (job.kind !== 'ok') return { kind: 'unavailable' }
    if (job.value === null || getRefusalTime(job.value.value) !== null) return { kind: 'missing' }
    if (isForeignAccount(accountName, getAccountName(job.value.value))) return { kind: 'foreign' }
    if (!isFinishedJob(job.value.value)) return { kind: 'known', state: 'pending' }
    if (isExpired()) return this.abandonLookup(jobId)
    // The job ended between the read of its progress and the read of its row.
    return await this.readFinalState(jobId)
  }

  /**
   * Requests the cancellation of a job.
   * @param jobId The job.
   * @param wait How long the caller waits.
   * @param accountName The client account of the caller; null without one.
   * @returns `cancelled` when the request is durable, `missing` when there is no such job, `unavailable` otherwise.
   */
  async cancel (jobId: string, wait: CallerWait, accountName: string | null = null): Promise<CancelOutcome> {
    const { clock, logger } = this.options
    const isExpired = this.createExpiryCheck(wait)
    const end = clock.monotonicMilliseconds() + wait.milliseconds - ANSWER_MARGIN_MILLISECONDS
    do {
      if (isExpired()) break
      let outcome = await this.storeCancellation(jobId, accountName, () => !isExpired())
      const address = this.getRemoteOwnerAddress()
      if ((outcome === 'unknown' || outcome === 'not-stored') && address !== null && !isExpired()) {
        outcome = await this.options.peer.storeCancellation(address, jobId, accountName)
      }
      if (outcome === 'stored') {
        logger.info('job cancelled', { job: jobId })
        return { kind: 'cancelled' }
      }
      if (outcome === 'missing' || outcome === 'foreign') return { kind: outcome }
      await this.pause(RETRY_DELAY_MILLISECONDS)
    } while (clock.monotonicMilliseconds() < end)
    logger.warn('cancellation not confirmed by the store', { job: jobId })
    return { kind: 'unavailable' }
  }

  /**
   * Counts the jobs of a queue that have not started yet.
   * @param queueName The queue.
   * @returns The number, or null when no owner responds or none has read the jobs recently.
   */
  async countWaiting (queueName: string): Promise<number | null> {
    const { isOwner, ownerApi, getOwnerAddress, peer, clock } = this.options
    const since = clock.monotonicMilliseconds()
    const isOwn = isOwner()
    const address = isOwn ? null : getOwnerAddress()
    let waiting = isOwn ? ownerApi.countWaiting(queueName) : null
    if (address !== null) waiting = await peer.countWaiting(address, queueName)
    const milliseconds = Math.round(clock.monotonicMilliseconds() - since)
    this.waitingCounts.add({ queue: queueName, waiting, isOwn, address, milliseconds })
    return waiting
  }

  /** Returns why a gang of a job can never start, whoever is the owner; null when there is no such gang. */
  private findUnservableGang ({ steps }: JobSpecification): string | null {
    const { gangTimes = DEFAULT_GANG_TIMES } = this.options
    const largestGang = getLargestGang(gangTimes)
    const index = steps.findIndex(({ gang, taskCount }) => gang && taskCount > largestGang)
    if (index < 0) return null
    return `step ${index} is a gang of ${steps[index].taskCount} tasks; at most ${largestGang} can start ` +
      `within the ${gangTimes.timeoutMilliseconds} ms for which the members of a gang wait for each other`
  }

  private recordUnservable (
    jobId: string, { name, priority }: QueueConfiguration, reason: string
  ): SubmitOutcome {
    const { metrics, logger } = this.options
    metrics.refusedSubmissions.inc({ priority, reason: 'gang-too-large' })
    metrics.submissions.inc({ outcome: 'unservable' })
    logger.info('job rejected', { job: jobId, queue: name, reason })
    return { kind: 'unservable', reason }
  }

  private decideAdmission (submission: JobSubmission, wait: CallerWait): AdmissionDecision {
    const { admission } = this.options
    if (admission === undefined || wait.milliseconds < REFUSAL_MILLISECONDS) return { kind: 'admitted' }
    return admission.decide(submission)
  }

  /**
   * Stores that a job is refused because of the load. Another instance may have stored an earlier copy of the
   * submission, or its write may still be on the way: a refusal is true only with a row that no such write replaces.
   * @returns Whether the row is stored, so that the job certainly is not.
   */
  private async storeRefusal (jobId: string): Promise<boolean> {
    const { clock } = this.options
    const put = async (condition: Condition): Promise<TransactionOutcome> => {
      const value = createRefusedJobValue(clock.wallMilliseconds())
      const operation: Operation = { kind: 'put', table: JOB_TABLE, key: jobId, value, condition }
      return await this.transact('submission', { operations: [operation] }, () => false)
    }
    const outcome = await put({ kind: 'absent' })
    if (outcome.kind !== 'conflict') return outcome.kind === 'committed'
    // Only the row of an earlier refusal is replaced; any other one means that the job is stored.
    if (outcome.current === null || getRefusalTime(outcome.current.value) === null) return false
    return (await put({ kind: 'version', version: outcome.current.version })).kind === 'committed'
  }

  private recordRefusal (
    { jobId, queueName, priority }: JobSubmission, decision: Extract<AdmissionDecision, { kind: 'refused' }>
  ): SubmitOutcome {
    const { load: { aheadMilliseconds, excessShare, fills }, summaryAge, epoch } = decision
    const retryAfterSeconds = Math.ceil(decision.retryAfterMilliseconds / 1000)
    this.options.metrics.refusedSubmissions.inc({ priority, reason: 'useless' })
    this.refusals.add({
      job: jobId,
      queue: queueName,
      priority,
      fills,
      aheadMilliseconds,
      excessShare: Math.round(excessShare * 100) / 100,
      summaryAgeMilliseconds: Math.round(summaryAge),
      epoch,
      retryAfterSeconds
    })
    return { kind: 'refused', retryAfterSeconds }
  }

  private async storeUntilSettled (submission: JobSubmission, wait: CallerWait): Promise<SubmitOutcome> {
    const { clock, logger } = this.options
    const { jobId, queueName } = submission
    const isExpired = this.createExpiryCheck(wait)
    const end = clock.monotonicMilliseconds() + wait.milliseconds - ANSWER_MARGIN_MILLISECONDS
    let mayBeStored = false
    for (;;) {
      if (isExpired()) {
        // This is no rejection, because an earlier copy of the request may be stored.
        logger.info('submission abandoned', { job: jobId, reason: 'the caller has stopped waiting' })
        return { kind: 'unknown' }
      }
      let outcome = await this.storeSubmission(submission, () => !isExpired())
      const address = this.getRemoteOwnerAddress()
      if (outcome !== 'stored' && address !== null && !isExpired()) {
        // The store may be unavailable to this process and still respond to the owner.
        mayBeStored ||= outcome === 'unknown'
        outcome = await this.options.peer.storeSubmission(address, submission)
      }
      if (outcome === 'stored') {
        this.storeFailingSince = null
        logger.info('job accepted', { job: jobId, queue: queueName })
        return { kind: 'accepted' }
      }
      if (outcome === 'foreign') return { kind: 'foreign' }
      if (outcome === 'refused') return { kind: 'refused', retryAfterSeconds: REFUSED_COPY_RETRY_SECONDS }
      this.storeFailingSince ??= clock.monotonicMilliseconds()
      mayBeStored ||= outcome === 'unknown'
      if (!mayBeStored) {
        logger.warn('job rejected', { job: jobId, reason: 'the store is unavailable to this process and to the owner' })
        return { kind: 'rejected', retryAfterSeconds: this.getRetryAfterSeconds() }
      }
      if (clock.monotonicMilliseconds() + RETRY_DELAY_MILLISECONDS >= end) {
        logger.warn('job may be stored', { job: jobId, reason: 'the store did not respond' })
        return { kind: 'unknown' }
      }
      await this.pause(RETRY_DELAY_MILLISECONDS)
    }
  }

  private async getStateFromOwner (jobId: string, accountName: string | null): Promise<OwnerJobState> {
    const { isOwner, ownerApi, getOwnerAddress, peer } = this.options
    if (isOwner()) return ownerApi.getJobState(jobId, accountName)
    const address = getOwnerAddress()
    return address === null ? null : await peer.getJobState(address, jobId, accountName)
  }

  private async readFinalState (jobId: string): Promise<StateOutcome> {
    const progress = await this.options.tableService.read({ table: PROGRESS_TABLE, key: jobId })
    const state = progress.kind === 'ok' && progress.value !== null
      ? decodeProgress(progress.value.value).state
      : undefined
    return state === undefined ? { kind: 'unavailable' } : { kind: 'known', state }
  }

  /**
   * Stores a submission; it is repeated only while a response is overdue. A repeat is safe, because the row is written
   * only if the store has none of this job, and stays there when the job has ended.
   * @param submission The submission.
   * @param mayRepeat Returns whether the write may be repeated; by default it is sent once, as for a peer that waits.
   * @returns The outcome, which is also `stored` when an earlier copy is stored, `foreign` when the stored job with its
   * identifier belongs to another client account, and `refused` when a copy of this request was refused.
   */
  async storeSubmission (submission: JobSubmission, mayRepeat: () => boolean = () => false): Promise<StoreOutcome> {
    const outcome = await this.transactSubmission(submission, { kind: 'absent' }, mayRepeat)
    if (outcome.kind !== 'conflict' || outcome.current === null) return getStoreOutcome(outcome)
    const { value, version } = outcome.current
    const refusedAt = getRefusalTime(value)
    const { accountName = null, acceptedAtMilliseconds } = submission
    if (refusedAt === null) return isForeignAccount(accountName, getAccountName(value)) ? 'foreign' : 'stored'
    if (acceptedAtMilliseconds <= refusedAt + CLOCK_DIFFERENCE_MILLISECONDS) return 'refused'
    // The row of a refusal gives way to a later request, unless another one has replaced it.
    return getStoreOutcome(await this.transactSubmission(submission, { kind: 'version', version }, mayRepeat))
  }

  private async transactSubmission (
    submission: JobSubmission, condition: Condition, mayRepeat: () => boolean
  ): Promise<TransactionOutcome> {
    const operations = createSubmissionOperations(submission, this.options.tableLimits, condition)
    return await this.transact('submission', { operations }, mayRepeat)
  }

  /**
   * Stores a cancellation; it is repeated only while a response is overdue. A repeat is safe, because it is written
   * only to the version of the job that was read.
   * @param jobId The job.
   * @param accountName The client account of the caller; null without one.
   * @param mayRepeat Returns whether the write may be repeated; by default it is sent once, as for a peer that waits.
   * @returns The outcome: also `stored` when the job has ended, and `missing` when there is no such job.
   */
  async storeCancellation (
    jobId: string, accountName: string | null = null, mayRepeat: () => boolean = () => false
  ): Promise<StoreOutcome> {
    const { tableService } = this.options
    const job = await tableService.read({ table: JOB_TABLE, key: jobId })
    if (job.kind !== 'ok') return 'not-stored'
    if (job.value === null || getRefusalTime(job.value.value) !== null) return 'missing'
    if (isForeignAccount(accountName, getAccountName(job.value.value))) return 'foreign'
    if (isFinishedJob(job.value.value)) return 'stored'
    const outcome = await this.transact('cancellation', {
      operations: [
        { kind: 'check', table: JOB_TABLE, key: jobId, condition: { kind: 'version', version: job.value.version } },
        { kind: 'put', table: JOB_TABLE, key: getCancelKey(jobId), value: {}, condition: { kind: 'any' } }
      ]
    }, mayRepeat)
    return outcome.kind === 'committed' ? 'stored' : 'unknown'
  }

  private async transact (
    write: 'submission' | 'cancellation', transaction: Transaction, mayRepeat: () => boolean
  ): Promise<TransactionOutcome> {
    const { tableService, repeatTable = tableService, repeater } = this.options
    if (repeater === undefined) return await tableService.transact(transaction)
    const { outcome } = await repeater.transact({
      write,
      transaction,
      send: async sendIndex => await (sendIndex === 0 ? tableService : repeatTable).transact(transaction),
      mayRepeat,
      limitMilliseconds: REPEAT_LIMIT_MILLISECONDS
    })
    return outcome
  }

  private createExpiryCheck (wait: CallerWait): () => boolean {
    const { clock } = this.options
    const end = clock.monotonicMilliseconds() + wait.milliseconds
    return () => wait.hasDisconnected() || clock.monotonicMilliseconds() >= end
  }

  private abandonLookup (jobId: string): StateOutcome {
    this.options.logger.info('lookup abandoned', { job: jobId, reason: 'the caller has stopped waiting' })
    return { kind: 'unavailable' }
  }

  private getRetryAfterSeconds (): number {
    const now = this.options.clock.monotonicMilliseconds()
    const outageSeconds = Math.ceil((now - (this.storeFailingSince ?? now)) / 1000)
    return Math.min(LONGEST_RETRY_AFTER_SECONDS, Math.max(SHORTEST_RETRY_AFTER_SECONDS, outageSeconds))
  }

  private getRemoteOwnerAddress (): string | null {
    return this.options.isOwner() ? null : this.options.getOwnerAddress()
  }

  private pause (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}

function createSubmission ({ jobId, specification, queue, accountName, acceptedAtMilliseconds }: {
  jobId: string
  specification: JobSpecification
  queue: QueueConfiguration
  accountName: string | null
  acceptedAtMilliseconds: number
}): JobSubmission {
  return {
    jobId,
    queueName: queue.name,
    ...accountName !== null && { accountName },
    serviceName: queue.serviceName,
    priority: queue.priority,
    attemptLimit: queue.attemptLimit,
    stretch: queue.stretch,
    targetLatencyMilliseconds: queue.targetLatencyMilliseconds,
    acceptedAtMilliseconds,
    specification
  }
}

function getStoreOutcome ({ kind }: TransactionOutcome): StoreOutcome {
  if (kind === 'committed') return 'stored'
  return kind === 'unavailable' ? 'not-stored' : 'unknown'
}
