import type { Figure } from '../Figure.js'
import { getQuantile, RequestLoad, type LoadRequest, type LoadResult } from '../deployments/RequestLoad.js'
import { RoutingProcesses } from './RoutingProcesses.js'

const SOUTH_A = { dataCentre: 'south-a', region: 'south' }
const SOUTH_B = { dataCentre: 'south-b', region: 'south' }
const NORTH_A = { dataCentre: 'north-a', region: 'north' }
const POLICY = [
  'urgent check within 2000 ms # bench: bench',
  'may-repeat check # bench: bench',
  'never-repeat submit # bench: bench'
].join('\n')
const REQUESTS_PER_SECOND = 150
const NEAR_UPSTREAMS = 10

type CreateUrl = (number: number) => string

async function runLoad (
  name: string,
  createUrl: CreateUrl,
  perSecond: number,
  durationMilliseconds: number
): Promise<LoadResult[]> {
  const requests = RequestLoad.create({ connections: 100 })
  await requests.sendEvenly({
    perSecond,
    durationMilliseconds,
    createRequest: number => ({ url: createUrl(number), path: `/${name}/${number}`, kind: 'check' })
  })
  await requests.close()
  return requests.results
}

function getAnsweredP99 (results: LoadResult[]): number {
  return getQuantile(results.filter(result => result.outcome === 'answered').map(result => result.milliseconds), 0.99)
}

/** Measures latency with one upstream ten times slower than the others, then the attempts during a full outage. */
async function measureSlowAndOutage (seed: number): Promise<Figure[]> {
  const processes = await RoutingProcesses.start({
    seed,
    entries: Array(2).fill(SOUTH_A),
    upstreams: Array(33).fill(SOUTH_A),
    policyText: POLICY,
    serviceMilliseconds: { check: 40 },
    naive: true
  })
  try {
    const entry: CreateUrl = number => processes.entryUrls[number % processes.entryUrls.length]
    const naive: CreateUrl = () => processes.naiveUrl
    await runLoad('warm', entry, REQUESTS_PER_SECOND, 2000)
    await runLoad('warm', naive, REQUESTS_PER_SECOND, 1000)
    const healthy = getAnsweredP99(await runLoad('healthy', entry, REQUESTS_PER_SECOND, 5000))
    const healthyNaive = getAnsweredP99(await runLoad('healthy', naive, REQUESTS_PER_SECOND, 5000))
    await processes.setFaults(0, { slowFactor: 10 })
    const slow = getAnsweredP99(await runLoad('slow', entry, REQUESTS_PER_SECOND, 5000))
    const slowNaive = getAnsweredP99(await runLoad('slow', naive, REQUESTS_PER_SECOND, 5000))
    const outageFaults = { slowFactor: 1, truncatedShare: 1 }
    await Promise.all(processes.upstreamAddresses.map(async (_, index) =>
      await processes.setFaults(index, outageFaults)))
    const before = await processes.sumMetric('papayamoor_entry_attempts_total')
    const outage = await runLoad('outage', entry, REQUESTS_PER_SECOND, 5000)
    const attempts = await processes.sumMetric('papayamoor_entry_attempts_total') - before
    const naiveBefore = Number(await (await fetch(`${processes.naiveUrl}/attempts`)).text())
    const naiveOutage = await runLoad('outage', naive, REQUESTS_PER_SECOND, 2000)
    const naiveAttempts = Number(await (await fetch(`${processes.naiveUrl}/attempts`)).text()) - naiveBefore
    return [
      {
        figure: 'p99_with_one_slow_upstream',
        value: slow / healthy,
        unit: 'of the healthy p99',
        naive: slowNaive / healthyNaive,
        target: 'at most 1.5'
      },
      {
        figure: 'retry_amplification',
        value: attempts / outage.length,
        unit: 'attempts per request',
        naive: naiveAttempts / naiveOutage.length,
        target: 'at most 1.1'
      }
    ]
  } finally {
    await processes.stop()
  }
}

/** The shares of requests that upstreams refused for lack of slots and that ran in the other region. */
interface LoadDistribution {
  refusedShare: number
  farShare: number
}

async function measureDistribution (
  processes: RoutingProcesses,
  name: string,
  createUrl: CreateUrl,
  perSecond: number
): Promise<LoadDistribution> {
  const before = await processes.readCounters()
  const results = await runLoad(name, createUrl, perSecond, 6000)
  const after = await processes.readCounters()
  const share = (counter: 'run' | 'refusedOverSlots', first: number) =>
    after.slice(first).reduce((sum, counters, index) => sum + counters[counter] - before[first + index][counter], 0) /
      results.length
  return { refusedShare: share('refusedOverSlots', 0), farShare: share('run', NEAR_UPSTREAMS) }
}

