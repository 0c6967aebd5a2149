import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import type { EmulatedWorker } from '../../stand-ins/platform/EmulatedWorker.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import type { HoldOutcome, HoldRequest } from '../dispatch/index.js'
import { VirtualClock } from '../shared/VirtualClock.js'

/** The platform judges the jobs 14 s after the last disruption; one of which nothing has run for 3 s is lost. */
const START_LIMIT_MILLISECONDS = 14_000 - 3000
/** Time between the end of a step and the start of the next one, with an interval of samples. */
const NEXT_STEP_MILLISECONDS = 500
/** The lease of a worker with its margin, and two calls to find out that it is over. */
const LOST_START_LIMIT_MILLISECONDS = 6000 * 1.05 + 1700
const SAMPLE_MILLISECONDS = 100
/** All jobs are completed within this time after the judgement. */
const FINISH_MILLISECONDS = 30_000
const DOWN_MILLISECONDS = 1000
const LONG_DOWN_MILLISECONDS = 8000
/** Longer than a candidate waits for the next renewal, shorter than the owner may renew leases without one. */
const FROZEN_MILLISECONDS = 4500
/** Time until the next owner has acquired the shard and has not recorded the workers that it does not reach. */
const WITHIN_LOAD_MILLISECONDS = 20
const HOLD_MARGIN_MILLISECONDS = 600
const ROUND_TRIP_MILLISECONDS = 2
const WORKER_TABLE = 'listed-workers'
const LEASE_MILLISECONDS = 6000
/** `RunnerClient` keeps this many connections for late responses. */
const LATE_CONNECTION_LIMIT = 2
const STEPS = [{ taskCount: 2 }, { taskCount: 2, afterSteps: [0] }]

type WorkerFault = 'silent' | 'refusing' | 'mute' | 'flapping' | 'crashed' | 'unlisted' | 'replaced'
const WORKER_FAULTS: WorkerFault[] = ['silent', 'refusing', 'mute', 'flapping', 'crashed', 'unlisted', 'replaced']

/** Lets a worker execute all calls and answer none; responses are awaited on as many connections as processes keep. */
function mute (worker: EmulatedWorker, clock: VirtualClock): void {
  const awaitedCounts = new Map<number, number>()
  const wait = (milliseconds: number) => new Promise<void>(resolve => { clock.setTimer(milliseconds, resolve) })
  const { hold, start, stop, setPace } = worker
  const loseAnswer = async (call: Promise<unknown>) => {
    call.catch(assert.ifError)
    await wait(HOLD_MARGIN_MILLISECONDS)
    return { kind: 'unknown' as const, reason: 'timeout' }
  }
  worker.hold = async (request: HoldRequest): Promise<HoldOutcome> => {
    hold.call(worker, request).catch(assert.ifError)
    const timeout = request.waitMilliseconds + HOLD_MARGIN_MILLISECONDS
    await wait(timeout)
    const awaitedCount = awaitedCounts.get(request.epoch) ?? 0
    if (awaitedCount >= LATE_CONNECTION_LIMIT) return { kind: 'unknown', reason: 'timeout' }
    awaitedCounts.set(request.epoch, awaitedCount + 1)
    clock.setTimer(LEASE_MILLISECONDS - timeout, () => {
      awaitedCounts.set(request.epoch, awaitedCounts.get(request.epoch)! - 1)
    })
    return { kind: 'unknown', reason: 'timeout', isAwaited: true }
  }
  worker.start = async order => await loseAnswer(start.call(worker, order))
  worker.stop = async (...order) => await loseAnswer(stop.call(worker, ...order))
  worker.setPace = async (...order) => await loseAnswer(setPace.call(worker, ...order))
}

/** Lets calls to a worker reach another one at its address, which rejects them, while its process still runs. */
function replace (worker: EmulatedWorker, clock: VirtualClock): void {
  const reject = async () => {
    await new Promise<void>(resolve => { clock.setTimer(ROUND_TRIP_MILLISECONDS, resolve) })
    return { kind: 'replaced' as const }
  }
  Object.assign(worker, { hold: reject, start: reject, stop: reject, setPace: reject })
}

/** Whole site of four workers with jobs of two short steps, one worker of which has a fault until the end. */
class Scenario {
  readonly clock = VirtualClock.create()
  readonly site: EmulatedSite
  private readonly acceptedJobIds: string[] = []
  private submittedCount = 0
  private isOver = false
  /** When the last disruption ended. */
  private disruptedUntil = 0
  /** When something of each job ran last. */
  private readonly lastRunAt = new Map<string, number>()
  /** When an owner last sent a start of each job to the worker with the fault. */
  private readonly lastLostStartAt = new Map<string, number>()

  constructor (seed: number) {
    this.site = EmulatedSite.create({ clock: this.clock, random: createRandom(seed), instanceCount: 4, workerCount: 4 })
  }

  get now (): number {
    return this.clock.monotonicMilliseconds()
  }

