import { Agent } from 'undici'
import type { Figure } from '../Figure.js'
import { getQuantile } from '../deployments/RequestLoad.js'
import { RoutingProcesses } from './RoutingProcesses.js'

const SAMPLES = 1500
const THROUGHPUT_MILLISECONDS = 3000
const CONCURRENCY = 32
const SITE = { dataCentre: 'south-a', region: 'south' }

type CreateTarget = (number: number) => { origin: string, path: string }

async function sendRequest (agent: Agent, target: CreateTarget, number: number): Promise<void> {
  const response = await agent.request({
    ...target(number), method: 'GET', headers: { 'papayamoor-kind': 'check', 'papayamoor-request-id': `b${number}` }
  })
  await response.body.arrayBuffer()
}

/** Measures the latencies of the targets in turn, so that changes in the machine's load affect all of them alike. */
async function measureLatencies (targets: CreateTarget[]): Promise<number[][]> {
  const agents = targets.map(() => new Agent({ connections: 1, pipelining: 1 }))
  const latencies: number[][] = targets.map(() => [])
  for (let number = 0; number < SAMPLES + 100; number++) {
    for (const [index, target] of targets.entries()) {
      const startedAt = performance.now()
      await sendRequest(agents[index], target, number)
      if (number >= 100) latencies[index].push(performance.now() - startedAt)
    }
  }
  await Promise.all(agents.map(async agent => await agent.destroy()))
  return latencies
}

async function measureThroughput (target: CreateTarget): Promise<number> {
  const agent = new Agent({ connections: CONCURRENCY, pipelining: 1 })
  const end = performance.now() + THROUGHPUT_MILLISECONDS
  let done = 0
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (performance.now() < end) await sendRequest(agent, target, done++)
  }))
  await agent.destroy()
  return done / (THROUGHPUT_MILLISECONDS / 1000)
}

/**
 * Measures the overhead of the entry program over direct requests, compared with the naive router.
 * @param seed The seed of the stand-ins.
 * @returns The figures.
 */
export async function measureOverhead (seed: number): Promise<Figure[]> {
  const processes = await RoutingProcesses.start({
    seed,
    entries: [SITE],
    upstreams: Array(8).fill(SITE),
    policyText: 'urgent check within 2000 ms # bench: bench\nmay-repeat check # bench: bench',
    serviceMilliseconds: { check: 0 },
    upstreamProcesses: 4,
    naive: true
  })
  try {
    const { upstreamAddresses, entryUrls, naiveUrl } = processes
    const direct: CreateTarget = number => ({ origin: `http://${upstreamAddresses[number % upstreamAddresses.length]}`, path: `/direct/${number}` })
    const directOne: CreateTarget = number => ({ origin: `http://${upstreamAddresses[0]}`, path: `/direct/${number}` })
    const entry: CreateTarget = number => ({ origin: entryUrls[0], path: `/services/permit-desk/entry/${number}` })
    const naive: CreateTarget = number => ({ origin: naiveUrl, path: `/services/permit-desk/naive/${number}` })
    const [directLatency, entryLatency, naiveLatency] = (await measureLatencies([directOne, entry, naive]))
      .map(values => getQuantile(values, 0.99))
    const directRate = await measureThroughput(direct)
    const entryRate = await measureThroughput(entry)
    const naiveRate = await measureThroughput(naive)
    return [
      {
        figure: 'routing_overhead_p99',
        value: entryLatency - directLatency,
        unit: 'ms',
        naive: naiveLatency - directLatency,
        target: 'at most 1'
      },
      {
        figure: 'routing_throughput',
        value: entryRate / directRate,
        unit: 'share of direct',
        naive: naiveRate / directRate,
        target: 'at least 0.5'
      }
    ]
  } finally {
    await processes.stop()
  }
}
