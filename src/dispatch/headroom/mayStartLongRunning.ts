import type { UrgentResources } from './UrgentDemand.js'

/** Free resources of one worker, or of all workers that have a piece of them for a larger urgent task. */
export interface FreeResources {
  processorsMilli: number
  memoryMegabytes: number
}

/**
 * How much of the headroom a first start of a long-running task may use: none (`none`), what lies above the limit
 * before the start (`last-start`), or all (`all`).
 */
export type HeadroomUse = 'none' | 'last-start' | 'all'

/** A first start that has waited this long is no longer held back where the headroom is met except for it. */
const LAST_START_WAIT_MILLISECONDS = 2000
/** A first start that has waited this long is not held back. */
const LONGEST_WAIT_MILLISECONDS = 10_000

/**
 * Returns how much of the headroom a first start may use.
 * @param waitMilliseconds The time for which the task has waited.
 * @returns The use.
 */
export function getHeadroomUse (waitMilliseconds: number): HeadroomUse {
  if (waitMilliseconds >= LONGEST_WAIT_MILLISECONDS) return 'all'
  return waitMilliseconds >= LAST_START_WAIT_MILLISECONDS ? 'last-start' : 'none'
}

/**
 * Returns the free resources of a worker that count as headroom: all of them, or none when the piece is too small for
 * the larger urgent tasks.
 * @param free The free resources of the worker.
 * @param pieceMilli The size of the larger urgent tasks.
 * @returns The resources.
 */
export function getHeadroomPart (free: FreeResources, pieceMilli: number): FreeResources {
  return free.processorsMilli >= pieceMilli ? free : { processorsMilli: 0, memoryMegabytes: 0 }
}

/** What a decision about the first start of a long-running task on one worker depends on. */
export interface HeadroomInputs {
  /** The resources that urgent work needs beside those that it uses. */
  missing: UrgentResources
  /** The sum of the parts of all workers. */
  total: FreeResources
  /** The free resources of the worker. */
  free: FreeResources
  /** What the task reserves. */
  task: FreeResources
  use: HeadroomUse
}

/**
 * Returns whether the first start of a long-running task may use a worker.
 *
 * Designed for a site that is nearly full of long-running tasks, whose next starts take each piece of capacity that
 * urgent short tasks need a moment later. Pieces that are too small for the larger urgent tasks may always be used.
 * @param inputs The headroom, the worker and the task.
 * @returns Whether the start is allowed.
 */
export function mayStartLongRunning ({ missing, total, free, task, use }: HeadroomInputs): boolean {
  if (use === 'all' || free.processorsMilli < missing.pieceMilli) return true
  const part = getHeadroomPart(free, missing.pieceMilli)
  const left = getHeadroomPart({
    processorsMilli: free.processorsMilli - task.processorsMilli,
    memoryMegabytes: free.memoryMegabytes - task.memoryMegabytes
  }, missing.pieceMilli)
  const isMetAfter = covers({
    processorsMilli: total.processorsMilli - part.processorsMilli + left.processorsMilli,
    memoryMegabytes: total.memoryMegabytes - part.memoryMegabytes + left.memoryMegabytes
  }, missing)
  if (isMetAfter || use === 'none') return isMetAfter
  return covers(total, missing)
}

function covers (total: FreeResources, missing: UrgentResources): boolean {
  return total.processorsMilli >= missing.processorsMilli && total.memoryMegabytes >= missing.memoryMegabytes
}
