import { isServing, type WorkerRecord } from './WorkerRecord.js'

/**
 * Slows tasks that fill beside serving tasks whose tail latency is over its target.
 *
 * Answers interference that shifts within seconds: the pace falls at once by half or more, so that it is 0 well
 * before a violation counts as harm, and rises again in small steps after a calm time.
 */

/** The worker's figure covers the last half second, so a change shows only after this time. */
const SETTLE_MILLISECONDS = 700
/** Above this share of the target the tail counts as too near to speed up. */
const CALM_SHARE = 0.75
/** How long the tail must stay calm before the pace rises by one step. */
const CALM_MILLISECONDS = 1000
const LOWERED_PERCENT = [100, 40, 0]
const RAISE_STEP_PERCENT = 30

/**
 * Decides the pace of all filling tasks of a worker from the newest figures.
 * @param worker The worker, whose pace record is updated.
 * @param now The monotonic time.
 * @returns The new pace in percent, or null when it stays.
 */
export function decidePace (worker: WorkerRecord, now: number): number | null {
  let worst = 0
  let hasFilling = false
  for (const run of worker.runs.values()) {
    if (run.task.step.specification.fills) hasFilling = true
    if (run.state !== 'running' || !isServing(run.task) || run.percent < 100) continue
    worst = Math.max(worst, run.usageFigure / run.task.step.specification.targetMilliseconds)
  }
  const { pace } = worker
  if (!hasFilling) {
    pace.percent = 100
    return null
  }
  if (worst <= CALM_SHARE) pace.calmSince ??= now
  else pace.calmSince = null
  if (now - pace.changedAt < SETTLE_MILLISECONDS) return null
  if (worst > 1 && pace.percent > 0) {
    return change(worker, LOWERED_PERCENT.find(percent => percent < pace.percent) ?? 0, now)
  }
  if (pace.calmSince !== null && now - pace.calmSince >= CALM_MILLISECONDS && pace.percent < 100) {
    return change(worker, Math.min(100, pace.percent + RAISE_STEP_PERCENT), now)
  }
  return null
}

function change (worker: WorkerRecord, percent: number, now: number): number {
  worker.pace.percent = percent
  worker.pace.changedAt = now
  worker.pace.calmSince = null
  return percent
}
