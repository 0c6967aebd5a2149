import type { PlayedJob } from './playOverload.js'

/** A job that completes within this multiple of its objective is served, though late. */
const USEFUL_MULTIPLE = 3
/** The worth of a job that completes late, relative to one in time. */
const LATE_WORTH_SHARE = 0.15
/** A job is worth this plus its work against the mean of its kind times the remainder, at most the maximum. */
const BASE_WORTH = 0.3
const MAXIMUM_WORTH = 4
/** The parts of the worth of a day: all jobs, the two worst windows, and the worst class of sizes. */
const WHOLE_WEIGHT = 0.35
const WORST_WINDOWS_WEIGHT = 0.5
const WORST_CLASS_WEIGHT = 0.15
const WINDOW_MILLISECONDS = 5000

/** The shares of jobs that complete in time, and that complete in time or late. */
export interface ServedShares {
  inTime: number
  useful: number
}

/** A band of sizes: jobs whose rank by work, from 0 for the smallest to 1, lies between two limits. */
export interface SizeBand extends ServedShares {
  name: string
  /** The credit of the jobs of the band relative to what they are worth. */
  credit: number
}

/** The bands that the platform compares with the whole kind, and the remaining fifths. */
const BANDS: ReadonlyArray<[name: string, from: number, to: number]> = [
  ['smallest fifth', 0, 0.2], ['second fifth', 0.2, 0.4], ['third fifth', 0.4, 0.6], ['fourth fifth', 0.6, 0.8],
  ['fifth below the largest tenth', 0.7, 0.9], ['largest tenth', 0.9, 1]
]

/** How the jobs of one kind were served. */
export interface KindScore {
  whole: ServedShares
  bands: SizeBand[]
  /** The lowest share of a band relative to that of the whole kind. */
  worstBandInTime: number
  worstBandUseful: number
  /** The credit of all jobs relative to what they are worth. */
  credit: number
  /** The worth of the day if the kind were the only one. */
  worth: number
}

/**
 * Scores the jobs of one kind by the rules of the platform.
 * @param jobs The jobs.
 * @returns The shares served of all jobs and of each band of sizes, and the worth.
 */
export function scoreKind (jobs: readonly PlayedJob[]): KindScore {
  const meanWork = jobs.reduce((sum, { work }) => sum + work, 0) / jobs.length
  const bySize = jobs.toSorted((left, right) => left.work - right.work)
  const bands = BANDS.map(([name, from, to]) => {
    const members = bySize.slice(Math.round(from * jobs.length), Math.round(to * jobs.length))
    return { name, ...getServedShares(members), credit: getCredit(members, meanWork) }
  })
  const whole = getServedShares(jobs)
  const credit = getCredit(jobs, meanWork)
  const worstClass = Math.min(credit, ...bands.slice(-2).map(band => band.credit))
  return {
    whole,
    bands,
    worstBandInTime: Math.min(...bands.map(band => band.inTime)) / whole.inTime,
    worstBandUseful: Math.min(...bands.map(band => band.useful)) / whole.useful,
    credit,
    worth: WHOLE_WEIGHT * credit + WORST_WINDOWS_WEIGHT * getWorstWindows(jobs, meanWork) +
      WORST_CLASS_WEIGHT * worstClass
  }
}

function isWithin ({ submittedAt, completedAt, objectiveMilliseconds }: PlayedJob, multiple: number): boolean {
  return completedAt !== null && completedAt - submittedAt <= objectiveMilliseconds * multiple
}

function getServedShares (jobs: readonly PlayedJob[]): ServedShares {
  return {
    inTime: jobs.filter(job => isWithin(job, 1)).length / jobs.length,
    useful: jobs.filter(job => isWithin(job, USEFUL_MULTIPLE)).length / jobs.length
  }
}

function getCredit (jobs: readonly PlayedJob[], meanWork: number): number {
  let earned = 0
  let owed = 0
  for (const job of jobs) {
    const worth = Math.min(MAXIMUM_WORTH, BASE_WORTH + (1 - BASE_WORTH) * job.work / meanWork)
    owed += worth
    if (isWithin(job, 1)) earned += worth
    else if (isWithin(job, USEFUL_MULTIPLE)) earned += worth * LATE_WORTH_SHARE
  }
  return earned / owed
}

/** Returns the mean credit of the two worst windows of submission. */
function getWorstWindows (jobs: readonly PlayedJob[], meanWork: number): number {
  const windows = new Map<number, PlayedJob[]>()
  for (const job of jobs) {
    const window = Math.floor(job.submittedAt / WINDOW_MILLISECONDS)
    const members = windows.get(window)
    if (members === undefined) windows.set(window, [job])
    else members.push(job)
  }
  const [worst, second] = [...windows.values()].map(members => getCredit(members, meanWork))
    .sort((left, right) => left - right)
  return (worst + (second ?? worst)) / 2
}
