import { findWaitingTasks, type DispatchEngine } from '../dispatch/index.js'
import type { JobRecord, TaskRecord } from '../jobs/index.js'
import type { Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'

/** Options of a monitor. */
export interface WaitMonitorOptions {
  engine: DispatchEngine
  clock: Clock
  logger: Logger
  /** Returns why this process starts no tasks now; null when it does. */
  getStartObstacle (): string | null
}

/** Interval of the checks. */
const CHECK_MILLISECONDS = 1000
/** A task for which there is room should start well before this. */
const WAIT_THRESHOLD_MILLISECONDS = 3000
/** Room on fewer workers may be gone before a start arrives. */
const FEWEST_WORKERS_WITH_ROOM = 2
/** The most tasks that one check explains; each one takes a pass over all workers. */
const EXPLAINED_LIMIT = 10
/** The most jobs that one check looks at; the next one continues behind them. */
const JOB_LIMIT = 1000
/** The time after which a task that still waits for the same reason is logged again. */
const REPEAT_MILLISECONDS = 10_000
/** The most tasks whose last line is remembered. */
const REMEMBERED_LIMIT = 1000

/** Logs which tasks wait although workers have room for them, and why. */
export class WaitMonitor {
  private nextCheckAt = -Infinity
  /** The jobs that remain of the last pass over all jobs. */
  private remainingJobs: JobRecord[] = []
  /** The reason and the time of the last line, by the name of the task. */
  private readonly logged = new Map<string, { reason: string, at: number }>()

  private constructor (private readonly options: WaitMonitorOptions) {}

  /**
   * Creates a monitor that has reported nothing.
   * @param options The engine, the clock and the logger.
   * @returns The monitor.
   */
  static create (options: WaitMonitorOptions): WaitMonitor {
    return new WaitMonitor(options)
  }

  /** Checks the engine unless the last check was a moment ago; called at short intervals. */
  check (): void {
    const now = this.options.clock.monotonicMilliseconds()
    if (now < this.nextCheckAt) return
    this.nextCheckAt = now + CHECK_MILLISECONDS
    let explained = 0
    for (const task of findWaitingTasks(this.takeJobs(), now - WAIT_THRESHOLD_MILLISECONDS)) {
      this.report(task, now)
      if (++explained === EXPLAINED_LIMIT) return
    }
  }

  /** Yields jobs behind those of the last check; the jobs that are not read remain for the next one. */
  private * takeJobs (): Generator<JobRecord, void> {
    if (this.remainingJobs.length === 0) this.remainingJobs = [...this.options.engine.jobs.getJobs()].reverse()
    for (let count = 0; count < JOB_LIMIT; count++) {
      const job = this.remainingJobs.pop()
      if (job === undefined) return
      yield job
    }
  }

  private report (task: TaskRecord, now: number): void {
    const { engine, logger, getStartObstacle } = this.options
    const { workersWithRoom, counts, oldestReportMilliseconds } = engine.findWorkerObstacles(task, now)
    if (workersWithRoom < FEWEST_WORKERS_WITH_ROOM) return
    const reason = getStartObstacle() ?? engine.explainWaiting(task, now).reason
    const last = this.logged.get(task.name)
    if (last !== undefined && last.reason === reason && now - last.at < REPEAT_MILLISECONDS) return
    this.remember(task.name, reason, now)
    const { specification } = task.step
    logger.info('task waits', {
      task: task.name,
      reason,
      waitMilliseconds: Math.round(now - task.waitingSince),
      nextAttempt: task.nextAttempt,
      epoch: engine.epoch,
      workersWithRoom,
      obstacles: counts,
      oldestReportMilliseconds,
      processorsMilli: specification.processorsMilli,
      memoryMegabytes: specification.memoryMegabytes,
      accelerators: specification.accelerators,
      fills: specification.fills,
      gang: specification.gang,
      taskCount: specification.taskCount,
      unreconciledWorkers: engine.unreconciled.getExpiries().size
    })
  }

  private remember (taskName: string, reason: string, now: number): void {
    this.logged.delete(taskName)
    this.logged.set(taskName, { reason, at: now })
    const [oldest] = this.logged.keys()
    if (this.logged.size > REMEMBERED_LIMIT) this.logged.delete(oldest)
  }
}
