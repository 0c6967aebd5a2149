import type { VirtualClock } from '../../src/shared/VirtualClock.js'
import { type EmulatedInstance, type EmulatedSite } from './EmulatedSite.js'

/** Options of a judge. */
export interface RestartJudgeOptions {
  site: EmulatedSite
  clock: VirtualClock
}

/** The bound that a long-running task has exceeded. */
export type RestartBound =
  /** The rule of the platform: 6 s after its last run, with room for it twice over during 3 calm seconds. */
  | 'calm'
  /** A task that was last sent to a worker that is reachable or has exited waits for no other worker. */
  | 'other-worker'
  /** A task that was last sent to an unreachable worker waits only for the leases that were granted before. */
  | 'lease'

/** One period in which a long-running task did not run for longer than a bound allows. */
export interface LateRestart {
  bound: RestartBound
  taskName: string
  /** The worker to which it was last sent, or null if it never was. */
  lastWorkerId: string | null
  /** Time since the bound began to count. */
  waitedMilliseconds: number
}

interface Downtime {
  since: number
  /** Since when there has been room for the task twice over, or null if there is none now. */
  roomSince: number | null
  /** When it was last seen that the worker to which the task was last sent is unreachable. */
  unknownAt: number
}

interface WorkerContact {
  /** Whether its runs can be known, because it is reachable or its process has exited. */
  isKnown: boolean
  lastKnownAt: number
  /** When the first owner after that had loaded the jobs; null if there is none. */
  firstLoadAt: number | null
}

const SAMPLE_MILLISECONDS = 100
const RESTART_LIMIT_MILLISECONDS = 6000
const ROOM_MILLISECONDS = 3000
/** The time in which an owner that has lost the store still renews leases, the lease of a worker, and the margin. */
const LEASES_END_MILLISECONDS = 6000 + 6000 * 1.05
/** Time in which an owner starts a task after the end of a lease, or after it has loaded the jobs. */
const LEASE_START_MILLISECONDS = 3000
/** A moment is calm when no fault was active this long before it. */
const CALM_MILLISECONDS = 4000

/** Test oracle for the time in which long-running tasks of accepted jobs do not run, sampled during all faults. */
export class RestartJudge {
  private readonly lateRestarts = new Map<string, LateRestart>()
  private readonly downtimes = new Map<string, Downtime>()
  private readonly taskNames = new Set<string>()
  /** When each current owner had loaded the jobs. */
  private readonly loadedAtByOwner = new Map<EmulatedInstance, number>()
  private readonly contacts = new Map<string, WorkerContact>()
  private readonly seenIncarnations = new Set<unknown>()
  private lastFaultAt = -Infinity
  private loadedAt: number | null = null
  /** Number of times that an owner had loaded the jobs. */
  loadCount = 0

  private constructor (private readonly options: RestartJudgeOptions) {}

  /**
   * Creates a judge without records.
   * @param options The site and its clock.
   * @returns The judge.
   */
  static create (options: RestartJudgeOptions): RestartJudge {
    return new RestartJudge(options)
  }

  /** All periods that exceeded a bound, in the order in which they did. */
  get violations (): LateRestart[] {
    return [...this.lateRestarts.values()]
  }

  /** When the newest owner had loaded the jobs, or null if there is no such owner. */
  get ownerLoadedAt (): number | null {
    return this.loadedAt
  }

  /** Records that a job with one long-running step was accepted and is not to be cancelled. */
  recordAcceptedJob (jobId: string, taskCount: number): void {
    for (let index = 0; index < taskCount; index++) this.taskNames.add(`${jobId}.0.0.${index}`)
  }

  /** Returns the long-running tasks that do not run now, each with the worker to which it was last sent. */
  getTasksAway (): Array<{ taskName: string, lastWorkerId: string | null }> {
    const { judge } = this.options.site
    const running = new Set(judge.getRunningTasks())
    return [...this.taskNames].filter(taskName => !running.has(taskName))
      .map(taskName => ({ taskName, lastWorkerId: judge.lastOrderWorkerIds.get(taskName) ?? null }))
  }

  /**
   * Advances the clock and samples the site at a fixed interval.
   * @param durationMilliseconds The time to advance by.
   */
  async advance (durationMilliseconds: number): Promise<void> {
    const { clock } = this.options
    const end = clock.monotonicMilliseconds() + durationMilliseconds
    for (let now = clock.monotonicMilliseconds(); now < end; now = clock.monotonicMilliseconds()) {
      await clock.advance(Math.min(SAMPLE_MILLISECONDS, end - now))
      this.sample()
    }
  }

