import type { RunInterval, RunReport } from '../../stand-ins/workers/RunLog.js'
import type { RequestTally } from './RequestCallers.js'

/** The counts of a demo run, taken by the stand-ins and the callers and not by papayamoor itself. */
export interface DemoSummary extends RequestTally {
  /** Accepted tasks of batch jobs, all of which should complete. */
  tasksSubmitted: number
  /** Tasks of batch jobs that completed. */
  tasksFinished: number
  /** Accepted standing tasks, which run for days. */
  standingSubmitted: number
  /** Standing tasks that were running at the end of the demo. */
  standingRunning: number
  doubleRuns: number
  repeatedCompletions: number
  overCommitments: number
  startsAfterTakeOut: number
  /** Runs of tasks that no scheduler reported as accepted. */
  runsNotAccepted: number
  /** Papayamoor processes that did not exit with code 0 when they were stopped. */
  forcedStops: number
}

/** A period during which a data centre was out of service, in milliseconds of wall time. */
export interface OutOfServicePeriod {
  dataCentre: string
  acceptedAt: number
  /** The time just before the command that brought the data centre back into service. */
  broughtBackAt: number
}

/** Starts must cease within a few seconds; a start in flight is accepted for the start window of 3 s. */
const TAKE_OUT_GRACE_MILLISECONDS = 5000

/** The counts that must be 0. */
const ZERO_COUNTS: Array<keyof DemoSummary> = [
  'wrongAnswers', 'cutRequests', 'notRunButRan', 'repeatedSubmissions', 'doubleRuns', 'repeatedCompletions',
  'overCommitments', 'startsAfterTakeOut', 'runsNotAccepted', 'forcedStops'
]

/**
 * Counts the runs that started in a data centre while it was out of service, after the grace period.
 * @param runs The runs in the workers' log.
 * @param period The period during which the data centre was out of service.
 * @returns The number of runs.
 */
export function countStartsAfterTakeOut (runs: RunInterval[], period: OutOfServicePeriod): number {
  return runs.filter(run => run.dataCentre === period.dataCentre &&
    run.startedAt > period.acceptedAt + TAKE_OUT_GRACE_MILLISECONDS && run.startedAt < period.broughtBackAt).length
}

/**
 * Counts the outcomes of tasks.
 * @param report The workers' log.
 * @param batchTaskIds The accepted tasks that should complete.
 * @param standingTaskIds The accepted tasks that should be running at the end.
 * @param outOfServicePeriods The periods during which data centres were out of service.
 * @returns The fields of the summary that concern tasks.
 */
export function summarizeTasks (
  report: RunReport,
  batchTaskIds: string[],
  standingTaskIds: string[],
  outOfServicePeriods: OutOfServicePeriod[]
): Omit<DemoSummary, keyof RequestTally | 'runsNotAccepted' | 'forcedStops'> {
  const completed = new Set(report.runs.filter(run => run.ending === 'completed').map(run => run.taskId))
  const running = new Set(report.runs.filter(run => run.endedAt === null).map(run => run.taskId))
  return {
    tasksSubmitted: batchTaskIds.length,
    tasksFinished: batchTaskIds.filter(taskId => completed.has(taskId)).length,
    standingSubmitted: standingTaskIds.length,
    standingRunning: standingTaskIds.filter(taskId => running.has(taskId)).length,
    doubleRuns: report.doubleRuns,
    repeatedCompletions: report.repeatedCompletions,
    overCommitments: report.overCommitments,
    startsAfterTakeOut: outOfServicePeriods.reduce((sum, out) => sum + countStartsAfterTakeOut(report.runs, out), 0)
  }
}

/**
 * Adds the summaries of several deployments.
 * @param summaries The summaries, at least one.
 * @returns The sums.
 */
export function addSummaries (summaries: DemoSummary[]): DemoSummary {
  const sum = { ...summaries[0] }
  for (const summary of summaries.slice(1)) {
    for (const name of Object.keys(sum) as Array<keyof DemoSummary>) sum[name] += summary[name]
  }
  return sum
}

/**
 * Describes the guarantees that were violated in a demo run.
 * @param summary The summary of the run.
 * @returns One line for each violation; empty when there was none.
 */
export function getViolations (summary: DemoSummary): string[] {
  const violations = ZERO_COUNTS.filter(name => summary[name] > 0).map(name => `${name} is ${summary[name]}, expected 0`)
  const { answered, tasksSubmitted, tasksFinished, standingSubmitted, standingRunning } = summary
  if (answered === 0) violations.push('answered is 0')
  if (tasksSubmitted === 0) violations.push('tasksSubmitted is 0')
  if (tasksFinished < tasksSubmitted) violations.push(`tasksFinished is ${tasksFinished} of ${tasksSubmitted}`)
  if (standingRunning < standingSubmitted) violations.push(`standingRunning is ${standingRunning} of ${standingSubmitted}`)
  return violations
}
