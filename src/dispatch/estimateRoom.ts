import type { RunRecord, TaskRecord } from '../jobs/index.js'
import { getFreeCapacity, isServing, type WorkerCapacity, type WorkerRecord } from './WorkerRecord.js'

/** The pace of a run whose pace is unknown. */
const FULL_PACE_PERCENT = 100

/**
 * Estimates the time until a run ends by itself, from the estimate of its submitter and its progress, of which the
 * later end counts. A run that exceeds both is expected to go on for as long as it has exceeded them.
 * @param run The run.
 * @param now The monotonic time.
 * @returns Milliseconds, 0 for a run that is being stopped, and Infinity for one that does not end.
 */
export function estimateRemaining (run: RunRecord, now: number): number {
  const { longRunning, estimateMilliseconds } = run.task.step.specification
  const { percent, progressedAt, startedAt } = run
  if (run.state === 'stopping') return 0
  if (longRunning) return Infinity
  const pacePercent = run.pacePercent < 0 ? FULL_PACE_PERCENT : run.pacePercent
  if (pacePercent === 0) return Infinity
  const estimated = estimateMilliseconds * (100 - percent) / pacePercent
  const observed = percent > 0 ? (progressedAt - startedAt) * (100 - percent) / percent : 0
  return Math.abs(Math.max(estimated, observed) - (now - progressedAt))
}

/**
 * Estimates the time until a task fits into a worker, when nothing else starts there that takes its place.
 * @param worker The worker.
 * @param task The task.
 * @param getRemaining Returns the time until a run ends, in milliseconds.
 * @returns Milliseconds, Infinity when the runs that end do not free enough.
 */
export function estimateTimeUntilFit (
  worker: WorkerRecord, task: TaskRecord, getRemaining: (run: RunRecord) => number
): number {
  const missing = getMissingCapacity(worker, task)
  if (isCovered(missing)) return 0
  const ends = [...worker.runs.values()].map(run => ({ run, remaining: getRemaining(run) }))
  ends.sort((left, right) => left.remaining - right.remaining)
  for (const { run, remaining } of ends) {
    if (remaining === Infinity) return Infinity
    subtractRun(missing, run)
    if (isCovered(missing)) return remaining
  }
  return Infinity
}

/**
 * Returns whether a run may be stopped for a long-running task: it is best-effort, and its end ends no other run and
 * makes no long-running task unavailable.
 * @param run The run.
 * @returns Whether it may be stopped.
 */
export function mayStopForRestart (run: RunRecord): boolean {
  const { fills, longRunning, gang, maximumAway } = run.task.step.specification
  return run.state === 'running' && fills && !longRunning && !gang && maximumAway === 0 && !isServing(run.task)
}

/**
 * Selects best-effort runs whose stop lets a task fit into a worker, those with the least progress to lose first.
 * @param worker The worker.
 * @param task The task.
 * @param isEnding Returns whether a run ends as soon by itself; one that is being stopped does by default.
 * @returns The runs; none when the task does not fit after the stop of all that may be stopped.
 */
export function selectRunsToStop (
  worker: WorkerRecord, task: TaskRecord, isEnding = (run: RunRecord): boolean => run.state === 'stopping'
): RunRecord[] {
  const missing = getMissingCapacity(worker, task)
  for (const run of worker.runs.values()) if (isEnding(run)) subtractRun(missing, run)
  const candidates = [...worker.runs.values()].filter(run => mayStopForRestart(run) && !isEnding(run))
    .sort((left, right) => getLostWork(left) - getLostWork(right))
  const selected: RunRecord[] = []
  for (const run of candidates) {
    if (isCovered(missing)) break
    if (!frees(run, missing)) continue
    subtractRun(missing, run)
    selected.push(run)
  }
  if (!isCovered(missing)) return []
  // A later, larger run may have made the stop of an earlier one needless.
  return selected.filter(run => {
    subtractRun(missing, run, -1)
    if (isCovered(missing)) return false
    subtractRun(missing, run)
    return true
  })
}

/** Returns the work that the stop of a run loses, in thousandths of a processor times milliseconds. */
function getLostWork (run: RunRecord): number {
  const { checkpointing, processorsMilli, estimateMilliseconds } = run.task.step.specification
  return checkpointing ? 0 : processorsMilli * estimateMilliseconds * run.percent / 100
}

/** Returns what a worker lacks for a task; what it has is 0 or less. */
function getMissingCapacity (worker: WorkerRecord, { step: { specification } }: TaskRecord): WorkerCapacity {
  const free = getFreeCapacity(worker)
  return {
    processorsMilli: specification.fills ? 0 : specification.processorsMilli - free.processorsMilli,
    memoryMegabytes: specification.memoryMegabytes - free.memoryMegabytes,
    accelerators: specification.accelerators - free.accelerators
  }
}

function isCovered ({ processorsMilli, memoryMegabytes, accelerators }: WorkerCapacity): boolean {
  return processorsMilli <= 0 && memoryMegabytes <= 0 && accelerators <= 0
}

/** Returns whether the end of a run frees something that is missing. */
function frees (run: RunRecord, missing: WorkerCapacity): boolean {
  const { memoryMegabytes, accelerators } = run.task.step.specification
  return (missing.memoryMegabytes > 0 && memoryMegabytes > 0) || (missing.accelerators > 0 && accelerators > 0)
}

function subtractRun (missing: WorkerCapacity, run: RunRecord, sign: 1 | -1 = 1): void {
  const { fills, processorsMilli, memoryMegabytes, accelerators } = run.task.step.specification
  if (!fills) missing.processorsMilli -= sign * processorsMilli
  missing.memoryMegabytes -= sign * memoryMegabytes
  missing.accelerators -= sign * accelerators
}
