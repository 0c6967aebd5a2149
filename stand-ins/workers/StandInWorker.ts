import type { CancelTimer, Clock } from '../../src/shared/Clock.js'
import type { WorkerDescription } from '../../src/placement/PlacementEngine.js'
import type { ObjectStore } from '../../src/table/TableService.js'
import {
  START_WINDOW_MILLISECONDS, WORKER_LEASE_MILLISECONDS, type CommandResult, type RunningTask, type StartCommand,
  type StartRefusal, type StopCommand, type TaskEnding, type TaskEvent, type TaskRun, type UsageReport,
  type WorkerAnswer, type WorkerExchange
} from '../../src/workers/WorkerProtocol.js'
import type { InterferenceModel, KindLoad } from './InterferenceModel.js'
import type { RunInterval, RunLog } from './RunLog.js'

/** `broken` fails each task soon after its start, `refusing` rejects all starts; the others affect the whole worker. */
export type WorkerFault = 'none' | 'broken' | 'refusing' | 'frozen' | 'unreachable' | 'dead'

/** Options of a worker. */
export interface StandInWorkerOptions {
  description: WorkerDescription
  clock: Clock
  random: () => number
  objectStore: ObjectStore
  model: InterferenceModel
  runLog: RunLog
  /** Minimum age of the usage reports that are sent, in milliseconds. */
  usageLagMilliseconds?: number
}

/** The usage reports of the platform are some seconds old. */
const USAGE_LAG_MILLISECONDS = 3000
const USAGE_INTERVAL_MILLISECONDS = 1000
/** A broken worker accepts a start and fails the task later, as a worker with a faulty disk does. */
const BROKEN_RUN_MILLISECONDS = 50
const CHECKPOINT_RETRY_MILLISECONDS = 500
const DEFAULT_RUN_MILLISECONDS = 1000

interface LiveTask {
  start: StartCommand
  interval: RunInterval
  /** Remaining run time at full speed in milliseconds, null until the checkpoint has been read. */
  remaining: number | null
  speed: number
  share: number
  slowdown: number
  processors: number
  memoryMegabytes: number
  ending: 'completed' | 'failed'
}

interface EndedTask {
  start: StartCommand
  ending: TaskEnding
  /** Whether the event for the end of the run exists; until then the task is listed as running. */
  reported: boolean
  /** Settles when the checkpoint has been written. */
  checkpoint: Promise<string | null>
}

/** Emulates a worker of the platform in memory; it starts tasks even if they exceed its capacity. */
export class StandInWorker {
  private readonly liveTasks = new Map<string, LiveTask>()
  private readonly endedTasks = new Map<string, EndedTask>()
  private events: TaskEvent[] = []
  private measurements: UsageReport[] = []
  private highestEpoch = 0
  private leaseEnd = -Infinity
  private nextSequence = 1
  private incarnationNumber = 1
  private advancedAt = 0
  private cancelTimer: CancelTimer = () => {}
  private fault: WorkerFault = 'none'
  private frozenWaiters: Array<() => void> = []

  private constructor (private readonly options: Required<StandInWorkerOptions>) {}

  /**
   * Creates an idle worker.
   * @param options The options of the worker.
   * @returns The worker.
   */
  static create (options: StandInWorkerOptions): StandInWorker {
    return new StandInWorker({ usageLagMilliseconds: USAGE_LAG_MILLISECONDS, ...options })
  }

