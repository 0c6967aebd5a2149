import type { StepSpecification } from '../jobs/index.js'

/** The jobs that meet the same load. */
export interface JobClass {
  serviceName: string
  /** The client account; null for jobs without one. */
  accountName: string | null
  priority: number
  /** Whether the tasks are best-effort. */
  fills: boolean
}

/** The load that the jobs of a class meet, as the lowest values of the last seconds. */
export interface ClassLoad extends JobClass {
  /** How long the work takes that certainly precedes a new job: that of higher priorities, and that can be in time. */
  aheadMilliseconds: number
  /** The share of the work that arrives and does not end. */
  excessShare: number
  /** The mean work of the jobs that have arrived, in thousandths of a processor times milliseconds. */
  meanWork: number
}

/** What the owner tells other instances of its load. */
export interface LoadSummary {
  /** The epoch of the owner. */
  epoch: number
  /** The milliseconds since the load was measured. */
  ageMilliseconds: number
  classes: ClassLoad[]
}

/** The most classes in a summary, which each instance gets several times a second. */
export const CLASS_LIMIT = 100

/**
 * Reads a summary that a peer has sent.
 * @param value The value.
 * @returns The summary, or null when it is none.
 */
export function decodeLoadSummary (value: unknown): LoadSummary | null {
  const { epoch, ageMilliseconds, classes } = getFields(value)
  if (!isAmount(epoch) || !isAmount(ageMilliseconds) || !Array.isArray(classes)) return null
  if (classes.length > CLASS_LIMIT || !classes.every(isClassLoad)) return null
  return { epoch, ageMilliseconds, classes }
}

function isClassLoad (value: unknown): value is ClassLoad {
  const { serviceName, accountName, priority, fills, aheadMilliseconds, excessShare, meanWork } = getFields(value)
  const isNamed = typeof serviceName === 'string' && (accountName === null || typeof accountName === 'string')
  return isNamed && typeof priority === 'number' && typeof fills === 'boolean' && isAmount(excessShare) && excessShare <= 1 &&
    [aheadMilliseconds, meanWork].every(isAmount)
}

function getFields (value: unknown): Record<string, unknown> {
  return typeof value === 'object' && value !== null ? value as Record<string, unknown> : {}
}

function isAmount (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}

/**
 * Returns whether two classes are the same.
 * @param left A class.
 * @param right Another class.
 * @returns Whether they are equal.
 */
export function isSameClass (left: JobClass, right: JobClass): boolean {
  return left.serviceName === right.serviceName && left.accountName === right.accountName &&
    left.priority === right.priority && left.fills === right.fills
}

/**
 * Returns whether the tasks of a step can start wherever there is room. Others may wait for a label, for accelerators
 * or for each other, so that they neither precede other work for certain nor wait for it.
 * @param step The step.
 * @returns Whether only processors and memory limit its starts.
 */
export function isPlainStep ({ gang, requiredLabel, accelerators, maximumPerWorker }: StepSpecification): boolean {
  return !gang && requiredLabel === '' && accelerators === 0 && maximumPerWorker === 0
}
