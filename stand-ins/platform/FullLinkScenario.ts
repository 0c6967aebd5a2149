import assert from 'node:assert/strict'
import { EmulatedSite } from './EmulatedSite.js'
import { RegionLink, type RegionDirection } from './RegionLink.js'
import { RestartJudge } from './RestartJudge.js'
import { createRandom } from '../shared/createRandom.js'
import { VirtualClock } from '../../src/shared/VirtualClock.js'

const WORKER_COUNT = 60
/** The long-running tasks of each region, three on each of its workers; those of one region also fit on the other. */
const LONG_RUNNING_TASK_COUNT = 90
const MAXIMUM_PER_WORKER = 3
const SHORT_TASKS_PER_JOB = 10
const SHORT_INTERVAL_MILLISECONDS = 500
const BITS_PER_SECOND = 42_000_000
const DELAY_MILLISECONDS = 11
const FILL_INTERVAL_MILLISECONDS = 10
const SAMPLE_MILLISECONDS = 100
/** Time after the link is free again in which all effects end. */
const SETTLING_MILLISECONDS = 15_000
/** A long-running task must run again 6 s after its last run, once there has been room for it for 3 s. */
export const RESTART_MILLISECONDS = 9000

/** The traffic that fills the link. */
export interface LinkTraffic {
  directions: RegionDirection[]
  /** How long each message waits for the link while it is full; absent if the whole traffic is queued at once. */
  queueMilliseconds?: number
}

/** What happened while the link was full and afterwards. */
export interface FullLinkMeasures {
  /** The calls between the regions and to the workers that ended without a response, by their names. */
  timeouts: Record<string, number>
  lapsedRuns: number
  lapsedWorkers: number
  /** The longest time that a long-running task did not run. */
  longestAwayMilliseconds: number
  /** The number of long-running tasks that were ever away for longer than the bound. */
  lateTasks: number
  lateRestarts: number
  violations: string[]
}

/** A site with two regions; the store, the owner and half of the workers are in one, the other half in the other. */
export class FullLinkScenario {
  private readonly clock = VirtualClock.create()
  private readonly site: EmulatedSite
  private readonly link: RegionLink
  private readonly restartJudge: RestartJudge
  private readonly awaySince = new Map<string, number>()
  private readonly lateTasks = new Set<string>()
  private longestAwayMilliseconds = 0
  private fillEndsAt = -Infinity

  private constructor (private readonly traffic: LinkTraffic, seed: number) {
    const { clock } = this
    this.link = RegionLink.create({ clock, bitsPerSecond: BITS_PER_SECOND, delayMilliseconds: DELAY_MILLISECONDS })
    this.site = EmulatedSite.create({
      clock,
      random: createRandom(seed),
      instanceCount: 2,
      workerCount: WORKER_COUNT,
      processorTime: { share: 2, expiredCalls: 'leaves-queue' },
      treatsListedAsAcknowledged: true,
      farRegion: { link: this.link, contains: isFar }
    })
    this.restartJudge = RestartJudge.create({ site: this.site, clock })
  }

  /**
   * Creates a site that has not started.
   * @param traffic The traffic that fills the link.
   * @param seed The seed of the random numbers.
   * @returns The scenario, which is played once.
   */
  static create (traffic: LinkTraffic, seed: number): FullLinkScenario {
    return new FullLinkScenario(traffic, seed)
  }

  /**
   * Starts long-running and short tasks in both regions, fills the link and observes the site until all effects end.
   * @param fillMilliseconds How long the traffic lasts.
   * @returns What was observed.
   */
  async play (fillMilliseconds: number): Promise<FullLinkMeasures> {
    const { clock, site } = this
    await clock.advance(4000)
    site.addInstance('far-0')
    site.addInstance('far-1')
    for (const [jobId, otherDataCentre] of [['far-watch', 'south-a'], ['near-watch', 'south-b']]) {
      site.setDataCentreOut(otherDataCentre, true)
      await clock.advance(1000)
      const outcome = site.submit(jobId, [
        { taskCount: LONG_RUNNING_TASK_COUNT, longRunning: true, maximumPerWorker: MAXIMUM_PER_WORKER }
      ], { durationMilliseconds: Infinity }, site.instances[0])
      await clock.advance(3000)
      assert.equal((await outcome).kind, 'accepted')
      this.restartJudge.recordAcceptedJob(jobId, LONG_RUNNING_TASK_COUNT)
      site.setDataCentreOut(otherDataCentre, false)
    }
    assert.deepEqual(this.restartJudge.getTasksAway(), [])
    await this.advance(2000)
    this.fill(fillMilliseconds)
    await this.advance(fillMilliseconds + SETTLING_MILLISECONDS)
    for (const worker of site.workers.values()) worker.shutDown()
    const { lapsedRunWorkerIds, violations } = site.judge
    return {
      timeouts: Object.fromEntries(site.timeouts),
      lapsedRuns: lapsedRunWorkerIds.length,
      lapsedWorkers: new Set(lapsedRunWorkerIds).size,
      longestAwayMilliseconds: this.longestAwayMilliseconds,
      lateTasks: this.lateTasks.size,
      lateRestarts: this.restartJudge.violations.length,
      violations
    }
  }

  /** Lets other traffic fill the link for a while. */
  private fill (milliseconds: number): void {
    this.site.timeouts.clear()
    const { directions, queueMilliseconds } = this.traffic
    if (queueMilliseconds === undefined) {
      for (const direction of directions) this.link.get(direction).fill(milliseconds)
      return
    }
    this.fillEndsAt = this.clock.monotonicMilliseconds() + milliseconds
    this.keepFull(queueMilliseconds)
  }

  private keepFull (queueMilliseconds: number): void {
    if (this.clock.monotonicMilliseconds() >= this.fillEndsAt) return
    for (const direction of this.traffic.directions) this.link.get(direction).fill(queueMilliseconds)
    this.clock.setTimer(FILL_INTERVAL_MILLISECONDS, () => this.keepFull(queueMilliseconds))
  }

  private async advance (milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += SAMPLE_MILLISECONDS) {
      if (elapsed % SHORT_INTERVAL_MILLISECONDS === 0) {
        const jobId = `short${this.clock.monotonicMilliseconds()}`
        this.site.submit(jobId, [{ taskCount: SHORT_TASKS_PER_JOB }])
      }
      await this.restartJudge.advance(SAMPLE_MILLISECONDS)
      this.sample()
    }
  }

  private sample (): void {
    const now = this.clock.monotonicMilliseconds()
    const away = new Set(this.restartJudge.getTasksAway().map(({ taskName }) => taskName))
    for (const taskName of this.awaySince.keys()) if (!away.has(taskName)) this.awaySince.delete(taskName)
    for (const taskName of away) {
      const since = this.awaySince.get(taskName) ?? now - SAMPLE_MILLISECONDS
      this.awaySince.set(taskName, since)
      this.longestAwayMilliseconds = Math.max(this.longestAwayMilliseconds, now - since)
      if (now - since > RESTART_MILLISECONDS) this.lateTasks.add(taskName)
    }
  }
}

/** Workers with odd numbers are in another data centre than those with even ones. */
function isFar (id: string): boolean {
  const [kind, number] = id.split('-')
  return kind === 'far' || (kind === 'worker' && Number(number) % 2 === 1)
}