  /**
   * Handles one exchange; while the worker is frozen, the exchange is delayed.
   * @param exchange The message.
   * @returns The answer, or null if the worker is unreachable.
   */
  async exchange (exchange: WorkerExchange): Promise<WorkerAnswer | null> {
    while (this.fault === 'frozen') await new Promise<void>(resolve => { this.frozenWaiters.push(resolve) })
    if (this.fault === 'unreachable' || this.fault === 'dead') return null
    if (exchange.epoch < this.highestEpoch) return { kind: 'stale-epoch', currentEpoch: this.highestEpoch }
    this.highestEpoch = exchange.epoch
    this.advanceTasks()
    const now = this.options.clock.monotonicMilliseconds()
    // This worker has not issued a proof with a time in the future.
    if (exchange.proof !== null && exchange.proof <= now) {
      this.leaseEnd = Math.max(this.leaseEnd, exchange.proof + WORKER_LEASE_MILLISECONDS)
    }
    if (exchange.acknowledgedIncarnation === this.getIncarnation()) {
      this.events = this.events.filter(event => event.sequence > exchange.acknowledgedSequence)
    }
    const stops = exchange.stops.map(stop => this.stop(stop))
    const starts = exchange.starts.map(start => this.start(start, exchange.proof, now))
    const throttles = exchange.throttles.map(throttle => this.throttle(throttle, throttle.share))
    this.reschedule()
    const usage = this.getUsage(now)
    const results = [...starts, ...throttles, ...await Promise.all(stops)]
    return {
      kind: 'accepted',
      workerTime: now,
      incarnation: this.getIncarnation(),
      results,
      events: [...this.events],
      usage,
      tasks: exchange.listTasks ? this.listTasks() : null
    }
  }

  /**
   * Switches a fault on, or off with `none`; a worker that was dead returns as a new incarnation.
   * @param fault The fault that replaces the current one.
   */
  setFault (fault: WorkerFault): void {
    this.advanceTasks()
    if (fault === 'dead' || this.fault === 'dead') this.restart()
    this.fault = fault
    this.reschedule()
    if (fault !== 'frozen') this.frozenWaiters.splice(0).forEach(resolve => resolve())
  }

  /** Restarts the worker process as a new incarnation; its tasks, events, epoch and lease are lost. */
  restart (): void {
    for (const task of this.liveTasks.values()) this.closeInterval(task, 'lost')
    this.liveTasks.clear()
    this.endedTasks.clear()
    this.events = []
    this.measurements = []
    this.highestEpoch = 0
    this.leaseEnd = -Infinity
    this.nextSequence = 1
    this.incarnationNumber++
    this.reschedule()
  }

  /**
   * Returns the number of running tasks.
   * @returns The number of tasks.
   */
  getRunningCount (): number {
    return this.liveTasks.size
  }

  private getIncarnation (): string {
    return `${this.options.description.workerId}/${this.incarnationNumber}`
  }

  private listTasks (): RunningTask[] {
    const unreported = [...this.endedTasks.values()].filter(task => !task.reported)
    return [...this.liveTasks.values(), ...unreported]
      .map(({ start: { taskId, attempt, kind, size } }) => ({ taskId, attempt, kind, size }))
  }

  private start (start: StartCommand, proof: number | null, now: number): CommandResult {
    const { taskId, attempt } = start
    const key = getRunKey(start)
    if (this.liveTasks.has(key)) return { command: 'start', taskId, attempt, outcome: 'already-running' }
    const refusal = this.getRefusal(key, proof, now)
    if (refusal !== null) return { command: 'start', taskId, attempt, outcome: 'refused', reason: refusal }
    this.beginRun(key, start)
    return { command: 'start', taskId, attempt, outcome: 'started' }
  }

  private getRefusal (key: string, proof: number | null, now: number): StartRefusal | null {
    if (this.endedTasks.has(key)) return 'already-ended'
    if (this.leaseEnd <= now) return 'lease-ended'
    if (proof === null || proof > now || now - proof > START_WINDOW_MILLISECONDS) return 'proof-too-old'
    return this.fault === 'refusing' ? 'broken' : null
  }

