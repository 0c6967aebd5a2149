import type { RunRecord } from '../jobs/index.js'
import { getBestEffortRuns, getRequestedShare, type ColocationAdvisor } from './ColocationAdvisor.js'
import { isServing, type WorkerRecord } from './WorkerRecord.js'

/**
 * Sets the pace of best-effort runs beside serving tasks, so that tail latencies stay below their targets.
 *
 * The load of serving tasks changes within seconds: at its peak a serving task has little headroom (target divided by
 * tail latency), seconds later it has much. Best-effort runs that are known to interfere with it get the pace that the
 * current headroom allows. When a tail latency exceeds its target and no run at work is known to interfere, all
 * best-effort runs are slowed in steps.
 */

/** Headroom to preserve; above 1, because metrics are up to half a second old and noisy. */
const MINIMUM_HEADROOM = 1.25
/** A tail latency above its target for this long stops all best-effort runs, well before it counts as a violation. */
export const PERSISTENT_VIOLATION_MILLISECONDS = 1300
/** The minimum change of a pace, except to 0 or 100, because each change costs a call. */
const MINIMUM_CHANGE_PERCENT = 15
/** Paces below this are set to 0, because the run would make hardly any progress. */
const MINIMUM_PACE_PERCENT = 10
/** The time after a pace change until metrics reflect it. */
const SETTLE_MILLISECONDS = 450
/** A run whose pace stays below this is moved to another worker where possible. */
const SLOWED_BELOW_PERCENT = 35
/** The step by which runs not known to interfere are slowed while a tail latency exceeds its target. */
const UNEXPLAINED_STEP_PERCENT = 60
/** The maximum step by which a pace is raised. */
const RECOVERY_STEP_PERCENT = 30

/** A run and its new pace. */
export interface PaceChange {
  run: RunRecord
  percent: number
}

/**
 * Decides the paces of the best-effort runs on a worker from the latest metrics.
 * @param worker The worker, whose time of the last pace change is updated.
 * @param advisor The learned interference.
 * @param now The monotonic time.
 * @returns The pace changes.
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
 * Returns whether a serving task has exceeded its target for so long that its worker may run no best-effort tasks.
 * @param worker The worker.
 * @param now The monotonic time.
 * @returns Whether a serving task has done so.
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
  // The interfering runs may use up the headroom that would exist without them, except for the minimum headroom.
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

/** Limits the rise of a pace to a step, because metrics are up to half a second old; it may fall at once. */
function limitRise (run: RunRecord, percent: number): number {
  if (run.pacePercent < 0) return percent
  return Math.min(percent, run.pacePercent + RECOVERY_STEP_PERCENT)
}

/**
 * Records that a new pace of a run has been decided.
 * @param worker The worker.
 * @param run The run.
 * @param percent The pace.
 * @param now The monotonic time.
 */
export function applyPaceChange (worker: WorkerRecord, run: RunRecord, percent: number, now: number): void {
  if (percent < SLOWED_BELOW_PERCENT) run.slowedSince ??= now
  else run.slowedSince = null
  run.pacePercent = percent
  run.progressedAt = now
  worker.bestEffortChangedAt = now
}