  async advance (milliseconds: number): Promise<void> {
    const end = this.now + milliseconds
    while (this.now < end) {
      await this.clock.advance(Math.min(SAMPLE_MILLISECONDS, end - this.now))
      for (const taskName of this.site.judge.getRunningTasks()) this.lastRunAt.set(taskName.split('.', 1)[0], this.now)
    }
  }

  submit (count: number): void {
    for (let index = 0; index < count; index++) {
      const jobId = `short-${this.submittedCount++}`
      this.site.submit(jobId, STEPS).then(outcome => {
        if (outcome.kind === 'accepted') this.acceptedJobIds.push(jobId)
      }, assert.ifError)
    }
  }

  /** Lets a worker fail that runs tasks, beside jobs whose tasks may run there. */
  async startFault (fault: WorkerFault): Promise<void> {
    await this.advance(2000)
    this.site.submit('watch', [{ taskCount: 8, longRunning: true }], { durationMilliseconds: Infinity })
    await this.advance(1000)
    this.submit(6)
    await this.advance(300)
    const workerId = this.site.judge.lastRunWorkerIds.get('watch.0.0.0')!
    const worker = this.site.workers.get(workerId)!
    if (fault === 'mute') mute(worker, this.clock)
    else if (fault === 'crashed') this.site.crashWorker(workerId)
    else if (fault === 'flapping') this.flap(worker)
    else if (fault === 'replaced') replace(worker, this.clock)
    else Object.assign(worker.faults, { cutOff: true, failsToConnect: fault === 'refusing' })
    this.recordLostStarts(worker)
    this.disruptedUntil = this.now
    if (fault === 'unlisted') {
      this.site.tables.apply({
        operations: [{ kind: 'delete', table: WORKER_TABLE, key: workerId, condition: { kind: 'any' } }]
      })
    }
    await this.advance(200)
  }

  /** Kills the owner; its successor begins when another process finds that out. */
  killOwner (): void {
    const owner = this.site.getOwner()
    if (owner === undefined) return
    this.site.replaceInstance(owner, DOWN_MILLISECONDS)
    this.disruptedUntil = this.now
  }

  /** Kills all processes, which are back after the given time. */
  killAll (downMilliseconds: number): void {
    for (const instance of this.site.instances) {
      if (instance.process.isAlive()) this.site.replaceInstance(instance, downMilliseconds)
    }
    this.disruptedUntil = this.now + downMilliseconds
  }

  freezeOwner (): void {
    this.site.getOwner()?.process.freeze(FROZEN_MILLISECONDS)
    this.disruptedUntil = this.now + FROZEN_MILLISECONDS
  }

  /** Advances until there is an owner that is not frozen; it may not have loaded the jobs yet. */
  async waitForOwner (): Promise<void> {
    for (let elapsed = 0; elapsed < 20_000; elapsed += WITHIN_LOAD_MILLISECONDS) {
      const hasOwner = this.site.instances.some(({ process, instance }) =>
        process.isAlive() && !process.isFrozen() && instance.ownerApi.probe().isOwner)
      if (hasOwner) return
      await this.advance(WITHIN_LOAD_MILLISECONDS)
    }
    throw new Error('there is no owner')
  }

  /** Returns the jobs of which no task has started in time, and when a task of any job ran last. */
  async judge (): Promise<{ lateJobIds: string[], longestMilliseconds: number }> {
    await this.advance(this.disruptedUntil + START_LIMIT_MILLISECONDS - this.now)
    const lateJobIds = this.getUnfinishedJobIds()
      .filter(jobId => (this.lastRunAt.get(jobId) ?? -Infinity) < this.now - NEXT_STEP_MILLISECONDS)
      // The last owner itself has sent a start to a worker that answered it before: no wait after a takeover.
      .filter(jobId => (this.lastLostStartAt.get(jobId) ?? -Infinity) < this.now - LOST_START_LIMIT_MILLISECONDS)
    const end = this.now + FINISH_MILLISECONDS
    while (this.getUnfinishedJobIds().length > 0 && this.now < end) await this.advance(SAMPLE_MILLISECONDS)
    assert.deepEqual(this.getUnfinishedJobIds(), [])
    assert.ok(this.acceptedJobIds.length > 0)
    const lastRunAt = Math.max(...this.acceptedJobIds.map(jobId => this.lastRunAt.get(jobId) ?? -Infinity))
    return { lateJobIds, longestMilliseconds: lastRunAt - this.disruptedUntil }
  }

  /** Checks that no task has run twice, also when the worker is back. */
  async finish (): Promise<void> {
    this.isOver = true
    for (const worker of this.site.workers.values()) worker.faults.cutOff = false
    await this.advance(10_000)
    assert.deepEqual(this.site.judge.violations, [])
    for (const worker of this.site.workers.values()) worker.shutDown()
  }

  private recordLostStarts (worker: EmulatedWorker): void {
    const { start } = worker
    worker.start = async order => {
      this.lastLostStartAt.set(order.taskName.split('.', 1)[0], this.now)
      return await start.call(worker, order)
    }
  }

  private getUnfinishedJobIds (): string[] {
    const ownerApi = this.site.getOwner()?.instance.ownerApi
    return this.acceptedJobIds.filter(jobId => ownerApi?.getJobState(jobId) !== 'completed')
  }