  private beginRun (key: string, start: StartCommand): void {
    const { description, model, random, runLog, clock } = this.options
    const { taskId, attempt, kind, size } = start
    const factors = model.getUsageFactors(kind)
    const payload = (start.payload ?? {}) as { runMilliseconds?: number, fails?: boolean }
    const isBroken = this.fault === 'broken'
    const runMilliseconds = isBroken ? BROKEN_RUN_MILLISECONDS : payload.runMilliseconds ?? DEFAULT_RUN_MILLISECONDS
    const task: LiveTask = {
      start,
      interval: {
        taskId,
        attempt,
        kind,
        workerId: description.workerId,
        dataCentre: description.dataCentre,
        size,
        startedAt: clock.wallMilliseconds(),
        endedAt: null,
        ending: null
      },
      remaining: start.checkpoint === null || isBroken ? runMilliseconds : null,
      speed: 1,
      share: 1,
      slowdown: 1,
      processors: size.processors * factors.processors * (0.9 + 0.2 * random()),
      memoryMegabytes: size.memoryMegabytes * factors.memory * (0.9 + 0.2 * random()),
      ending: isBroken || payload.fails === true ? 'failed' : 'completed'
    }
    this.liveTasks.set(key, task)
    runLog.add(task.interval)
    if (this.isOverCommitted()) runLog.addOverCommitment()
    if (task.remaining === null) this.readCheckpoint(key, task, runMilliseconds)
  }

  private async readCheckpoint (key: string, task: LiveTask, runMilliseconds: number): Promise<void> {
    const read = await this.options.objectStore.getObject(task.start.checkpoint!)
    if (this.liveTasks.get(key) !== task) return
    if (read.kind !== 'ok') {
      this.options.clock.setTimer(CHECKPOINT_RETRY_MILLISECONDS, () => {
        this.readCheckpoint(key, task, runMilliseconds)
      })
      return
    }
    this.advanceTasks()
    task.remaining = read.value === null ? runMilliseconds : JSON.parse(Buffer.from(read.value).toString()).remaining
    this.reschedule()
  }

  private async stop (stop: StopCommand): Promise<CommandResult> {
    const { taskId, attempt } = stop
    const key = getRunKey(stop)
    if (this.liveTasks.has(key)) this.endRun(key, 'stopped', stop.checkpoint)
    const ended = this.endedTasks.get(key)
    if (ended?.ending !== 'stopped') return { command: 'stop', taskId, attempt, outcome: 'not-running' }
    return { command: 'stop', taskId, attempt, outcome: 'stopped', checkpoint: await ended.checkpoint }
  }

  private throttle (run: TaskRun, share: number): CommandResult {
    const { taskId, attempt } = run
    const task = this.liveTasks.get(getRunKey(run))
    if (task === undefined) return { command: 'throttle', taskId, attempt, outcome: 'not-running' }
    task.share = share
    return { command: 'throttle', taskId, attempt, outcome: 'throttled' }
  }

  /** Ends a run immediately; its event is added when the checkpoint has been written. */
  private endRun (key: string, ending: TaskEnding, withCheckpoint: boolean): void {
    const task = this.liveTasks.get(key)!
    const incarnation = this.incarnationNumber
    this.liveTasks.delete(key)
    this.closeInterval(task, ending)
    const checkpoint = withCheckpoint ? this.writeCheckpoint(task) : Promise.resolve(null)
    const ended = { start: task.start, ending, reported: false, checkpoint }
    this.endedTasks.set(key, ended)
    const { taskId, attempt } = task.start
    const addEvent = (name: string | null) => {
      if (incarnation !== this.incarnationNumber) return
      ended.reported = true
      this.events.push({ taskId, attempt, sequence: this.nextSequence++, ending, checkpoint: name })
    }
    if (withCheckpoint) checkpoint.then(addEvent)
    else addEvent(null)
  }

  /** Writes a checkpoint; if that fails, returns the checkpoint that the run started from. */
  private async writeCheckpoint (task: LiveTask): Promise<string | null> {
    const { taskId, attempt, checkpoint } = task.start
    if (task.remaining === null || this.fault === 'frozen') return checkpoint
    const name = `checkpoints/${taskId}/${attempt}`
    const bytes = Buffer.from(JSON.stringify({ remaining: task.remaining }))
    const written = await this.options.objectStore.putObject(name, bytes)
    return written.kind === 'ok' ? name : checkpoint
  }

