import type { ResourceSize } from '../workers/WorkerProtocol.js'

/** The number of dimensions that a commitment has: processors, memory, accelerators. */
export const DIMENSIONS = 3

/** Whole millicores, megabytes and accelerators; integers, so that sums over many commitments stay exact. */
export type ResourceVector = readonly [millicores: number, memoryMegabytes: number, accelerators: number]

/** The largest value of a dimension, so that vectors fit in 32-bit arrays. */
export const MAXIMUM_UNITS = 0x7fffffff

const MILLICORES_PER_PROCESSOR = 1000

/** Absorbs binary rounding, so that 0.3 processors are 300 millicores and not 301. */
const ROUNDING_TOLERANCE = 1e-6

/**
 * Converts a size that is asked for; fractions are rounded up.
 * @param size The size.
 * @returns The vector.
 */
export function toDemand (size: ResourceSize): ResourceVector {
  return [roundUp(size.processors * MILLICORES_PER_PROCESSOR), roundUp(size.memoryMegabytes), roundUp(size.accelerators)]
}

/**
 * Converts the capacity of a worker; fractions are rounded down.
 * @param size The capacity.
 * @returns The vector.
 */
export function toCapacity (size: ResourceSize): ResourceVector {
  return [roundDown(size.processors * MILLICORES_PER_PROCESSOR), roundDown(size.memoryMegabytes), roundDown(size.accelerators)]
}

/**
 * Converts a vector back to a size.
 * @param vector The vector.
 * @returns The size.
 */
export function toResourceSize (vector: ArrayLike<number>): ResourceSize {
  return { processors: vector[0] / MILLICORES_PER_PROCESSOR, memoryMegabytes: vector[1], accelerators: vector[2] }
}

/**
 * Compares in every dimension.
 * @param demand The vector that must not be larger.
 * @param limit The vector that must not be smaller.
 * @returns Whether the demand is within the limit.
 */
export function isWithin (demand: ArrayLike<number>, limit: ArrayLike<number>): boolean {
  return demand[0] <= limit[0] && demand[1] <= limit[1] && demand[2] <= limit[2]
}

/**
 * Takes the smaller value in every dimension.
 * @param left The first vector.
 * @param right The second vector.
 * @returns The smaller values.
 */
export function getMinimum (left: ResourceVector, right: ResourceVector): ResourceVector {
  return [Math.min(left[0], right[0]), Math.min(left[1], right[1]), Math.min(left[2], right[2])]
}

function roundUp (value: number): number {
  return clamp(Math.ceil(value - ROUNDING_TOLERANCE))
}

function roundDown (value: number): number {
  return clamp(Math.floor(value + ROUNDING_TOLERANCE))
}

/** A size that is not a number counts as the largest, so that it is never placed. */
function clamp (value: number): number {
  return Number.isNaN(value) ? MAXIMUM_UNITS : Math.min(MAXIMUM_UNITS, Math.max(0, value))
}
