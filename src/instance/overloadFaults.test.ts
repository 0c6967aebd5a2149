import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { EmulatedLoad } from '../../stand-ins/platform/EmulatedLoad.js'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import type { ExpiredCalls } from '../../stand-ins/platform/EmulatedConnections.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { getTestSeed } from '../shared/testSeed.js'
import { VirtualClock } from '../shared/VirtualClock.js'

/** The numbers of instances and workers at the site of Thuan Phat Effluent Compliance. */
const INSTANCE_COUNT = 8
const WORKER_COUNT = 33
/** The share of a core that one instance of that site has. */
const PROCESSOR_SHARE = 0.27
/** Enough processor time that the owner never falls behind. */
const SPARE_PROCESSOR_SHARE = 2
/** How `HttpCaller` handles calls that expire in its queue. */
const EXPIRED_CALLS: ExpiredCalls = 'leaves-queue'
const CONNECTIONS_PER_WORKER = 3
/** An owner may open each connection a second time after faults. */
const CONNECTION_REOPEN_FACTOR = 2
/** A long-running task that does not run must run again within this time when there is free capacity. */
const TASK_RESTART_MILLISECONDS = 6000
/** Time for a site to complete all jobs after the last submission, as in `siteFaults.test.ts`. */
const COMPLETION_MILLISECONDS = 40_000
const STORE_OUTAGE_MILLISECONDS = 3000
/** Time after which instances that lost power are running again. */
const RESTART_MILLISECONDS = 3000

interface ScenarioContext {
  clock: VirtualClock
  site: EmulatedSite
  load: EmulatedLoad
}

/** A load on the site, with or without a fault. */
interface Scenario {
  name: string
  seed: number
  play (context: ScenarioContext): Promise<void>
}

async function createScenarioContext (seed: number, processorShare: number): Promise<ScenarioContext> {
  const clock = VirtualClock.create()
  const random = createRandom(seed)
  const site = EmulatedSite.create({
    clock,
    random,
    instanceCount: INSTANCE_COUNT,
    workerCount: WORKER_COUNT,
    processorTime: { share: processorShare, expiredCalls: EXPIRED_CALLS },
    treatsListedAsAcknowledged: true
  })
  const load = EmulatedLoad.create({ site, clock, random })
  await load.advance(6000, 0)
  return { clock, site, load }
}

/** Lets the site recover after the last fault and checks all guarantees. */
async function settleAndCheck ({ site, load }: ScenarioContext): Promise<void> {
  load.measureDowntimes()
  await load.advance(COMPLETION_MILLISECONDS, 0)
  const unfinished = await load.getUnfinishedJobs()
  const limit = WORKER_COUNT * CONNECTIONS_PER_WORKER * CONNECTION_REOPEN_FACTOR * load.ownerCount
  const violations = [...site.judge.violations]
  if (unfinished.length > 0) {
    violations.push(`${unfinished.length} of ${load.acceptedJobs.length} accepted jobs unfinished: ${unfinished[0]}`)
  }
  const { taskName, milliseconds } = load.longestDowntime
  if (milliseconds > TASK_RESTART_MILLISECONDS) violations.push(`lost: ${taskName} does not run for ${milliseconds} ms`)
  const { violations: lateRestarts } = load.restartJudge
  if (lateRestarts.length > 0) {
    violations.push(`${lateRestarts.length} late restarts, the first: ${JSON.stringify(lateRestarts[0])}`)
  }
  const { opened } = site.connectionCounts
  if (opened > limit) violations.push(`connections: ${opened} opened by ${load.ownerCount} owners, limit ${limit}`)
  for (const worker of site.workers.values()) worker.shutDown()
  assert.deepEqual(violations, [])
}

function restart (site: EmulatedSite, clock: VirtualClock, address: string): void {
  clock.setTimer(RESTART_MILLISECONDS, () => { site.addInstance(address.split(':')[0]) })
}

async function playStoreOutage ({ site, load }: ScenarioContext, rate: number): Promise<void> {
  for (const { tables } of site.instances) tables.faults.cutOff = true
  await load.advance(STORE_OUTAGE_MILLISECONDS, rate)
  for (const { tables } of site.instances) tables.faults.cutOff = false
}

async function playPowerLoss ({ site, clock, load }: ScenarioContext, rate: number): Promise<void> {
  for (const { process, address } of site.instances) {
    process.kill()
    restart(site, clock, address)
  }
  await load.advance(RESTART_MILLISECONDS, rate)
}

