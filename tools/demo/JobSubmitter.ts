import { setTimeout as delay } from 'node:timers/promises'
import type { JobSubmission, SubmissionOutcome, TaskReport } from '../../src/scheduler/SchedulerApi.js'
import type { RunReport } from '../../stand-ins/workers/RunLog.js'
import { callJson, type JsonResponse } from './httpJson.js'

/** The options of a job submitter. */
export interface JobSubmitterOptions {
  /** The URLs of the schedulers, in the order in which the submitter tries them. */
  schedulerUrls: string[]
}

/** A job of the demo, without the fields that are the same for all jobs. */
export interface DemoJob {
  team: string
  kind: string
  key: string
  count: number
  processors: number
  memoryMegabytes?: number
  runMilliseconds: number
  dataCentre?: string
}

const RETRY_INTERVAL_MILLISECONDS = 250
/** Longer than the takeover of a shard. */
const DEFAULT_DEADLINE_MILLISECONDS = 20_000

/** Submits jobs and records the accepted tasks. */
export class JobSubmitter {
  /** The job of each accepted task, by the identifier of the task. */
  readonly acceptedTasks = new Map<string, DemoJob>()
  private readonly schedulerUrls: string[]

  private constructor (options: JobSubmitterOptions) {
    this.schedulerUrls = [...options.schedulerUrls]
  }

  /**
   * Creates a submitter that has submitted no job.
   * @param options The options of the submitter.
   * @returns The submitter.
   */
  static create (options: JobSubmitterOptions): JobSubmitter {
    return new JobSubmitter(options)
  }

  /**
   * Submits a job repeatedly under the same key until a scheduler accepts it or the deadline passes.
   * @param job The job.
   * @param deadlineMilliseconds How long to retry.
   * @returns The outcome of the last attempt.
   */
  async submit (job: DemoJob, deadlineMilliseconds = DEFAULT_DEADLINE_MILLISECONDS): Promise<SubmissionOutcome> {
    const deadline = performance.now() + deadlineMilliseconds
    let outcome: SubmissionOutcome = { kind: 'not-run', reason: 'not sent' }
    for (let attempt = 0; performance.now() < deadline; attempt++) {
      const url = this.schedulerUrls[attempt % this.schedulerUrls.length]
      outcome = toSubmissionOutcome(await callJson('POST', `${url}/jobs`, createSubmission(job)))
      if (outcome.kind === 'accepted') {
        for (const taskId of outcome.taskIds) this.acceptedTasks.set(taskId, job)
        return outcome
      }
      await delay(RETRY_INTERVAL_MILLISECONDS)
    }
    return outcome
  }

  /**
   * Counts the runs of tasks that were not reported as accepted. The count is a violation only if no submission had
   * an unknown outcome.
   * @param report The workers' log.
   * @returns The number of runs.
   */
  countRunsNotAccepted (report: RunReport): number {
    return report.runs.filter(run => !this.acceptedTasks.has(run.taskId)).length
  }

  /**
   * Reads the state of a task from the first scheduler that reports it.
   * @param taskId The identifier of the task.
   * @returns The report, or null when no scheduler reports the task.
   */
  async getTask (taskId: string): Promise<TaskReport | null> {
    for (const url of this.schedulerUrls) {
      const response = await callJson<TaskReport>('GET', `${url}/tasks/${taskId}`)
      if (response.kind === 'ok' && response.statusCode === 200) return response.body
    }
    return null
  }

  /**
   * Waits until the workers have completed all given tasks or the deadline passes.
   * @param taskIds The identifiers of the tasks.
   * @param readRuns Reads the workers' log.
   * @param deadlineMilliseconds How long to wait.
   * @returns The identifiers of the tasks that have not completed.
   */
  async waitUntilFinished (
    taskIds: string[],
    readRuns: () => Promise<RunReport>,
    deadlineMilliseconds: number
  ): Promise<string[]> {
    const deadline = performance.now() + deadlineMilliseconds
    for (;;) {
      const finished = getCompletedTaskIds(await readRuns())
      const unfinished = taskIds.filter(taskId => !finished.has(taskId))
      if (unfinished.length === 0 || performance.now() > deadline) return unfinished
      await delay(RETRY_INTERVAL_MILLISECONDS)
    }
  }
}

/**
 * Returns the tasks that have a completed run.
 * @param report The workers' log.
 * @returns The identifiers of the tasks.
 */
export function getCompletedTaskIds (report: RunReport): Set<string> {
  return new Set(report.runs.filter(run => run.ending === 'completed').map(run => run.taskId))
}

/** Converts a response: an accepted job has its tasks in the body, any other outcome is a header and a problem body. */
function toSubmissionOutcome (response: JsonResponse<SubmissionOutcome | { detail?: string }>): SubmissionOutcome {
  if (response.kind === 'failed') return { kind: 'unknown', jobId: '', reason: response.reason }
  if ('kind' in response.body && response.body.kind === 'accepted') return response.body
  const reason = ('detail' in response.body && response.body.detail) || `status ${response.statusCode}`
  const isNotRun = response.headers['papayamoor-outcome'] === 'not-run'
  return isNotRun ? { kind: 'not-run', reason } : { kind: 'unknown', jobId: '', reason }
}

function createSubmission (job: DemoJob): JobSubmission {
  const { team, kind, key, count, processors, memoryMegabytes = 1000, runMilliseconds, dataCentre = null } = job
  return {
    team,
    key,
    kind,
    count,
    size: { processors, memoryMegabytes, accelerators: 0 },
    dataCentre,
    payload: { runMilliseconds }
  }
}
