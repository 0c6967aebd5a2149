/** The load that jobs of one priority and kind of room meet, as the lowest values of the last seconds. */
export interface ClassLoad {
  priority: number
  /** Whether the tasks are best-effort. */
  fills: boolean
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

/** The most classes that are read from a summary. */
const CLASS_LIMIT = 100

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
  const { priority, fills, aheadMilliseconds, excessShare, meanWork } = getFields(value)
  return typeof priority === 'number' && typeof fills === 'boolean' && isAmount(excessShare) && excessShare <= 1 &&
    [aheadMilliseconds, meanWork].every(isAmount)
}

function getFields (value: unknown): Record<string, unknown> {
  return typeof value === 'object' && value !== null ? value as Record<string, unknown> : {}
}

function isAmount (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}
