import { Heap } from 'heap-js'
import { createRandom } from '../../../stand-ins/shared/createRandom.js'
import { chooseHome } from '../../../src/routing/index.js'
import type { Figure } from '../Figure.js'
import { getQuantile } from '../deployments/RequestLoad.js'

const ENTRY_INSTANCES = 8
const UPSTREAMS = 33
const SLOTS = 8
const SERVICE_MILLISECONDS = 10
const LOAD = 0.9
const ONE_WAY_MILLISECONDS = 0.5
/** The interval, and thus the maximum age, of exchanged counts. */
const EXCHANGE_MILLISECONDS = 100
const DURATION_MILLISECONDS = 2000
/** How long a request that finds no free slot waits before its next attempt. */
const RETRY_MILLISECONDS = 2

type StrategyName = 'least-of-two' | 'fixed-shares' | 'exchanged-counts' | 'home-and-borrow'

interface Simulation {
  now: number
  random: () => number
  /** The slots in use at each upstream. */
  usedSlots: number[]
  /** The slots in use at each upstream as counted by its home, which counts a slot until the response arrives. */
  homeCounts: number[]
  /** The requests of each entry instance in flight at each upstream. */
  inFlight: number[][]
  /** The slots in use at each upstream as of the last exchange. */
  exchangedCounts: number[]
  /** The index of the entry instance that is the home of each upstream. */
  home: number[]
}

/** Chooses an upstream for a request of an entry instance; the delay is that of borrowing a slot from a peer first. */
type Strategy = (simulation: Simulation, entry: number) => { upstream: number, delay: number } | null

const strategies: Record<StrategyName, Strategy> = {
  'least-of-two': ({ random, inFlight }, entry) => {
    const first = Math.floor(random() * UPSTREAMS)
    const second = Math.floor(random() * UPSTREAMS)
    return { upstream: inFlight[entry][first] <= inFlight[entry][second] ? first : second, delay: 0 }
  },
  // Eight entry instances share the eight slots of an upstream, so each has one.
  'fixed-shares': ({ random, inFlight }, entry) => {
    const start = Math.floor(random() * UPSTREAMS)
    for (let step = 0; step < UPSTREAMS; step++) {
      const upstream = (start + step) % UPSTREAMS
      if (inFlight[entry][upstream] < SLOTS / ENTRY_INSTANCES) return { upstream, delay: 0 }
    }
    return null
  },
  'exchanged-counts': ({ random, inFlight, exchangedCounts }, entry) => {
    const start = Math.floor(random() * UPSTREAMS)
    let best = -1
    let bestCount = SLOTS
    for (let step = 0; step < UPSTREAMS; step++) {
      const upstream = (start + step) % UPSTREAMS
      const count = Math.max(exchangedCounts[upstream], inFlight[entry][upstream])
      if (count < bestCount) {
        best = upstream
        bestCount = count
      }
    }
    return best < 0 ? null : { upstream: best, delay: 0 }
  },
  'home-and-borrow': ({ homeCounts, home }, entry) => {
    const findFree = (owner: number) => {
      let best = -1
      for (let upstream = 0; upstream < UPSTREAMS; upstream++) {
        const isFree = home[upstream] === owner && homeCounts[upstream] < SLOTS
        if (isFree && (best < 0 || homeCounts[upstream] < homeCounts[best])) best = upstream
      }
      return best
    }
    const homeUpstream = findFree(entry)
    if (homeUpstream >= 0) return { upstream: homeUpstream, delay: 0 }
    for (let step = 1; step < ENTRY_INSTANCES; step++) {
      const upstream = findFree((entry + step) % ENTRY_INSTANCES)
      // The entry instance queries its peers one after the other, each with a round trip.
      if (upstream >= 0) return { upstream, delay: 2 * ONE_WAY_MILLISECONDS * step }
    }
    return null
  }
}

interface Event { at: number, sequence: number, run: () => void }

