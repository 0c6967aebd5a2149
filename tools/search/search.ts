import { availableParallelism } from 'node:os'
import { fileURLToPath } from 'node:url'
import { parseArgs } from 'node:util'
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads'
import {
  addAccounts, addRestartFaults, addSiteWideFaults, createSearchSchedule, reduceSchedule, SearchPlay,
  type SearchSchedule
} from '../../stand-ins/search/index.js'
import { playCurve } from './playCurve.js'
import { playHotAccounts } from './playHotAccounts.js'

const SIGNATURE_LENGTH = 60

/** A play with broken rules, or one that ended with an error. */
interface PlayReport {
  seed: number
  violations: string[]
  acceptedCount: number
  startCount: number
  longestWaitMilliseconds: number
}

/** The faults that plays have in addition to those of their seeds. */
interface FurtherFaults {
  /** Faults of all workers or of the store. */
  isSiteWide: boolean
  /** Workers that start again under their IDs, and calls that are executed late. */
  hasRestarts: boolean
  /** Client accounts with caps, and their disruptions. */
  hasAccounts: boolean
}

/** The plays of a thread. */
interface PlayBatch {
  seeds: number[]
  further: FurtherFaults
}

function createSchedule (seed: number, { isSiteWide, hasRestarts, hasAccounts }: FurtherFaults): SearchSchedule {
  const schedule = createSearchSchedule(seed)
  const withSiteWideFaults = isSiteWide ? addSiteWideFaults(schedule) : schedule
  const withRestarts = hasRestarts ? addRestartFaults(withSiteWideFaults) : withSiteWideFaults
  return hasAccounts ? addAccounts(withRestarts) : withRestarts
}

async function play (seed: number, further: FurtherFaults): Promise<PlayReport> {
  try {
    return { seed, ...await SearchPlay.run(createSchedule(seed, further)) }
  } catch (error) {
    const text = error instanceof Error ? error.stack ?? error.message : String(error)
    return { seed, violations: [`error: ${text}`], acceptedCount: 0, startCount: 0, longestWaitMilliseconds: 0 }
  }
}

function getKinds (violations: readonly string[]): string[] {
  return [...new Set(violations.map(violation => violation.split(':', 1)[0]))]
}

/** Returns what a violation says without its names and figures, by which the failures of two plays are compared. */
function getSignature (violation: string): string {
  return violation.replace(/\S*\d\S*/g, 'N').slice(0, SIGNATURE_LENGTH)
}

async function playAll (seeds: readonly number[], parallel: number, further: FurtherFaults): Promise<void> {
  const startedAt = performance.now()
  const totals = { plays: 0, failed: 0, jobs: 0, starts: 0, longestWaitMilliseconds: 0 }
  const kinds = new Map<string, number>()
  await Promise.all(Array.from({ length: parallel }, (_, index) => new Promise<void>((resolve, reject) => {
    const batch: PlayBatch = { seeds: seeds.filter((_, position) => position % parallel === index), further }
    const worker = new Worker(fileURLToPath(import.meta.url), { workerData: batch })
    worker.on('message', (report: PlayReport) => {
      totals.plays++
      totals.jobs += report.acceptedCount
      totals.starts += report.startCount
      totals.longestWaitMilliseconds = Math.max(totals.longestWaitMilliseconds, report.longestWaitMilliseconds)
      if (report.violations.length === 0) return
      totals.failed++
      for (const kind of getKinds(report.violations)) kinds.set(kind, (kinds.get(kind) ?? 0) + 1)
      console.log(JSON.stringify({ seed: report.seed, violations: report.violations.slice(0, 5) }))
    })
    worker.on('error', reject)
    worker.on('exit', () => resolve())
  })))
  const seconds = Math.round((performance.now() - startedAt) / 1000)
  console.log(JSON.stringify({ ...totals, playsByBrokenRule: Object.fromEntries(kinds), seconds }))
  process.exitCode = totals.failed > 0 ? 1 : 0
}

/** Returns the smallest schedule with the first failure of the play of a seed, or null when it has none. */
async function findSmallest (seed: number, further: FurtherFaults): Promise<SearchSchedule | null> {
  const schedule = createSchedule(seed, further)
  const { violations } = await SearchPlay.run(schedule)
  const [signature] = violations.map(getSignature)
  if (signature === undefined) {
    console.log(`The play of seed ${seed} breaks no rule.`)
    return null
  }
  return await reduceSchedule(schedule, async candidate =>
    (await SearchPlay.run(candidate)).violations.some(violation => getSignature(violation) === signature))
}

/** Prints the smallest schedule with the first failure of the play of a seed. */
async function reduce (seed: number, further: FurtherFaults): Promise<void> {
  const schedule = await findSmallest(seed, further)
  if (schedule === null) return
  console.log(JSON.stringify(schedule, null, 1))
  console.log(JSON.stringify((await SearchPlay.run(schedule)).violations, null, 1))
}

/** Prints the log lines of the smallest schedule with the first failure of the play of a seed. */
async function printLog (seed: number, further: FurtherFaults): Promise<void> {
  const schedule = await findSmallest(seed, further)
  if (schedule === null) return
  console.log(JSON.stringify(schedule))
  const { violations } = await SearchPlay.run(schedule, (atMilliseconds, instanceId, message, fields) => {
    console.log(`${atMilliseconds} ${instanceId} ${message} ${JSON.stringify(fields)}`)
  })
  console.log(violations.join('\n'))
}

if (isMainThread) {
  const { values } = parseArgs({
    options: {
      plays: { type: 'string', default: '100' },
      seed: { type: 'string', default: '1' },
      parallel: { type: 'string', default: String(Math.max(1, Math.floor(availableParallelism() / 2))) },
      curve: { type: 'boolean', default: false },
      'site-wide': { type: 'boolean', default: false },
      restarts: { type: 'boolean', default: false },
      accounts: { type: 'boolean', default: false },
      'hot-account': { type: 'boolean', default: false },
      reduce: { type: 'string' },
      log: { type: 'string' }
    }
  })
  const further: FurtherFaults = {
    isSiteWide: values['site-wide'], hasRestarts: values.restarts, hasAccounts: values.accounts
  }
  const seeds = Array.from({ length: Number(values.plays) }, (_, index) => Number(values.seed) + index)
  if (values.curve) {
    await playCurve(seeds, Number(values.parallel))
  } else if (values['hot-account']) {
    await playHotAccounts(seeds)
  } else if (values.reduce !== undefined) {
    await reduce(Number(values.reduce), further)
  } else if (values.log !== undefined) {
    await printLog(Number(values.log), further)
  } else {
    await playAll(seeds, Number(values.parallel), further)
  }
} else {
  const { seeds, further } = workerData as PlayBatch
  for (const seed of seeds) parentPort!.postMessage(await play(seed, further))
}
