import type { ResourceSize, TaskEnding, TaskRun } from '../../src/workers/WorkerProtocol.js'

/** One run of a task on one worker; a `lost` run ended unreported with its worker process. */
export interface RunInterval extends TaskRun {
  kind: string
  workerId: string
  dataCentre: string
  size: ResourceSize
  /** Wall time in milliseconds. */
  startedAt: number
  /** Wall time in milliseconds, null while the task runs. */
  endedAt: number | null
  ending: TaskEnding | 'lost' | null
}

/** All runs of the workers in one process, with counts of violations. */
export interface RunReport {
  runs: RunInterval[]
  doubleRuns: number
  repeatedCompletions: number
  overCommitments: number
}

/**
 * Counts runs that started before an earlier run of the same task ended.
 * @param runs The runs of one or more processes on one machine, so that their wall times are comparable.
 * @returns The number of runs that overlap an earlier one.
 */
export function countDoubleRuns (runs: RunInterval[]): number {
  let count = 0
  for (const taskRuns of groupByTask(runs)) {
    taskRuns.sort((left, right) => left.startedAt - right.startedAt)
    let latestEnd = -Infinity
    for (const run of taskRuns) {
      if (run.startedAt < latestEnd) count++
      latestEnd = Math.max(latestEnd, run.endedAt ?? Infinity)
    }
  }
  return count
}

/**
 * Counts repeated completions of tasks.
 * @param runs The runs.
 * @returns The number of completions that are not the first one of their task.
 */
export function countRepeatedCompletions (runs: RunInterval[]): number {
  return groupByTask(runs)
    .map(taskRuns => taskRuns.filter(run => run.ending === 'completed').length)
    .reduce((sum, completions) => sum + Math.max(0, completions - 1), 0)
}

/** Records all runs of the workers in one process, to count violations independently of the scheduler. */
export class RunLog {
  private readonly runs: RunInterval[] = []
  private overCommitments = 0

  private constructor () {}

  /**
   * Creates an empty log.
   * @returns The log.
   */
  static create (): RunLog {
    return new RunLog()
  }

  /**
   * Records the start of a run.
   * @param run The run; the caller sets its end time and outcome later.
   */
  add (run: RunInterval): void {
    this.runs.push(run)
  }

  /** Records a start that exceeds the capacity of its worker. */
  addOverCommitment (): void {
    this.overCommitments++
  }

  /**
   * Returns all runs and the counts of violations.
   * @returns The report.
   */
  getReport (): RunReport {
    return {
      runs: this.runs,
      doubleRuns: countDoubleRuns(this.runs),
      repeatedCompletions: countRepeatedCompletions(this.runs),
      overCommitments: this.overCommitments
    }
  }
}

function groupByTask (runs: RunInterval[]): RunInterval[][] {
  const tasks = new Map<string, RunInterval[]>()
  for (const run of runs) {
    const taskRuns = tasks.get(run.taskId)
    if (taskRuns === undefined) tasks.set(run.taskId, [run])
    else taskRuns.push(run)
  }
  return [...tasks.values()]
}