/** Simulates Poisson arrivals with exponential service times; a refused request is retried immediately. */
function simulate (strategy: Strategy, seed: number): { refusedShare: number, waitP99: number } {
  const random = createRandom(seed)
  const entryNames = Array.from({ length: ENTRY_INSTANCES }, (_, index) => `entry-${index}`)
  const state: Simulation = {
    now: 0,
    random,
    usedSlots: Array(UPSTREAMS).fill(0),
    homeCounts: Array(UPSTREAMS).fill(0),
    inFlight: Array.from({ length: ENTRY_INSTANCES }, () => Array(UPSTREAMS).fill(0)),
    exchangedCounts: Array(UPSTREAMS).fill(0),
    home: Array.from({ length: UPSTREAMS }, (_, index) =>
      entryNames.indexOf(chooseHome(`upstream-${index}`, entryNames) as string))
  }
  const events = new Heap<Event>((left, right) => left.at - right.at || left.sequence - right.sequence)
  let sequence = 0
  const schedule = (delay: number, run: () => void) => events.push({ at: state.now + delay, sequence: sequence++, run })
  const exponential = (mean: number) => -Math.log(1 - random()) * mean
  const waits: number[] = []
  let sent = 0
  let refused = 0
  const startRequest = (entry: number, arrivedAt: number) => {
    const choice = strategy(state, entry)
    if (choice === null) return schedule(RETRY_MILLISECONDS, () => startRequest(entry, arrivedAt))
    const { upstream, delay } = choice
    if (delay === 0) return send(entry, arrivedAt, upstream, 0)
    // The peer decides when the request to borrow arrives, and counts the slot from then on.
    schedule(delay - ONE_WAY_MILLISECONDS, () => {
      if (state.homeCounts[upstream] >= SLOTS) schedule(ONE_WAY_MILLISECONDS, () => startRequest(entry, arrivedAt))
      else send(entry, arrivedAt, upstream, ONE_WAY_MILLISECONDS)
    })
  }
  const send = (entry: number, arrivedAt: number, upstream: number, delay: number) => {
    state.inFlight[entry][upstream]++
    state.homeCounts[upstream]++
    const releaseSlot = () => {
      state.inFlight[entry][upstream]--
      state.homeCounts[upstream]--
    }
    schedule(delay + ONE_WAY_MILLISECONDS, () => {
      sent++
      if (state.usedSlots[upstream] >= SLOTS) {
        refused++
        schedule(ONE_WAY_MILLISECONDS, () => {
          releaseSlot()
          startRequest(entry, arrivedAt)
        })
        return
      }
      state.usedSlots[upstream]++
      waits.push(state.now - arrivedAt - ONE_WAY_MILLISECONDS)
      schedule(exponential(SERVICE_MILLISECONDS), () => {
        state.usedSlots[upstream]--
        // A borrowed slot is counted as free one one-way delay later, when the return reaches its home.
        schedule(ONE_WAY_MILLISECONDS * (state.home[upstream] === entry ? 1 : 2), releaseSlot)
      })
    })
  }
  const meanGap = (SERVICE_MILLISECONDS + 2 * ONE_WAY_MILLISECONDS) / (UPSTREAMS * SLOTS * LOAD)
  const arrive = () => {
    startRequest(Math.floor(random() * ENTRY_INSTANCES), state.now)
    schedule(exponential(meanGap), arrive)
  }
  const exchange = () => {
    state.exchangedCounts = [...state.usedSlots]
    schedule(EXCHANGE_MILLISECONDS, exchange)
  }
  arrive()
  exchange()
  for (let event = events.pop(); event !== undefined && event.at < DURATION_MILLISECONDS; event = events.pop()) {
    state.now = event.at
    event.run()
  }
  return { refusedShare: refused / sent, waitP99: getQuantile(waits, 0.99) }
}

/**
 * Compares strategies for sharing the slots of upstreams between entry instances, in a simulation.
 * @param seed The seed of arrivals and service times.
 * @returns The share of refused requests and the wait of each strategy; `naive` is the less loaded of two at random.
 */
export async function runBench (seed: number): Promise<Figure[]> {
  const naive = simulate(strategies['least-of-two'], seed)
  return Object.entries(strategies).flatMap(([name, strategy]) => {
    const { refusedShare, waitP99 } = simulate(strategy, seed)
    return [
      {
        figure: `simulated_slots_exceeded_${name}`,
        value: refusedShare,
        unit: 'share of requests sent',
        naive: naive.refusedShare,
        target: 'at most 0.001'
      },
      { figure: `simulated_wait_p99_${name}`, value: waitP99, unit: 'ms', naive: naive.waitP99, target: 'none' }
    ]
  })
}
