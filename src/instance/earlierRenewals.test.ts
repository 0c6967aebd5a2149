import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import { RestartJudge } from '../../stand-ins/platform/RestartJudge.js'
import { VirtualClock } from '../shared/VirtualClock.js'

/** The time in which an owner that has lost the store still renews leases, and the lease of a worker, with margins. */
const LEASES_END_MILLISECONDS = 6000 * 1.05 + 6000 * 1.05
/** A successor takes over once it has seen no renewal for this long. */
const TAKEOVER_WAIT_MILLISECONDS = 2200
/** Time for one call that is sent after the end of a lease to end without a response, beside the call in flight. */
const DETECTION_MILLISECONDS = 1000
const LONG_RUNNING_TASK_COUNT = 8
/** The slowest clock of a worker that the platform allows. */
const SLOW_CLOCK_RATE = 0.98
const CALL_TIMEOUT_MILLISECONDS = 600

/** Whole site of four workers that run long-running tasks, one of which later owners do not reach. */
class Scenario {
  readonly clock = VirtualClock.create()
  readonly site: EmulatedSite
  readonly restartJudge: RestartJudge

  constructor (options: { seed: number, clockRate: number }) {
    const { clock } = this
    this.site = EmulatedSite.create({
      clock, random: createRandom(options.seed), instanceCount: 4, workerCount: 4, workerClockRate: options.clockRate
    })
    this.restartJudge = RestartJudge.create({ site: this.site, clock })
  }

  async startTasks (): Promise<void> {
    await this.restartJudge.advance(2000)
    this.site.submit(
      'watch', [{ taskCount: LONG_RUNNING_TASK_COUNT, longRunning: true }], { durationMilliseconds: Infinity })
    await this.restartJudge.advance(1500)
    this.restartJudge.recordAcceptedJob('watch', LONG_RUNNING_TASK_COUNT)
    assert.deepEqual(this.restartJudge.getTasksAway(), [])
  }

  get workerId (): string {
    return this.site.judge.lastRunWorkerIds.get('watch.0.0.0')!
  }

  /**
   * Lets the first owner reach nothing but the worker of the first task, which later owners do not reach.
   * @returns A function that ends this.
   */
  separateOwner (): () => void {
    const { workerId, site } = this
    const owner = site.getOwner()!
    owner.tables.faults.cutOff = true
    owner.peerFaults.cutOff = true
    let isSeparated = true
    for (const worker of site.workers.values()) {
      const isOnOwnersSide = worker === site.workers.get(workerId)
      const call = async <Outcome>(epoch: number, send: () => Promise<Outcome>) => {
        if (!isSeparated || (epoch === 1) === isOnOwnersSide) return await send()
        await new Promise<void>(resolve => { this.clock.setTimer(CALL_TIMEOUT_MILLISECONDS, resolve) })
        return { kind: 'unknown' as const, reason: 'no answer' }
      }
      const { start, stop, setPace, hold } = worker
      worker.start = async order => await call(order.epoch, () => start.call(worker, order))
      worker.hold = async request => await call(request.epoch, () => hold.call(worker, request))
      worker.stop = async (name, attempt, epoch) => await call(epoch, () => stop.call(worker, name, attempt, epoch))
      worker.setPace = async (name, attempt, percent, epoch) =>
        await call(epoch, () => setPace.call(worker, name, attempt, percent, epoch))
    }
    return () => {
      isSeparated = false
      owner.peerFaults.cutOff = false
    }
  }

  /** Advances until a later owner than the given number of owners has loaded the jobs, and returns when it had. */
  async waitForOwner (earlierLoadCount: number): Promise<number> {
    for (let elapsed = 0; elapsed < 20_000; elapsed += 100) {
      const { loadCount, ownerLoadedAt } = this.restartJudge
      if (loadCount > earlierLoadCount && ownerLoadedAt !== null) return ownerLoadedAt
      await this.restartJudge.advance(100)
    }
    throw new Error('no owner has loaded the jobs')
  }

  finish (): void {
    assert.deepEqual(this.site.judge.violations, [])
    assert.deepEqual(this.restartJudge.getTasksAway(), [])
    for (const worker of this.site.workers.values()) worker.shutDown()
  }
}

test('the wait for the leases of an owner that cannot be reached counts from its last renewal, not from the takeover', async () => {
  for (const seed of [1, 2, 3]) {
    const scenario = new Scenario({ seed, clockRate: 1 })
    await scenario.startTasks()
    const worker = scenario.site.workers.get(scenario.workerId)!
    const { loadCount } = scenario.restartJudge
    scenario.site.getOwner()!.process.freeze(60_000)
    worker.faults.cutOff = true
    const loadedAt = await scenario.waitForOwner(loadCount)
    const latest = loadedAt - TAKEOVER_WAIT_MILLISECONDS + LEASES_END_MILLISECONDS + DETECTION_MILLISECONDS
    await scenario.restartJudge.advance(latest - scenario.clock.monotonicMilliseconds())
    assert.deepEqual(scenario.restartJudge.getTasksAway(), [])
    worker.faults.cutOff = false
    await scenario.restartJudge.advance(10_000)
    scenario.finish()
  }
})

for (const clockRate of [1, SLOW_CLOCK_RATE]) {
  test(`no task runs twice while an owner without the store renews the lease of a worker with clock rate ${clockRate}`, async () => {
    for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
      const scenario = new Scenario({ seed, clockRate })
      await scenario.startTasks()
      const { loadCount } = scenario.restartJudge
      const reconnect = scenario.separateOwner()
      await scenario.waitForOwner(loadCount)
      await scenario.restartJudge.advance(LEASES_END_MILLISECONDS + 5000)
      reconnect()
      await scenario.restartJudge.advance(10_000)
      scenario.finish()
    }
  })

  test(`no task runs twice when its successor stops while that owner renews a lease, with clock rate ${clockRate}`, async () => {
    for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
      const scenario = new Scenario({ seed, clockRate })
      await scenario.startTasks()
      const { site, restartJudge: { loadCount } } = scenario
      const firstOwner = site.getOwner()!
      const reconnect = scenario.separateOwner()
      await scenario.waitForOwner(loadCount)
      const secondOwner = site.instances.find(other =>
        other !== firstOwner && other.instance.ownerApi.getJobState('') !== null)!
      secondOwner.instance.stop()
      await scenario.waitForOwner(loadCount + 1)
      secondOwner.process.kill()
      await scenario.restartJudge.advance(LEASES_END_MILLISECONDS + 5000)
      reconnect()
      await scenario.restartJudge.advance(10_000)
      scenario.finish()
    }
  })

  test(`no task runs twice when that owner gives up the shard while a worker is reached by it only, with clock rate ${clockRate}`, async () => {
    for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
      const scenario = new Scenario({ seed, clockRate })
      await scenario.startTasks()
      const { loadCount } = scenario.restartJudge
      const owner = scenario.site.getOwner()!
      const reconnect = scenario.separateOwner()
      await scenario.waitForOwner(loadCount)
      await scenario.restartJudge.advance((seed - 1) * 500)
      owner.tables.faults.cutOff = false
      owner.peerFaults.cutOff = false
      await scenario.restartJudge.advance(LEASES_END_MILLISECONDS + 5000)
      reconnect()
      await scenario.restartJudge.advance(10_000)
      scenario.finish()
    }
  })
}
