import {
  playOverload, type PlayedJob, type PlayedKind, type SiteLimit
} from '../../stand-ins/platform/playOverload.js'
import { scoreKind } from '../../stand-ins/platform/scoreOverload.js'
import { createHeavyTailMix, createLognormalMix, createTwoPointMix } from '../../stand-ins/platform/sizeMixes.js'

/**
 * Compares what callers get in overloads without and with admission control, by queue and by size:
 * `node dist/tools/admission/compareAdmission.js [SEED,...] [TITLE]` plays the overloads whose title contains a text.
 * Each cell is the share in percent without and with admission control.
 */

const ARRIVAL_MILLISECONDS = 60_000
const LIMITS: readonly SiteLimit[] = ['reserved', 'best-effort', 'starts']
/** A job that completes within this multiple of its objective is late, but of use. */
const USEFUL_MULTIPLE = 3

const ALONE: ReadonlyArray<[name: string, kinds: PlayedKind[]]> = [
  ['lognormal', createLognormalMix(8, 1)] as const,
  ['few large', createTwoPointMix(4, 60, 0.15)] as const,
  ['heavy tail', createHeavyTailMix(3, 1.3)] as const
].flatMap(([name, mix]) => [1.4, 2].map((load): [string, PlayedKind[]] =>
  [`${name}, load ${load}`, [{ queueName: 'queue', priority: 0, mix, load }]]))
const BESIDE_URGENT = [[0.4, 1], [0.9, 0.8], [1.2, 0.5], [1.5, 0.5], [2, 0.5]].map(
  ([urgentLoad, load]): [string, PlayedKind[]] => [`urgent load ${urgentLoad}, other ${load}`, [
    { queueName: 'urgent', priority: 0, mix: createLognormalMix(4, 0.8), load: urgentLoad },
    { queueName: 'other', priority: 2, mix: createLognormalMix(12, 0.8), load }
  ]])

const MEASURES: ReadonlyArray<[name: string, matches: (job: PlayedJob) => boolean]> = [
  ['in time', job => isServed(job, 1)],
  ['late', job => isServed(job, USEFUL_MULTIPLE) && !isServed(job, 1)],
  ['useless', job => !isServed(job, USEFUL_MULTIPLE) && !job.isRefused],
  ['refused', job => job.isRefused]
]
const BANDS: ReadonlyArray<[name: string, from: number, to: number]> = [
  ['all', 0, 1], ['fifth below the largest tenth', 0.7, 0.9], ['largest tenth', 0.9, 1]
]

function isServed ({ completedAt, submittedAt, objectiveMilliseconds }: PlayedJob, multiple: number): boolean {
  return completedAt !== null && completedAt - submittedAt <= objectiveMilliseconds * multiple
}

function getShares (jobs: readonly PlayedJob[], from: number, to: number): number[] {
  const bySize = jobs.toSorted((left, right) => left.work - right.work)
  const members = bySize.slice(Math.round(from * jobs.length), Math.round(to * jobs.length))
  return MEASURES.map(([, matches]) => 100 * members.filter(matches).length / Math.max(1, members.length))
}

function compare (title: string, kinds: readonly PlayedKind[], limit: SiteLimit, seeds: readonly number[]): void {
  const [without, withAdmission] = [false, true].map(hasAdmission => seeds.flatMap(seed =>
    playOverload({ seed, kinds, limit, arrivalMilliseconds: ARRIVAL_MILLISECONDS, hasAdmission })))
  for (const { queueName } of kinds) {
    const [before, after] = [without, withAdmission].map(jobs => jobs.filter(job => job.queueName === queueName))
    const [creditBefore, creditAfter] = [before, after].map(jobs => scoreKind(jobs).credit.toFixed(3))
    for (const [band, from, to] of BANDS) {
      const [left, right] = [getShares(before, from, to), getShares(after, from, to)]
      const cells = MEASURES.map(([name], index) => `${name} ${left[index].toFixed(1)} ${right[index].toFixed(1)}`)
      const credit = band === 'all' ? `; credit ${creditBefore} ${creditAfter}; ${after.length} jobs` : ''
      process.stdout.write(`${title}, ${limit}: ${queueName}, ${band}: ${cells.join(', ')}${credit}\n`)
    }
  }
}

const seeds = (process.argv[2] ?? '1,2,3').split(',').map(Number)
const played = [...ALONE, ...BESIDE_URGENT].filter(([title]) => title.includes(process.argv[3] ?? ''))
for (const limit of LIMITS) for (const [title, kinds] of played) compare(title, kinds, limit, seeds)
