import type { JobSpecification, JobState, JobSubmission } from '../jobs/index.js'
import { decodeProgress } from '../jobs/index.js'
import type { Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'
import type { TableService, TransactionOutcome } from '../table/TableService.js'
import type { InstanceMetrics } from './InstanceMetrics.js'
import { encodeSubmission, getCancelKey, isFinishedJob, JOB_TABLE, PROGRESS_TABLE } from './jobRows.js'
import type { OwnerAnswers, OwnerJobState, OwnerPeer } from './OwnerPeer.js'
import type { QueueConfiguration } from './SiteConfiguration.js'

/** What became of a submission. */
export type SubmitOutcome =
  /** Stored, now or by an earlier copy of the request. */
  | { kind: 'accepted' }
  /** Certainly not stored: the job will not run unless it is submitted again. */
  | { kind: 'rejected', retryAfterSeconds: number }
  /** It may or may not be stored; submitting the same job again is safe. */
  | { kind: 'unknown' }

/** What is known of a job. */
export type StateOutcome =
  | { kind: 'known', state: JobState }
  | { kind: 'missing' }
  | { kind: 'unavailable' }

/** What became of a cancellation. */
export type CancelOutcome = { kind: 'cancelled' } | { kind: 'missing' } | { kind: 'unavailable' }

/** Options of a gateway. */
export interface JobGatewayOptions {
  tableService: TableService
  peer: OwnerPeer
  metrics: InstanceMetrics
  /** The owner in this process, when it is the owner. */
  ownAnswers: OwnerAnswers
  isOwner (): boolean
  getOwnerAddress (): string | null
  clock: Clock
  logger: Logger
}

/** An outage of the store rarely ends sooner; callers that return together are spread by their own jitter. */
const RETRY_AFTER_SECONDS = 1
const RETRY_DELAY_MILLISECONDS = 120
/** The last try must leave time for the answer to reach the caller. */
const ANSWER_MARGIN_MILLISECONDS = 250

/** Accepts, cancels and looks up jobs for callers, on any process. */
export class JobGateway {
  private constructor (private readonly options: JobGatewayOptions) {}

  /**
   * Creates a gateway.
   * @param options The store and the owner.
   * @returns The gateway.
   */
  static create (options: JobGatewayOptions): JobGateway {
    return new JobGateway(options)
  }

  /**
   * Stores a job; the owner learns of it from the store.
   * @param jobId The caller's identifier of the job.
   * @param specification What the caller asked for.
   * @param queue The queue.
   * @param deadlineMilliseconds How long the caller waits.
   * @returns Whether the job is stored.
   */
  async submit (
    jobId: string, specification: JobSpecification, queue: QueueConfiguration, deadlineMilliseconds: number
  ): Promise<SubmitOutcome> {
    const { clock, metrics } = this.options
    const since = clock.monotonicMilliseconds()
    const outcome = await this.storeUntilSettled(jobId, specification, queue, deadlineMilliseconds)
    metrics.submissions.inc({ outcome: outcome.kind })
    metrics.submissionSeconds.observe((clock.monotonicMilliseconds() - since) / 1000)
    return outcome
  }

  /**
   * Looks up the state of a job: from the owner's memory, or from the store when the owner gives no answer.
   * @param jobId The job.
   * @returns The state, or that the job is missing or cannot be looked up.
   */
  async getState (jobId: string): Promise<StateOutcome> {
    const told = await this.askOwner(jobId)
    if (told !== null && told !== 'unknown') return { kind: 'known', state: told }
    const { tableService } = this.options
    const progress = await tableService.read({ table: PROGRESS_TABLE, key: jobId })
    if (progress.kind !== 'ok') return { kind: 'unavailable' }
    const row = progress.value === null ? null : decodeProgress(progress.value.value)
    if (row?.state !== undefined) return { kind: 'known', state: row.state }
    if (row !== null) return { kind: 'known', state: 'running' }
    const job = await tableService.read({ table: JOB_TABLE, key: jobId })
    if (job.kind !== 'ok') return { kind: 'unavailable' }
    if (job.value === null) return { kind: 'missing' }
    if (!isFinishedJob(job.value.value)) return { kind: 'known', state: 'pending' }
    // The job ended between the two reads.
    return await this.readFinalState(jobId)
  }

  /**
   * Asks for a job to be cancelled; the request is durable when this says so.
   * @param jobId The job.
   * @param deadlineMilliseconds How long the caller waits.
   * @returns Whether the job will be stopped, is missing, or cannot be reached.
   */
  async cancel (jobId: string, deadlineMilliseconds: number): Promise<CancelOutcome> {
    const { clock, tableService, logger } = this.options
    const end = clock.monotonicMilliseconds() + deadlineMilliseconds - ANSWER_MARGIN_MILLISECONDS
    do {
      const job = await tableService.read({ table: JOB_TABLE, key: jobId })
      if (job.kind === 'ok' && job.value === null) {
        const state = await this.getState(jobId)
        if (state.kind === 'missing') return { kind: 'missing' }
        if (state.kind === 'known') return { kind: 'cancelled' }
      } else if (job.kind === 'ok' && job.value !== null && isFinishedJob(job.value.value)) {
        return { kind: 'cancelled' }
      } else if (job.kind === 'ok' && job.value !== null) {
        const outcome = await tableService.transact({
          operations: [
            { kind: 'check', table: JOB_TABLE, key: jobId, condition: { kind: 'version', version: job.value.version } },
            { kind: 'put', table: JOB_TABLE, key: getCancelKey(jobId), value: {}, condition: { kind: 'any' } }
          ]
        })
        if (outcome.kind === 'committed') {
          logger.info('job cancelled', { job: jobId })
          return { kind: 'cancelled' }
        }
      }
      await this.pause(RETRY_DELAY_MILLISECONDS)
    } while (clock.monotonicMilliseconds() < end)
    logger.warn('cancellation is not durable', { job: jobId })
    return { kind: 'unavailable' }
  }

  /**
   * Counts the jobs of a queue that wait for their first start.
   * @param queueName The queue.
   * @returns The number, or null when no owner answers.
   */
  async countWaiting (queueName: string): Promise<number | null> {
    const { isOwner, ownAnswers, getOwnerAddress, peer } = this.options
    if (isOwner()) return ownAnswers.countWaiting(queueName)
    const address = getOwnerAddress()
    return address === null ? null : await peer.countWaiting(address, queueName)
  }

  private async storeUntilSettled (
    jobId: string, specification: JobSpecification, queue: QueueConfiguration, deadlineMilliseconds: number
  ): Promise<SubmitOutcome> {
    const { clock, logger } = this.options
    const submission: JobSubmission = {
      jobId,
      queueName: queue.name,
      serviceName: queue.serviceName,
      priority: queue.priority,
      attemptLimit: queue.attemptLimit,
      stretch: queue.stretch,
      targetLatencyMilliseconds: queue.targetLatencyMilliseconds,
      acceptedAtMilliseconds: Math.round(clock.wallMilliseconds()),
      specification
    }
    const end = clock.monotonicMilliseconds() + deadlineMilliseconds - ANSWER_MARGIN_MILLISECONDS
    let mayBeStored = false
    for (;;) {
      const outcome = await this.store(submission)
      if (outcome.kind === 'committed' || outcome.kind === 'conflict') {
        logger.info('job accepted', { job: jobId, queue: queue.name, copy: outcome.kind === 'conflict' })
        return { kind: 'accepted' }
      }
      mayBeStored ||= outcome.kind === 'unknown'
      if (!mayBeStored) {
        logger.warn('job rejected', { job: jobId, reason: outcome.reason })
        return { kind: 'rejected', retryAfterSeconds: RETRY_AFTER_SECONDS }
      }
      if (clock.monotonicMilliseconds() + RETRY_DELAY_MILLISECONDS >= end) {
        logger.warn('job may be stored', { job: jobId, reason: outcome.reason })
        return { kind: 'unknown' }
      }
      await this.pause(RETRY_DELAY_MILLISECONDS)
    }
  }

  private async askOwner (jobId: string): Promise<OwnerJobState> {
    const { isOwner, ownAnswers, getOwnerAddress, peer } = this.options
    if (isOwner()) return ownAnswers.getJobState(jobId)
    const address = getOwnerAddress()
    return address === null ? null : await peer.getJobState(address, jobId)
  }

  private async readFinalState (jobId: string): Promise<StateOutcome> {
    const progress = await this.options.tableService.read({ table: PROGRESS_TABLE, key: jobId })
    const state = progress.kind === 'ok' && progress.value !== null
      ? decodeProgress(progress.value.value).state
      : undefined
    return state === undefined ? { kind: 'unavailable' } : { kind: 'known', state }
  }

  private async store (submission: JobSubmission): Promise<TransactionOutcome> {
    return await this.options.tableService.transact({
      operations: [{
        kind: 'put',
        table: JOB_TABLE,
        key: submission.jobId,
        value: encodeSubmission(submission),
        condition: { kind: 'absent' }
      }]
    })
  }

  private pause (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}