  private closeInterval (task: LiveTask, ending: RunInterval['ending']): void {
    task.interval.endedAt = this.options.clock.wallMilliseconds()
    task.interval.ending = ending
  }

  /** Updates the remaining work of each task to the current time, and ends runs that are done or without a lease. */
  private advanceTasks (): void {
    const now = this.options.clock.monotonicMilliseconds()
    const elapsed = now - this.advancedAt
    this.advancedAt = now
    for (const [key, task] of [...this.liveTasks]) {
      if (task.remaining === null) continue
      if (this.fault !== 'frozen') task.remaining -= elapsed * task.speed
      // Timers have a resolution of 1 ms, so a task with less than 0.5 ms of work remaining is done.
      if (task.remaining < 0.5) this.endRun(key, task.ending, false)
    }
    if (now < this.leaseEnd) return
    for (const key of [...this.liveTasks.keys()]) this.endRun(key, 'stopped', true)
  }

  /** Updates the speeds of the tasks and sets one timer for the next end of a task or of the lease. */
  private reschedule (): void {
    this.cancelTimer()
    if (this.liveTasks.size === 0) return
    this.updateSlowdowns()
    const now = this.options.clock.monotonicMilliseconds()
    let next = this.leaseEnd - now
    for (const task of this.liveTasks.values()) {
      task.speed = Math.max(task.share, 0.001) / task.slowdown
      if (task.remaining !== null && this.fault !== 'frozen') next = Math.min(next, task.remaining / task.speed)
    }
    this.cancelTimer = this.options.clock.setTimer(Math.max(0, Math.ceil(next)), () => {
      this.advanceTasks()
      this.reschedule()
    })
  }

  private updateSlowdowns (): void {
    const loads = new Map<string, KindLoad>()
    let used = 0
    for (const task of this.liveTasks.values()) {
      const load = loads.get(task.start.kind) ?? { kind: task.start.kind, processors: 0 }
      load.processors += task.processors * task.share
      used += task.processors * task.share
      loads.set(load.kind, load)
    }
    const capacity = this.options.description.capacity.processors
    const slowdowns = new Map([...loads.keys()].map(kind => {
      const others = [...loads.values()].filter(load => load.kind !== kind)
      return [kind, this.options.model.getSlowdown(kind, others, capacity, used)]
    }))
    for (const task of this.liveTasks.values()) task.slowdown = slowdowns.get(task.start.kind)!
  }

  private getUsage (now: number): UsageReport | null {
    const last = this.measurements.at(-1)
    if (last === undefined || now - last.measuredAt >= USAGE_INTERVAL_MILLISECONDS) {
      this.measurements.push({ measuredAt: now, tasks: [...this.liveTasks.values()].map(measureTask) })
    }
    const available = this.measurements.filter(report => report.measuredAt <= now - this.options.usageLagMilliseconds)
    if (available.length > 1) this.measurements.splice(0, available.length - 1)
    return available.at(-1) ?? null
  }

  private isOverCommitted (): boolean {
    const { capacity } = this.options.description
    const sums = { processors: 0, memoryMegabytes: 0, accelerators: 0 }
    for (const { start: { size } } of this.liveTasks.values()) {
      sums.processors += size.processors
      sums.memoryMegabytes += size.memoryMegabytes
      sums.accelerators += size.accelerators
    }
    // Tolerates rounding errors in sums of fractional processors.
    return sums.processors > capacity.processors + 1e-6 || sums.memoryMegabytes > capacity.memoryMegabytes + 1e-6 ||
      sums.accelerators > capacity.accelerators
  }
}

function measureTask (task: LiveTask) {
  const { start: { taskId, attempt }, processors, memoryMegabytes, share, slowdown } = task
  return { taskId, attempt, processors: processors * share, memoryMegabytes, slowdown }
}

function getRunKey (run: TaskRun): string {
  return `${run.taskId}#${run.attempt}`
}