  private sample (): void {
    const now = this.options.clock.monotonicMilliseconds()
    this.sampleFaults(now)
    this.sampleOwners(now)
    const away = this.getTasksAway()
    const awayNames = new Set(away.map(({ taskName }) => taskName))
    for (const taskName of this.downtimes.keys()) if (!awayNames.has(taskName)) this.downtimes.delete(taskName)
    for (const { taskName, lastWorkerId } of away) this.checkTask(taskName, lastWorkerId, now)
  }

  private sampleFaults (now: number): void {
    const { site } = this.options
    for (const instance of site.instances) {
      const { tables: { faults }, process } = instance
      const isFaulty = !process.isAlive() || process.isFrozen() || faults.cutOff ||
        faults.lostAnswerShare > 0 || faults.lateShare > 0
      if (this.isNewIncarnation(instance) || isFaulty) this.lastFaultAt = now
    }
    for (const [workerId, worker] of site.workers) {
      const { cutOff, lostAnswerShare, lateShare } = worker.faults
      const incarnation = `${workerId} ${worker.bornAtMilliseconds} ${worker.isAlive}`
      const isFaulty = cutOff || lostAnswerShare > 0 || lateShare > 0 || site.paths.get(workerId)!.isLossy
      if (this.isNewIncarnation(incarnation) || isFaulty) this.lastFaultAt = now
      const isKnown = !worker.isAlive || !cutOff
      const contact = this.contacts.get(workerId)
      if (contact !== undefined && !isKnown) contact.isKnown = false
      else this.contacts.set(workerId, { isKnown, lastKnownAt: now, firstLoadAt: null })
    }
  }

  private isNewIncarnation (incarnation: unknown): boolean {
    const isNew = !this.seenIncarnations.has(incarnation)
    this.seenIncarnations.add(incarnation)
    return isNew
  }

  private sampleOwners (now: number): void {
    for (const instance of new Set([...this.options.site.instances, ...this.loadedAtByOwner.keys()])) {
      const { process, instance: { ownerApi } } = instance
      const isLoaded = process.isAlive() && !process.isFrozen() && ownerApi.probe().isOwner &&
        ownerApi.getJobState('') !== null
      if (!isLoaded) {
        this.loadedAtByOwner.delete(instance)
      } else if (!this.loadedAtByOwner.has(instance)) {
        this.loadedAtByOwner.set(instance, now)
        this.loadCount++
        for (const contact of this.contacts.values()) if (!contact.isKnown) contact.firstLoadAt ??= now
      }
    }
    this.loadedAt = this.loadedAtByOwner.size === 0 ? null : Math.max(...this.loadedAtByOwner.values())
  }

  private checkTask (taskName: string, lastWorkerId: string | null, now: number): void {
    const downtime = this.downtimes.get(taskName) ?? { since: now, roomSince: null, unknownAt: -Infinity }
    this.downtimes.set(taskName, downtime)
    if (this.countRoom(taskName) < 2) downtime.roomSince = null
    else downtime.roomSince ??= now
    const contact = lastWorkerId === null ? undefined : this.contacts.get(lastWorkerId)
    if (contact?.isKnown === false) downtime.unknownAt = now
    const { since, roomSince } = downtime
    if (roomSince === null) return
    const waited = now - since
    const isCalm = now - this.lastFaultAt >= CALM_MILLISECONDS + ROOM_MILLISECONDS
    if (isCalm && waited >= RESTART_LIMIT_MILLISECONDS && now - roomSince >= ROOM_MILLISECONDS) {
      this.report('calm', taskName, lastWorkerId, since, now)
    }
    if (this.loadedAt === null) return
    if (contact?.isKnown === false) {
      const leasesEnd = (contact.firstLoadAt ?? contact.lastKnownAt) + LEASES_END_MILLISECONDS
      const countedFrom = Math.max(roomSince, this.loadedAt, leasesEnd)
      if (now - countedFrom > LEASE_START_MILLISECONDS) this.report('lease', taskName, lastWorkerId, countedFrom, now)
    } else {
      const countedFrom = Math.max(roomSince, this.loadedAt, downtime.unknownAt)
      if (now - countedFrom > RESTART_LIMIT_MILLISECONDS) {
        this.report('other-worker', taskName, lastWorkerId, countedFrom, now)
      }
    }
  }

  private report (bound: RestartBound, taskName: string, lastWorkerId: string | null, from: number, now: number): void {
    this.lateRestarts.set(`${bound} ${taskName} ${from}`, { bound, taskName, lastWorkerId, waitedMilliseconds: now - from })
  }

  private countRoom (taskName: string): number {
    const { site } = this.options
    const task = site.tasks.get(taskName.split('.', 1)[0])!
    let count = 0
    for (const worker of site.workers.values()) {
      if (worker.isAlive && !worker.faults.cutOff) count += worker.countRoom(task)
    }
    return count
  }
}
