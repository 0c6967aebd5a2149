import type { Figure } from '../Figure.js'
import { RequestLoad, type LoadResult } from '../deployments/RequestLoad.js'
import { RoutingProcesses } from '../routing/RoutingProcesses.js'

const SITE = { dataCentre: 'south-a', region: 'south' }
const UPSTREAMS = 6
const SERVICE_MILLISECONDS = 250
const CAPACITY_PER_SECOND = UPSTREAMS * 8 * 1000 / SERVICE_MILLISECONDS
const DEADLINE_MILLISECONDS = 2000
const DURATION_MILLISECONDS = 8000
/** At twice the capacity, urgent requests alone use 0.6 of the capacity. */
const URGENT_SHARE = 0.3
const POLICY = [
  `urgent check within ${DEADLINE_MILLISECONDS} ms # bench: bench`,
  'may-repeat check # bench: bench',
  'may-wait renew # bench: bench',
  'may-repeat renew # bench: bench'
].join('\n')

async function runLoad (urls: string[], name: string, capacityFactor: number): Promise<LoadResult[]> {
  const requests = RequestLoad.create({ connections: 600 })
  await requests.sendEvenly({
    perSecond: capacityFactor * CAPACITY_PER_SECOND,
    durationMilliseconds: DURATION_MILLISECONDS,
    createRequest: number => ({
      url: urls[number % urls.length],
      path: `/${name}/${number}`,
      kind: number % 10 < URGENT_SHARE * 10 ? 'check' : 'renew',
      caller: `caller-${number % 5}`,
      deadlineMilliseconds: DEADLINE_MILLISECONDS
    })
  })
  await requests.close()
  return requests.results
}

function isWithinDeadline (result: LoadResult): boolean {
  return result.outcome === 'answered' && result.milliseconds <= DEADLINE_MILLISECONDS
}

function countGoodput (results: LoadResult[]): number {
  return results.filter(isWithinDeadline).length
}

function getUrgentShareWithinDeadline (results: LoadResult[]): number {
  const urgent = results.filter(result => result.request.kind === 'check')
  return urgent.filter(isWithinDeadline).length / urgent.length
}

/**
 * Measures the goodput and the urgent requests within their deadline, at capacity and at twice the capacity.
 * @param seed The seed of the stand-ins.
 * @returns The figures.
 */
export async function runBench (seed: number): Promise<Figure[]> {
  const processes = await RoutingProcesses.start({
    seed,
    entries: Array(3).fill(SITE),
    upstreams: Array(UPSTREAMS).fill(SITE),
    policyText: POLICY,
    serviceMilliseconds: { check: SERVICE_MILLISECONDS, renew: SERVICE_MILLISECONDS },
    naive: true
  })
  try {
    await runLoad(processes.entryUrls, 'warm', 0.5)
    const atCapacity = await runLoad(processes.entryUrls, 'one', 1)
    const atTwice = await runLoad(processes.entryUrls, 'two', 2)
    const naiveAtCapacity = await runLoad([processes.naiveUrl], 'naive-one', 1)
    const naiveAtTwice = await runLoad([processes.naiveUrl], 'naive-two', 2)
    return [
      {
        figure: 'goodput_at_twice_capacity',
        value: countGoodput(atTwice) / countGoodput(atCapacity),
        unit: 'of the goodput at capacity',
        naive: countGoodput(naiveAtTwice) / countGoodput(naiveAtCapacity),
        target: 'at least 0.95'
      },
      {
        figure: 'urgent_in_time_at_twice_capacity',
        value: getUrgentShareWithinDeadline(atTwice),
        unit: 'share of urgent requests',
        naive: getUrgentShareWithinDeadline(naiveAtTwice),
        target: 'at least 0.99'
      },
      {
        figure: 'goodput_at_capacity',
        value: countGoodput(atCapacity) / atCapacity.length,
        unit: 'share of requests',
        naive: countGoodput(naiveAtCapacity) / naiveAtCapacity.length,
        target: 'none'
      }
    ]
  } finally {
    await processes.stop()
  }
}
