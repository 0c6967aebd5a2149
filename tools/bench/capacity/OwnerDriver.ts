import { ColocationPlacementEngine } from '../../../src/placement/ColocationPlacementEngine.js'
import type { ListedInstance } from '../../../src/membership/InstanceList.js'
import { CompiledPolicy } from '../../../src/policy/CompiledPolicy.js'
import { ShardOwner } from '../../../src/tasks/ShardOwner.js'
import { ShardState } from '../../../src/tasks/ShardState.js'
import type { OwnerEffect, OwnerMessage } from '../../../src/tasks/ownerMessages.js'
import type { InboxEntry, JournalRow } from '../../../src/tasks/JournalRecord.js'
import type { Row } from '../../../src/table/TableService.js'
import type { RunningTask, TaskEvent, WorkerAnswer, WorkerExchange } from '../../../src/workers/WorkerProtocol.js'

/** Counts of the owner's exchanges, journal writes and started tasks, with their encoded sizes. */
export interface DriverCounters {
  exchanges: number
  exchangeBytes: number
  journalWrites: number
  journalBytes: number
  starts: number
}

/** The size of a shard. */
export interface DriverOptions {
  workers: number
  kinds: number
  teams: number
}

interface DrivenWorker {
  running: Map<string, RunningTask>
  events: TaskEvent[]
  nextSequence: number
}

const WORKER_CAPACITY = { processors: 32, memoryMegabytes: 128_000, accelerators: 0 }
const TASK_SIZE = { processors: 1, memoryMegabytes: 4000, accelerators: 0 }
const TEAM_QUOTA = { processors: 1e6, memoryMegabytes: 1e9, accelerators: 0 }

/**
 * Drives the step function of one shard's owner with workers and a store that respond immediately, and counts the
 * encoded bytes of each message, so that the measured processor time and bytes are those of the scheduler's own code.
 */
export class OwnerDriver {
  readonly counters: DriverCounters = {
    exchanges: 0, exchangeBytes: 0, journalWrites: 0, journalBytes: 0, starts: 0
  }

  readonly owner: ShardOwner
  private readonly workers = new Map<string, DrivenWorker>()
  private readonly inbox: Row[] = []
  private nextJob = 0
  private now = 0

  private constructor (private readonly options: DriverOptions) {
    this.owner = ShardOwner.create({
      shardId: 'south-a',
      dataCentre: 'south-a',
      region: 'south',
      epoch: 1,
      state: ShardState.create(),
      lastSequence: 0,
      engine: ColocationPlacementEngine.create(),
      dataCentreVersion: null,
      isOutOfService: false,
      now: 0
    })
  }

  /**
   * Creates the owner of a shard and advances the clock until all workers have responded.
   * @param options The size of the shard.
   * @returns The driver.
   */
  static create (options: DriverOptions): OwnerDriver {
    const driver = new OwnerDriver(options)
    driver.configure()
    driver.send({ kind: 'workers-listed', workers: driver.listWorkers() })
    driver.advance(2000)
    return driver
  }

  /**
   * Submits a job.
   * @param count The number of tasks of the job.
   */
  submit (count: number): void {
    const number = this.nextJob++
    const entry: InboxEntry = {
      kind: 'job',
      job: {
        jobId: number.toString(16).padStart(32, '0'),
        team: `team-${number % this.options.teams}`,
        kind: `kind-${number % this.options.kinds}`,
        size: TASK_SIZE,
        dataCentre: null,
        payload: { runMilliseconds: 60_000 }
      },
      count
    }
    this.inbox.push({ table: 'inbox-south-a', key: entry.job.jobId, version: number + 1, value: entry as never })
    this.send({ kind: 'inbox-changed' })
  }

  /**
   * Completes running tasks.
   * @param count The number of tasks to complete.
   */
  complete (count: number): void {
    let remaining = count
    for (const worker of this.workers.values()) {
      for (const [key, { taskId, attempt }] of worker.running) {
        if (remaining-- <= 0) return
        worker.running.delete(key)
        worker.events.push({ taskId, attempt, sequence: worker.nextSequence++, ending: 'completed', checkpoint: null })
      }
    }
  }

