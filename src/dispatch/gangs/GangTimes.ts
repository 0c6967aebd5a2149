/** The time limits of gangs, as the platform states them. */
export interface GangTimes {
  /** A member ends by itself this long after its start unless all others have started by then. */
  timeoutMilliseconds: number
  /** The longest time from a stop to the end of a run. */
  stopMilliseconds: number
}

/** The limits of a platform that states none. */
export const DEFAULT_GANG_TIMES: GangTimes = { timeoutMilliseconds: 3000, stopMilliseconds: 400 }

/** Covers the last starts on their way, the delay of the decision to give up an attempt, and the way of its stops. */
const MARGIN_MILLISECONDS = 500
/** The starts of gangs per second that an owner with a quarter of a processor sends beside other starts. */
const STARTS_PER_SECOND = 450

/**
 * Returns how long the starts of one attempt of a gang may be sent, from the first to the last one. After that time the
 * first members would end before the last ones could join them, so that the attempt is given up and stopped.
 * @param times The limits of the platform.
 * @returns The time in milliseconds.
 */
export function getGangSendMilliseconds ({ timeoutMilliseconds, stopMilliseconds }: GangTimes): number {
  return Math.max(0, timeoutMilliseconds - stopMilliseconds - MARGIN_MILLISECONDS)
}

/**
 * Returns the largest gang that any owner of the site starts. It depends on the platform only and not on the process,
 * so that all instances accept the same jobs and a successor can start what was accepted.
 * @param times The limits of the platform.
 * @returns The number of members, at least 1.
 */
export function getLargestGang (times: GangTimes): number {
  return Math.max(1, Math.floor(getGangSendMilliseconds(times) * STARTS_PER_SECOND / 1000))
}