/** Measures requests beyond the slots with eight entry instances, and traffic to the other region without faults. */
async function measureSlots (seed: number): Promise<Figure[]> {
  const serviceMilliseconds = 250
  const processes = await RoutingProcesses.start({
    seed,
    entries: [...Array(4).fill(SOUTH_A), ...Array(2).fill(SOUTH_B), ...Array(2).fill(NORTH_A)],
    upstreams: [...Array(6).fill(SOUTH_A), ...Array(NEAR_UPSTREAMS - 6).fill(SOUTH_B), ...Array(4).fill(NORTH_A)],
    policyText: POLICY,
    serviceMilliseconds: { check: serviceMilliseconds },
    naive: true
  })
  try {
    // Callers in the south send their requests to the six entry instances there.
    const south: CreateUrl = number => processes.entryUrls[number % 6]
    const capacity = NEAR_UPSTREAMS * 8 * 1000 / serviceMilliseconds
    await runLoad('warm', south, capacity / 2, 2000)
    const moderate = await measureDistribution(processes, 'moderate', south, 0.7 * capacity)
    const high = await measureDistribution(processes, 'high', south, 0.9 * capacity)
    const naive = await measureDistribution(processes, 'naive', () => processes.naiveUrl, 0.9 * capacity)
    const unit = 'of the naive version, by requests run in the other region'
    return [
      {
        figure: 'slots_exceeded',
        value: high.refusedShare,
        unit: 'share of requests at 0.9 load',
        naive: naive.refusedShare,
        target: 'at most 0.001'
      },
      {
        figure: 'cross_region_bytes',
        value: moderate.farShare / naive.farShare,
        unit: `${unit}, at 0.7 load`,
        naive: 1,
        target: 'at most 0.1'
      },
      {
        figure: 'cross_region_bytes_at_high_load',
        value: high.farShare / naive.farShare,
        unit: `${unit}, at 0.9 load`,
        naive: 1,
        target: 'at most 0.1'
      }
    ]
  } finally {
    await processes.stop()
  }
}

/**
 * Counts incorrect outcomes while upstreams fail one after the other, an entry instance stops as planned, and each
 * idempotency key is sent to two entry instances.
 */
async function measureOutcomes (seed: number): Promise<Figure[]> {
  const processes = await RoutingProcesses.start({
    seed,
    entries: Array(4).fill(SOUTH_A),
    upstreams: Array(8).fill(SOUTH_A),
    policyText: POLICY,
    serviceMilliseconds: { check: 40, submit: 40 }
  })
  const requests = RequestLoad.create({ connections: 100 })
  let ready = [...processes.entryUrls]
  const createRequest = (number: number): LoadRequest => {
    const url = ready[number % ready.length]
    if (number % 3 !== 0) return { url, kind: 'check', path: `/truth/${number}`, deadlineMilliseconds: 2000 }
    // Each key is sent twice, almost at the same time, to different instances.
    const key = `key-${Math.floor(number / 6)}`
    return { url, kind: 'submit', method: 'POST', path: `/submit/${key}`, key, body: key, deadlineMilliseconds: 2000 }
  }
  try {
    const sending = requests.sendEvenly({ perSecond: REQUESTS_PER_SECOND, durationMilliseconds: 9000, createRequest })
    const faults = [
      { slowFactor: 10 }, { frozen: true }, { truncatedShare: 0.5 }, { foreignShare: 0.5 }, { duplicatedShare: 0.5 },
      { leaving: true }, { killed: true }
    ]
    for (const [index, fault] of faults.entries()) {
      await new Promise(resolve => setTimeout(resolve, 800))
      await processes.setFaults(index, fault)
      if (index === 3) {
        const [stopped] = ready
        ready = ready.slice(1)
        processes.group.stop(`entry-${processes.entryUrls.indexOf(stopped)}`).catch(() => {})
      }
    }
    await sending
    const counters = await processes.readCounters()
    const countRuns = ({ method = 'GET', path }: LoadRequest) =>
      counters.reduce((sum, upstream) => sum + (upstream.runsByRequest[`${method} ${path}`] ?? 0), 0)
    const keys = new Set(requests.results.flatMap(({ request }) => request.kind === 'submit' ? [request.path] : []))
    const figures: Array<[string, number]> = [
      ['wrong_answers', requests.count(result => result.outcome === 'answered' && !result.isOwnResponse)],
      ['false_not_run', requests.count(({ outcome, request }) =>
        outcome === 'not-run' && request.key === undefined && countRuns(request) > 0)],
      ['double_submissions', [...keys].filter(path => countRuns({ url: '', kind: '', method: 'POST', path }) > 1).length],
      ['cut_requests', requests.count(result => result.outcome === 'cut')]
    ]
    const answered = requests.count(result => result.outcome === 'answered') / requests.results.length
    return [
      ...figures.map(([figure, value]) => ({ figure, value, unit: 'requests', naive: null, target: '0' })),
      { figure: 'answered_under_faults', value: answered, unit: 'share of requests', naive: null, target: 'none' }
    ]
  } finally {
    await requests.close()
    await processes.stop()
  }
}

/**
 * Measures the router under faults.
 * @param seed The seed of the stand-ins.
 * @returns The figures.
 */
export async function measureFaults (seed: number): Promise<Figure[]> {
  return [...await measureSlowAndOutage(seed), ...await measureSlots(seed), ...await measureOutcomes(seed)]
}
