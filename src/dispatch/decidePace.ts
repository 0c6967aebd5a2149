import type { RunRecord } from '../jobs/index.js'
import { getFillingRuns, type ColocationAdvisor } from './ColocationAdvisor.js'
import { isServing, type WorkerRecord } from './WorkerRecord.js'

/**
 * Slows tasks that fill beside serving tasks whose tail latency is over its target.
 *
 * Answers interference that shifts within seconds: the pace of the tasks to blame falls at once by half or more,
 * so that it is 0 well before a violation counts as harm, and rises again in steps after a calm time.
 */

/** The worker's figure covers the last half second, so a change shows only after this time. */
const SETTLE_MILLISECONDS = 700
/** Above this share of the target the tail counts as too near to speed up. */
const CALM_SHARE = 0.75
/** How long the tail must stay calm before the pace rises by one step. */
const CALM_MILLISECONDS = 1000
const SLOW_PERCENT = 40
const RAISE_STEP_PERCENT = 30
/** A run that is blamed for less than this does not matter while others are blamed for more. */
const SMALLEST_BLAME = 0.05

/** A run and the pace that it should have from now on. */
export interface PaceChange {
  run: RunRecord
  percent: number
}

/**
 * Decides the pace of the tasks that fill on a worker from the newest figures.
 * @param worker The worker, whose pace record is updated.
 * @param advisor What is known of interference.
 * @param now The monotonic time.
 * @returns The runs whose pace changes.
 */
export function decidePace (worker: WorkerRecord, advisor: ColocationAdvisor, now: number): PaceChange[] {
  const filling = getFillingRuns(worker).filter(run => run.state === 'running')
  if (filling.length === 0) return []
  const serving = [...worker.runs.values()].filter(run =>
    run.state === 'running' && isServing(run.task) && run.percent >= 100)
  const getRatio = (run: RunRecord) => run.usageFigure / run.task.step.specification.targetMilliseconds
  const worst = Math.max(0, ...serving.map(getRatio))
  const { pace } = worker
  if (worst <= CALM_SHARE) pace.calmSince ??= now
  else pace.calmSince = null
  if (now - pace.changedAt < SETTLE_MILLISECONDS) return []
  const changes: PaceChange[] = []
  if (worst > 1) {
    const blamed = getBlamedRuns(worker, filling, serving.filter(run => getRatio(run) > 1), advisor)
    for (const run of blamed) {
      if (run.pacePercent !== 0) changes.push({ run, percent: run.pacePercent > SLOW_PERCENT ? SLOW_PERCENT : 0 })
    }
  } else if (pace.calmSince !== null && now - pace.calmSince >= CALM_MILLISECONDS) {
    for (const run of filling) {
      if (run.pacePercent >= 100) continue
      changes.push({ run, percent: Math.min(100, Math.max(0, run.pacePercent) + RAISE_STEP_PERCENT) })
    }
  }
  if (changes.length > 0) {
    pace.changedAt = now
    pace.calmSince = null
  }
  return changes
}

/** The runs that are known to disturb; all that work where none is known. */
function getBlamedRuns (
  worker: WorkerRecord, filling: RunRecord[], disturbed: RunRecord[], advisor: ColocationAdvisor
): RunRecord[] {
  const blamed = filling.filter(run =>
    disturbed.some(other => advisor.getBlame(worker, run, other) >= SMALLEST_BLAME))
  return blamed.some(run => run.pacePercent !== 0) ? blamed : filling
}
