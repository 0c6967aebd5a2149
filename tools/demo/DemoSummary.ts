import type { RunInterval, RunReport } from '../../stand-ins/workers/RunLog.js'
import type { RequestTally } from './RequestCallers.js'

/** What a demo counted, all by the stand-ins and the callers. */
export interface DemoSummary extends RequestTally {
  /** Tasks of batch jobs that were accepted; each should finish. */
  tasksSubmitted: number
  tasksFinished: number
  /** Standing tasks that were accepted, and those that ran at the end. */
  standingSubmitted: number
  standingRunning: number
  doubleRuns: number
  repeatedCompletions: number
  overCommitments: number
  startsAfterTakeOut: number
  /** Runs of tasks whose submission was told "not run". */
  runsNotAccepted: number
  /** Products that a planned stop did not end by themselves. */
  forcedStops: number
}

/** A data centre that was out of service for a while, by wall time in milliseconds. */
export interface OutOfServicePeriod {
  dataCentre: string
  acceptedAt: number
  /** Before the return was asked for. */
  broughtBackAt: number
}

/** Operators are promised that starts end within a few seconds; a start in flight may take the start window of 3 s. */
const TAKE_OUT_GRACE_MILLISECONDS = 5000

/** Counts that must be 0. */
const ZERO_COUNTS: Array<keyof DemoSummary> = [
  'wrongAnswers', 'cutRequests', 'notRunButRan', 'repeatedSubmissions', 'doubleRuns', 'repeatedCompletions',
  'overCommitments', 'startsAfterTakeOut', 'runsNotAccepted', 'forcedStops'
]

/**
 * Counts starts in a data centre while it was out of service, after the time allowed.
 * @param runs The workers' log.
 * @param period When the data centre was out of service.
 * @returns The number of starts.
 */
export function countStartsAfterTakeOut (runs: RunInterval[], period: OutOfServicePeriod): number {
  return runs.filter(run => run.dataCentre === period.dataCentre &&
    run.startedAt > period.acceptedAt + TAKE_OUT_GRACE_MILLISECONDS && run.startedAt < period.broughtBackAt).length
}

/**
 * Counts what became of tasks.
 * @param report The workers' log.
 * @param batchTaskIds The accepted tasks that should finish.
 * @param standingTaskIds The accepted tasks that should run at the end.
 * @param outOfServicePeriods When data centres were out of service.
 * @returns The part of the summary that is about tasks.
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
 * Lists the promises that were broken.
 * @param summary The summary.
 * @returns One line each; none when all were kept.
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