  /**
   * Advances the clock and steps the owner at each wake-up time that it requests.
   * @param milliseconds How far to advance the clock.
   */
  advance (milliseconds: number): void {
    const end = this.now + milliseconds
    for (;;) {
      const next = Math.max(this.owner.getNextWake(this.now), this.now + 10)
      if (next > end) break
      this.now = next
      this.send({ kind: 'lease-renewed', renewedAt: this.now })
    }
    this.now = end
  }

  getRunningCount (): number {
    let count = 0
    for (const worker of this.workers.values()) count += worker.running.size
    return count
  }

  private configure (): void {
    const rules = Array.from({ length: this.options.teams }, (_, index) => ({
      rule: 'team' as const, team: `team-${index}`, who: 'bench', why: 'capacity', line: index + 1, ...TEAM_QUOTA
    }))
    const configuration = {
      version: 1, policyText: '', dataCentres: [], quarantinedWorkers: [], lostWorkers: []
    }
    this.send({ kind: 'configuration', configuration, policy: CompiledPolicy.create(rules) })
  }

  private listWorkers (): ListedInstance[] {
    return Array.from({ length: this.options.workers }, (_, index) => {
      const instanceId = `worker-${index}`
      this.workers.set(instanceId, { running: new Map(), events: [], nextSequence: 1 })
      return {
        instanceId,
        role: 'worker' as const,
        address: `127.0.0.1:${index}`,
        dataCentre: 'south-a',
        region: 'south',
        rack: `rack-${index >> 4}`,
        state: 'live' as const,
        capacity: WORKER_CAPACITY
      }
    })
  }

  private send (message: OwnerMessage): void {
    const queue: OwnerMessage[] = [message]
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      for (const effect of this.owner.step(next, this.now)) {
        const reply = this.execute(effect)
        if (reply !== null) queue.push(reply)
      }
    }
  }

  private execute (effect: OwnerEffect): OwnerMessage | null {
    switch (effect.kind) {
      case 'write-journal': {
        const records = effect.batch.entries.flatMap(entry => entry.record === null ? [] : [entry.record])
        const row: JournalRow = { writeId: effect.batch.writeId, epoch: 1, records }
        this.counters.journalWrites++
        this.counters.journalBytes += JSON.stringify(row).length
        return { kind: 'journal-settled', outcome: { kind: 'committed' } }
      }
      case 'exchange': {
        const { worker, sent } = effect
        const request = JSON.stringify(sent.exchange)
        const response = JSON.stringify(this.respond(worker.workerId, JSON.parse(request) as WorkerExchange))
        this.counters.exchanges++
        this.counters.exchangeBytes += request.length + response.length
        this.counters.starts += sent.starts.length
        const answer = JSON.parse(response) as WorkerAnswer
        return { kind: 'exchanged', workerId: worker.workerId, sent, outcome: { kind: 'answered', answer } }
      }
      case 'scan-inbox': return { kind: 'inbox-scanned', rows: this.inbox.splice(0) }
      case 'read-quotas': return { kind: 'quotas-read', teams: effect.teams, rows: effect.teams.map(() => null) }
      case 'write-snapshot': return { kind: 'snapshot-written', written: true }
      default: return null
    }
  }

  private respond (workerId: string, exchange: WorkerExchange): WorkerAnswer {
    const worker = this.workers.get(workerId)!
    worker.events = worker.events.filter(event => event.sequence > exchange.acknowledgedSequence)
    const results = exchange.starts.map(({ taskId, attempt, kind, size }) => {
      worker.running.set(`${taskId}#${attempt}`, { taskId, attempt, kind, size })
      return { command: 'start' as const, taskId, attempt, outcome: 'started' as const }
    })
    const tasks = [...worker.running.values()].map(({ taskId, attempt, size }) => ({
      taskId, attempt, processors: size.processors * 0.8, memoryMegabytes: size.memoryMegabytes * 0.8, slowdown: 1.05
    }))
    return {
      kind: 'accepted',
      workerTime: this.now,
      incarnation: `${workerId}/1`,
      results,
      events: worker.events,
      usage: { measuredAt: this.now - 3000, tasks },
      tasks: exchange.listTasks ? [...worker.running.values()] : null
    }
  }
}
