import type { AccountResources, ClientAccount } from '../../src/accounts/index.js'
import { CAPPED_RESOURCES } from '../accounts/index.js'
import type { SiteFaultKind } from '../platform/SiteFaults.js'
import { createSearchJob } from './createSearchJob.js'
import { SearchRandom } from './SearchRandom.js'
import type { ScheduledAccounts, ScheduledFault, SearchJob, SearchSchedule } from './SearchSchedule.js'

/**
 * The disruptions of client accounts: one sends many times its usual rate, caps change, also far below what runs, and
 * versions of the configuration follow each other quickly.
 */
export const ACCOUNT_DISRUPTION_KINDS = ['hot-account', 'change-caps', 'many-versions'] as const

type AccountDisruptionKind = typeof ACCOUNT_DISRUPTION_KINDS[number]

/** What a disruption adds to a play. */
interface Disruption {
  jobs: SearchJob[]
  versions: ScheduledAccounts[]
}

/** Where and when a disruption begins. */
interface DisruptedPlay {
  random: SearchRandom
  accounts: ClientAccount[]
  atMilliseconds: number
  endAt: number
}

const START_MILLISECONDS = 2000
const DISRUPTION_COUNT_LIMIT = 4
const FAULT_COUNT_LIMIT = 4
/** One account sends this many jobs per second usually. */
const USUAL_RATE = 0.5
const WEIGHTS = [1, 1, 2, 5]
/** The share of the jobs without an account. */
const UNNAMED_SHARE = 0.1
const UNLIMITED_SHARE = 0.2
const UNCHANGED_SHARE = 0.4
/** Single jobs reach such caps. */
const MEAN_CAP: AccountResources = { processorsMilli: 45_000, memoryMegabytes: 110_000, accelerators: 2 }
const CAP_SPREAD = 4
/** The factors by which caps change; the lowest ones are far below what runs. */
const CAP_FACTORS = [0.05, 0.1, 0.25, 0.5, 2, 4]
const VERSION_INTERVAL_MILLISECONDS = 170
const VERSIONS_MILLISECONDS = 4000
/** Spreads neighbouring seeds, whose first random numbers are close to each other. */
const SEED_FACTOR = 0xc2b2ae35
/** The faults after which an owner does not know what runs for an account. */
const UNCERTAINTY_KINDS: readonly SiteFaultKind[] = [
  'owner-losses', 'instance-kill', 'instance-freeze', 'instance-suspend', 'instance-isolation', 'store-away',
  'worker-late-orders', 'worker-lost-answers', 'worker-mute', 'worker-cut', 'worker-partial-cut', 'worker-one-way',
  'worker-crash-behind-cut'
]

const CREATE_DISRUPTION: Record<AccountDisruptionKind, (play: DisruptedPlay) => Disruption> = {
  'hot-account': ({ random, accounts, atMilliseconds, endAt }) => {
    const rate = USUAL_RATE * random.integer(35, 75) / 10
    const { name } = random.choose(accounts)
    const end = Math.min(endAt, atMilliseconds + random.integer(6000, 8000))
    const jobs: SearchJob[] = []
    for (let at = atMilliseconds; at < end; at += random.spread(1000 / rate, 1.5)) {
      jobs.push({ ...createSearchJob(random, 0, at), accountName: name })
    }
    return { jobs, versions: [] }
  },
  'change-caps': ({ random, accounts, atMilliseconds }) => ({
    jobs: [], versions: [{ atMilliseconds, accounts: changeCaps(random, accounts) }]
  }),
  'many-versions': ({ random, accounts, atMilliseconds, endAt }) => {
    const versions: ScheduledAccounts[] = []
    const end = Math.min(endAt, atMilliseconds + VERSIONS_MILLISECONDS)
    for (let at = atMilliseconds; at < end; at += VERSION_INTERVAL_MILLISECONDS) {
      versions.push({ atMilliseconds: at, accounts: changeCaps(random, accounts) })
    }
    return { jobs: [], versions }
  }
}

/**
 * Adds client accounts with caps and their disruptions to a play, and faults after which an owner does not know what
 * runs. They are drawn from a source of their own, so that the jobs and the other faults are those of the play without
 * accounts.
 * @param schedule The play.
 * @returns The play with accounts.
 */
export function addAccounts (schedule: SearchSchedule): SearchSchedule {
  const random = SearchRandom.create(Math.imul(schedule.seed, SEED_FACTOR))
  const accounts = Array.from({ length: random.integer(1, 5) }, (_, index) => createAccount(random, `account-${index}`))
  const endAt = START_MILLISECONDS + schedule.lengthMilliseconds
  const chooseTime = () => random.integer(START_MILLISECONDS, endAt - 200)
  const disruptions = Array.from({ length: random.integer(1, DISRUPTION_COUNT_LIMIT) }, () => {
    const kind = random.choose(ACCOUNT_DISRUPTION_KINDS)
    return CREATE_DISRUPTION[kind]({ random, accounts, atMilliseconds: chooseTime(), endAt })
  })
  const jobs = [
    ...schedule.jobs.map(job => ({ ...job, accountName: chooseName(random, accounts) })),
    ...disruptions.flatMap(disruption => disruption.jobs)
  ]
  const faults = Array.from({ length: random.integer(0, FAULT_COUNT_LIMIT) }, (): ScheduledFault => ({
    kind: random.choose(UNCERTAINTY_KINDS),
    target: random.integer(0, 99),
    count: random.integer(1, 4),
    durationMilliseconds: random.integer(300, 9000),
    variant: random.integer(0, 99),
    atMilliseconds: chooseTime()
  }))
  return {
    ...schedule,
    accounts,
    accountVersions: disruptions.flatMap(({ versions }) => versions),
    jobs: jobs.map((job, index) => ({ ...job, jobId: `job${index}` })),
    faults: [...schedule.faults, ...faults].sort((left, right) => left.atMilliseconds - right.atMilliseconds)
  }
}

function createAccount (random: SearchRandom, name: string): ClientAccount {
  const cap = mapCap(MEAN_CAP, mean => random.isTrue(UNLIMITED_SHARE) ? 0 : random.spread(mean, CAP_SPREAD))
  return { name, keyDigests: [], weight: random.choose(WEIGHTS), cap }
}

/** Changes the caps of some accounts; a version names all of them. */
function changeCaps (random: SearchRandom, accounts: readonly ClientAccount[]): ClientAccount[] {
  return accounts.map(account => {
    if (random.isTrue(UNCHANGED_SHARE)) return account
    const factor = random.choose(CAP_FACTORS)
    return { ...account, cap: mapCap(account.cap, limit => limit === 0 ? 0 : Math.max(1, Math.round(limit * factor))) }
  })
}

function mapCap (cap: AccountResources, change: (limit: number) => number): AccountResources {
  const changed = { ...cap }
  for (const resource of CAPPED_RESOURCES) changed[resource] = change(cap[resource])
  return changed
}

function chooseName (random: SearchRandom, accounts: readonly ClientAccount[]): string | null {
  return random.isTrue(UNNAMED_SHARE) ? null : random.choose(accounts).name
}
