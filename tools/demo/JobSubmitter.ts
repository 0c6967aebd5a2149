import { setTimeout as delay } from 'node:timers/promises'
import type { JobSubmission, SubmissionOutcome, TaskReport } from '../../src/scheduler/SchedulerApi.js'
import type { RunReport } from '../../stand-ins/workers/RunLog.js'
import { callJson, type JsonResponse } from './httpJson.js'

/** What submitters are made of. */
export interface JobSubmitterOptions {
  /** The schedulers by address, in the order in which they are tried. */
  schedulerUrls: string[]
}

/** A job without the parts that are the same for all. */
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
/** Longer than a takeover of a shard takes. */
const DEFAULT_DEADLINE_MILLISECONDS = 20_000

/** Submits jobs and remembers which tasks were accepted. */
export class JobSubmitter {
  /** The accepted tasks with the job of each. */
  readonly acceptedTasks = new Map<string, DemoJob>()
  private readonly schedulerUrls: string[]

  private constructor (options: JobSubmitterOptions) {
    this.schedulerUrls = [...options.schedulerUrls]
  }

  /**
   * Creates a submitter.
   * @param options What the submitter is made of.
   * @returns The submitter.
   */
  static create (options: JobSubmitterOptions): JobSubmitter {
    return new JobSubmitter(options)
  }

  /**
   * Submits a job under its key until a scheduler accepts it or the deadline passes.
   * @param job The job.
   * @param deadlineMilliseconds How long to try.
   * @returns The last outcome.
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
   * Counts runs of tasks that were never accepted; only meaningful when no submission ended as unknown.
   * @param report The workers' log.
   * @returns The number of runs.
   */
  countRunsNotAccepted (report: RunReport): number {
    return report.runs.filter(run => !this.acceptedTasks.has(run.taskId)).length
  }

  /**
   * Asks any scheduler for a task.
   * @param taskId The task.
   * @returns The report, or null when no scheduler knows the task.
   */
  async getTask (taskId: string): Promise<TaskReport | null> {
    for (const url of this.schedulerUrls) {
      const answer = await callJson<TaskReport>('GET', `${url}/tasks/${taskId}`)
      if (answer.kind === 'ok' && answer.statusCode === 200) return answer.body
    }
    return null
  }

  /**
   * Waits until the workers have run every given task to its end.
   * @param taskIds The tasks.
   * @param readRuns Reads the workers' log.
   * @param deadlineMilliseconds How long to wait.
   * @returns The tasks that have not finished.
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
 * Lists the tasks that ran to their end.
 * @param report The workers' log.
 * @returns The identifiers of the tasks.
 */
export function getCompletedTaskIds (report: RunReport): Set<string> {
  return new Set(report.runs.filter(run => run.ending === 'completed').map(run => run.taskId))
}

/** An accepted job is answered with its tasks, any other outcome with a header and a problem. */
function toSubmissionOutcome (answer: JsonResponse<SubmissionOutcome | { detail?: string }>): SubmissionOutcome {
  if (answer.kind === 'failed') return { kind: 'unknown', jobId: '', reason: answer.reason }
  if ('kind' in answer.body && answer.body.kind === 'accepted') return answer.body
  const reason = ('detail' in answer.body && answer.body.detail) || `status ${answer.statusCode}`
  const isNotRun = answer.headers['papayamoor-outcome'] === 'not-run'
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