/** Plays a fault between two periods of full load. */
async function playFaultDuringLoad (
  context: ScenarioContext, playFault: (context: ScenarioContext, rate: number) => Promise<void>
): Promise<void> {
  await context.load.advance(14_000, 1.2)
  await playFault(context, 1.2)
  await context.load.advance(10_000, 1.2)
}

async function playRollingRestart ({ site, clock, load }: ScenarioContext, rate: number): Promise<void> {
  for (const { address } of [...site.instances]) {
    const stopped = site.instances.find(other => other.address === address)!
    stopped.instance.stop()
    clock.setTimer(2600, () => stopped.process.kill())
    clock.setTimer(3500, () => { site.addInstance(address.split(':')[0]) })
    await load.advance(4000, rate)
  }
}

const SCENARIOS: Scenario[] = [
  {
    name: 'the usual load opens each connection once and loses no task',
    seed: 1,
    play: async ({ load }) => await load.advance(30_000, 1.2)
  },
  {
    name: 'an owner catches up after a load peak',
    seed: 1,
    play: async ({ load }) => {
      await load.advance(14_000, 1)
      await load.advance(10_000, 2)
      await load.advance(8000, 1)
    }
  },
  {
    name: 'an overloaded owner repeats no finished task and loses no long-running task after a plan of many starts',
    seed: 8,
    play: async ({ load }) => {
      await load.advance(14_000, 0.7)
      load.submitWideJob(400)
      await load.advance(10_000, 0.7)
    }
  },
  {
    name: 'an overloaded owner repeats no finished task and loses no long-running task after an outage of the store',
    seed: 5,
    play: async context => await playFaultDuringLoad(context, playStoreOutage)
  },
  {
    name: 'an overloaded owner repeats no finished task and loses no long-running task after a loss of power',
    seed: 8,
    play: async context => await playFaultDuringLoad(context, playPowerLoss)
  },
  {
    name: 'an overloaded owner repeats no finished task and loses no long-running task during a rolling restart',
    seed: 5,
    play: async context => {
      await context.load.advance(10_000, 1.2)
      await playRollingRestart(context, 1.2)
      await context.load.advance(4000, 1.2)
    }
  }
]

async function playScenario ({ seed, play }: Scenario, processorShare: number): Promise<void> {
  const context = await createScenarioContext(seed, processorShare)
  await play(context)
  await settleAndCheck(context)
}

for (const scenario of SCENARIOS) {
  test(scenario.name, async () => {
    await playScenario(scenario, PROCESSOR_SHARE)
  })
}

test('the same scenarios violate no guarantee when the owner has spare processor time', async () => {
  for (const scenario of SCENARIOS) await playScenario(scenario, SPARE_PROCESSOR_SHARE)
})

const PROPERTY_NAME = 'an overloaded owner violates no guarantee under load peaks, store outages and instance failures'

test(PROPERTY_NAME, async () => {
  const event = fastCheck.record({
    kind: fastCheck.constantFrom('wave', 'wide-job', 'store-away', 'kill-owner', 'lose-power', 'freeze-owner'),
    gapMilliseconds: fastCheck.integer({ min: 1000, max: 6000 })
  })
  const schedules = fastCheck.record({
    seed: fastCheck.integer(),
    rate: fastCheck.constantFrom(0.7, 0.85, 1, 1.2),
    events: fastCheck.array(event, { minLength: 1, maxLength: 3 })
  })
  await fastCheck.assert(fastCheck.asyncProperty(schedules, async ({ seed, rate, events }) => {
    const context = await createScenarioContext(seed, PROCESSOR_SHARE)
    await context.load.advance(8000, rate)
    for (const { kind, gapMilliseconds } of events) {
      await playEvent(kind, context, rate)
      await context.load.advance(gapMilliseconds, rate)
    }
    await context.load.advance(5000, rate)
    await settleAndCheck(context)
  }), { numRuns: 10, seed: getTestSeed(), endOnFailure: true })
})

async function playEvent (kind: string, context: ScenarioContext, rate: number): Promise<void> {
  const { site, clock, load } = context
  const owner = site.getOwner()
  if (kind === 'wave') {
    await load.advance(6000, rate * 2)
  } else if (kind === 'wide-job') {
    load.submitWideJob(300)
  } else if (kind === 'store-away') {
    await playStoreOutage(context, rate)
  } else if (kind === 'lose-power') {
    await playPowerLoss(context, rate)
  } else if (kind === 'kill-owner' && owner !== undefined) {
    owner.process.kill()
    restart(site, clock, owner.address)
    await load.advance(RESTART_MILLISECONDS, rate)
  } else if (kind === 'freeze-owner') {
    owner?.process.freeze(4000)
    await load.advance(4000, rate)
  }
}
