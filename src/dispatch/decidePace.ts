import type { RunRecord } from '../jobs/index.js'
import { getBestEffortRuns, getRequestedShare, type ColocationAdvisor } from './ColocationAdvisor.js'
import { isServing, type WorkerRecord } from './WorkerRecord.js'

/**
 * Sets the pace of tasks that fill beside serving tasks, so that the tails stay under their targets.
 *
 * Answers serving loads that swing within seconds: at the height of its load a serving task has little headroom
 * (target over tail) left, and seconds later much. The tasks that are known to disturb it work at the pace that the
 * headroom allows now. Where a tail is over its target and none is known to disturb, all are slowed in steps.
 */

/** The headroom that is kept, for the half second that a figure is old and for noise. */
const MINIMUM_HEADROOM = 1.25
/** A tail over its target for this long stops all that fills, well before the violation counts as harm. */
export const PERSISTENT_VIOLATION_MILLISECONDS = 1300
/** A pace changes only by this much, or to the ends of the scale; each change is a call. */
const MINIMUM_CHANGE_PERCENT = 15
/** Below this a run is stopped, as it would hardly work. */
const MINIMUM_PACE_PERCENT = 10
/** After a change the figure needs this time to show it. */
const SETTLE_MILLISECONDS = 450
/** A step for tasks that are not known to disturb, while a tail is over its target. */
const UNEXPLAINED_STEP_PERCENT = 60
const RECOVERY_STEP_PERCENT = 30

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
  const bestEffort = getBestEffortRuns(worker).filter(run => run.state === 'running')
  if (bestEffort.length === 0) return []
  if (hasPersistentViolation(worker, now)) {
    worker.paceChangedAt = now
    return bestEffort.filter(run => run.pacePercent !== 0).map(run => ({ run, percent: 0 }))
  }
  if (now - worker.paceChangedAt < SETTLE_MILLISECONDS) return []
  const targetPaces = new Map<RunRecord, number>(bestEffort.map(run => [run, 100]))
  for (const serving of worker.runs.values()) {
    if (serving.state !== 'running' || !isServing(serving.task) || serving.percent < 100) continue
    if (serving.usageFigure > 0) limitPaces(worker, bestEffort, serving, advisor, targetPaces)
  }
  const changes = bestEffort.flatMap(run => {
    const percent = limitRise(run, targetPaces.get(run)!)
    const isLimit = percent === 0 || percent === 100
    const isSmall = Math.abs(percent - run.pacePercent) < MINIMUM_CHANGE_PERCENT && !isLimit
    return isSmall || percent === run.pacePercent ? [] : [{ run, percent }]
  })
  if (changes.length > 0) worker.paceChangedAt = now
  return changes
}

/**
 * Tells whether a serving task of a worker has been over its target for so long that nothing may fill beside it.
 * @param worker The worker.
 * @param now The monotonic time.
 * @returns Whether it has.
 */
export function hasPersistentViolation (worker: WorkerRecord, now: number): boolean {
  for (const run of worker.runs.values()) {
    if (run.overTargetSince !== null && now - run.overTargetSince >= PERSISTENT_VIOLATION_MILLISECONDS) return true
  }
  return false
}

function limitPaces (
  worker: WorkerRecord, bestEffort: RunRecord[], serving: RunRecord, advisor: ColocationAdvisor,
  targetPaces: Map<RunRecord, number>
): void {
  const { image, targetMilliseconds } = serving.task.step.specification
  const headroom = targetMilliseconds / serving.usageFigure
  const capacity = Math.max(1, worker.entry.capacity.processorsMilli)
  let currentEffect = 0
  let fullPaceEffect = 0
  const interfering: RunRecord[] = []
  for (const run of bestEffort) {
    const effect = advisor.getEffect(image, run.task.step.specification.image)
    if (effect === 0) continue
    interfering.push(run)
    currentEffect += effect * run.usageFigure / capacity
    fullPaceEffect += effect * getRequestedShare(worker, run)
  }
  // What the headroom would be without the tasks that disturb, less what is kept, is what they may take.
  const allowedPace = fullPaceEffect === 0 ? 1 : (headroom + currentEffect - MINIMUM_HEADROOM) / fullPaceEffect
  for (const run of interfering) lowerPace(targetPaces, run, Math.round(Math.max(0, Math.min(1, allowedPace)) * 100))
  const isUnexplained = headroom < 1 && interfering.every(run => run.pacePercent <= MINIMUM_PACE_PERCENT)
  if (!isUnexplained) return
  for (const run of bestEffort) {
    if (!interfering.includes(run)) lowerPace(targetPaces, run, Math.max(0, run.pacePercent - UNEXPLAINED_STEP_PERCENT))
  }
}

function lowerPace (targetPaces: Map<RunRecord, number>, run: RunRecord, percent: number): void {
  const value = percent < MINIMUM_PACE_PERCENT ? 0 : percent
  targetPaces.set(run, Math.min(targetPaces.get(run)!, value))
}

/** A pace falls at once and rises in steps, as each figure is half a second old. */
function limitRise (run: RunRecord, percent: number): number {
  if (run.pacePercent < 0) return percent
  return Math.min(percent, run.pacePercent + RECOVERY_STEP_PERCENT)
}