  private flap (worker: EmulatedWorker): void {
    if (this.isOver) return
    worker.faults.cutOff = !worker.faults.cutOff
    this.clock.setTimer(worker.faults.cutOff ? 1300 : 300, () => this.flap(worker))
  }
}

/** A series of takeovers; the time between two of them begins when there is an owner. */
interface Schedule {
  name: string
  count: number
  gapMilliseconds: number
  disrupt (scenario: Scenario, index: number): void
}

const SCHEDULES: Schedule[] = [
  { name: 'kill of the owner', count: 1, gapMilliseconds: 0, disrupt: scenario => scenario.killOwner() },
  { name: 'restart of all', count: 1, gapMilliseconds: 0, disrupt: scenario => scenario.killAll(DOWN_MILLISECONDS) },
  {
    name: 'long power loss of all', count: 1, gapMilliseconds: 0, disrupt: scenario => scenario.killAll(LONG_DOWN_MILLISECONDS)
  },
  { name: 'freeze of the owner', count: 1, gapMilliseconds: 0, disrupt: scenario => scenario.freezeOwner() },
  {
    name: 'kills of five owners that have just acquired the shard',
    count: 5,
    gapMilliseconds: WITHIN_LOAD_MILLISECONDS,
    disrupt: scenario => scenario.killOwner()
  },
  {
    name: 'five restarts of all', count: 5, gapMilliseconds: 2000, disrupt: scenario => scenario.killAll(DOWN_MILLISECONDS)
  },
  { name: 'kills of three owners', count: 3, gapMilliseconds: 6000, disrupt: scenario => scenario.killOwner() },
  { name: 'freezes of two owners', count: 2, gapMilliseconds: 3000, disrupt: scenario => scenario.freezeOwner() },
  {
    name: 'freeze of the owner and a restart of all after the takeover',
    count: 2,
    gapMilliseconds: WITHIN_LOAD_MILLISECONDS,
    disrupt: (scenario, index) => index === 0 ? scenario.freezeOwner() : scenario.killAll(DOWN_MILLISECONDS)
  }
]

async function play (seed: number, fault: WorkerFault, schedule: Schedule) {
  const scenario = new Scenario(seed)
  await scenario.startFault(fault)
  for (let index = 0; index < schedule.count; index++) {
    if (index > 0) {
      await scenario.waitForOwner()
      await scenario.advance(schedule.gapMilliseconds)
    }
    scenario.submit(1)
    schedule.disrupt(scenario, index)
    scenario.submit(1)
    await scenario.advance(50)
    scenario.submit(1)
  }
  await scenario.advance(DOWN_MILLISECONDS)
  scenario.submit(2)
  const judged = await scenario.judge()
  await scenario.finish()
  return judged
}

for (const schedule of SCHEDULES) {
  for (const fault of WORKER_FAULTS) {
    test(`all jobs run in time beside a worker that is ${fault} after ${schedule.name}`, async (context: TestContext) => {
      const longest: number[] = []
      for (const seed of [1, 2, 3, 4]) {
        const { lateJobIds, longestMilliseconds } = await play(seed, fault, schedule)
        longest.push(longestMilliseconds)
        assert.deepEqual(lateJobIds, [], `seed ${seed}`)
      }
      context.diagnostic(`last run ${Math.max(...longest)} ms after the last disruption`)
    })
  }
}

for (const fault of WORKER_FAULTS.filter(name => name !== 'flapping')) {
  test(`all jobs run in time beside a worker that is ${fault} without a takeover`, async () => {
    for (const seed of [1, 2, 3, 4]) {
      const scenario = new Scenario(seed)
      await scenario.startFault(fault)
      const { lateJobIds } = await scenario.judge()
      assert.deepEqual(lateJobIds, [], `seed ${seed}`)
      await scenario.finish()
    }
  })
}

test('starts on a flapping worker whose responses are lost do not keep their job from running after five kills', async () => {
  const schedule = SCHEDULES.find(({ name }) => name === 'kills of five owners that have just acquired the shard')!
  const { lateJobIds } = await play(20, 'flapping', schedule)
  assert.deepEqual(lateJobIds, [])
})

test('a worker that was recorded as unreached gets tasks again when it answers after a takeover', async () => {
  const scenario = new Scenario(1)
  await scenario.startFault('silent')
  await scenario.advance(3000)
  scenario.killAll(DOWN_MILLISECONDS)
  await scenario.advance(DOWN_MILLISECONDS)
  await scenario.waitForOwner()
  await scenario.advance(3000)
  const silent = [...scenario.site.workers.values()].find(worker => worker.faults.cutOff)!
  silent.faults.cutOff = false
  await scenario.advance(2000)
  const { startCount } = scenario.site.judge
  scenario.submit(30)
  await scenario.advance(1000)
  const startedOn = scenario.site.judge.startWorkerIds.slice(startCount)
  await scenario.finish()
  assert.deepEqual(new Set(startedOn), new Set(scenario.site.workers.keys()))
})
