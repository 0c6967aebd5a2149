import type { WorkerEntry } from '../../src/dispatch/index.js'
import type { Clock } from '../../src/shared/Clock.js'
import type { JsonValue } from '../../src/shared/JsonValue.js'
import { EmulatedGangs } from './EmulatedGangs.js'
import { EmulatedInterference } from './EmulatedInterference.js'
import type { EmulatedJobs } from './EmulatedJobs.js'
import type { StepContext } from './EmulatedRuns.js'
import type { EmulatedTables } from './EmulatedTables.js'
import { EmulatedWorker } from './EmulatedWorker.js'
import type { EmulatedWorkerDescription } from './EmulatedWorkerDescription.js'
import type { RunJudge } from './RunJudge.js'

/** Options of the workers of a site. */
export interface EmulatedWorkersOptions {
  clock: Clock
  random: () => number
  judge: RunJudge
  jobs: EmulatedJobs
  tables: EmulatedTables
  /** The table in which the platform lists the workers. */
  workerTable: string
  /** Rate of the clocks of all workers; the default is 1. */
  workerClockRate?: number
  /** Selects which best-effort tasks disturb which serving tasks. */
  interferenceSeed: number
}

const DEFAULT_CAPACITY = { processorsMilli: 16_000, memoryMegabytes: 64_000, accelerators: 0 }
/** The platform removes a worker from its list this long after the worker process crashes. */
const DELISTING_DELAY_MILLISECONDS = 4500

/** The workers of an emulated site and the platform's list of them. */
export class EmulatedWorkers {
  readonly byId = new Map<string, EmulatedWorker>()
  private readonly descriptions = new Map<string, EmulatedWorkerDescription>()
  private readonly steps: StepContext

  private constructor (private readonly options: EmulatedWorkersOptions) {
    this.steps = {
      getStep: taskName => options.jobs.getStep(taskName),
      gangs: EmulatedGangs.create(),
      interference: EmulatedInterference.create({ seed: options.interferenceSeed })
    }
  }

  /**
   * Creates an empty list.
   * @param options The jobs, the judge of their runs and the tables of the platform.
   * @returns The workers.
   */
  static create (options: EmulatedWorkersOptions): EmulatedWorkers {
    return new EmulatedWorkers(options)
  }

  /** Starts a worker and lists it. */
  add (workerId: string, description: EmulatedWorkerDescription = createDescription(workerId)): EmulatedWorker {
    const { clock, random, workerClockRate, judge, jobs } = this.options
    const { capacity, labels, guardsCapacity } = description
    this.descriptions.set(workerId, description)
    const worker = EmulatedWorker.create({
      clockRate: workerClockRate,
      workerId,
      capacity,
      labels,
      serviceName: this.getServiceName(description),
      clock,
      judge,
      random,
      guardsCapacity,
      getTask: taskName => jobs.getTask(taskName),
      steps: this.steps
    })
    this.byId.set(workerId, worker)
    this.list(workerId)
    return worker
  }

  /** Crashes a worker process; the worker is removed from the list later unless it has restarted. */
  crash (workerId: string): void {
    this.byId.get(workerId)?.crash()
    this.options.clock.setTimer(DELISTING_DELAY_MILLISECONDS, () => {
      if (this.byId.get(workerId)?.isAlive !== true) this.delist(workerId)
    })
  }

  /** Lists a worker as one that leaves; its process ends after the time in milliseconds, and it is removed. */
  drain (workerId: string, remainingMilliseconds: number): void {
    this.list(workerId, { state: 'draining', remainingMilliseconds })
    this.options.clock.setTimer(remainingMilliseconds, () => {
      this.byId.get(workerId)?.shutDown()
      this.delist(workerId)
    })
  }

  /** Restarts a worker process under the same worker ID and lists its new incarnation. */
  restart (workerId: string): void {
    this.byId.get(workerId)?.restart()
    this.list(workerId)
  }

  /** Returns how the platform lists a worker now, or null if it does not. */
  getEntry (workerId: string): WorkerEntry | null {
    const row = this.options.tables.get({ table: this.options.workerTable, key: workerId })
    return row === null ? null : row.value as unknown as WorkerEntry
  }

  private list (workerId: string, changes: Partial<WorkerEntry> = {}): void {
    const { tables, workerTable } = this.options
    const description = this.descriptions.get(workerId)!
    const { capacity, labels, dataCentre } = description
    const entry: WorkerEntry = {
      workerId,
      serviceName: this.getServiceName(description),
      address: `${workerId}:1`,
      dataCentre,
      state: 'ready',
      labels,
      capacity,
      bornAtMilliseconds: this.byId.get(workerId)!.bornAtMilliseconds,
      remainingMilliseconds: null,
      ...changes
    }
    const value = entry as unknown as JsonValue
    tables.apply({
      operations: [{ kind: 'put', table: workerTable, key: workerId, value, condition: { kind: 'any' } }]
    })
  }

  private delist (workerId: string): void {
    const { tables, workerTable } = this.options
    tables.apply({ operations: [{ kind: 'delete', table: workerTable, key: workerId, condition: { kind: 'any' } }] })
  }

  private getServiceName ({ serviceName }: EmulatedWorkerDescription): string {
    return serviceName ?? this.options.jobs.queues[0].serviceName
  }
}

/** Returns a large worker in the first or the second data centre, depending on the number in its ID. */
function createDescription (workerId: string): EmulatedWorkerDescription {
  const dataCentre = Number(workerId.split('-')[1]) % 2 === 0 ? 'south-a' : 'south-b'
  return { workerId, capacity: DEFAULT_CAPACITY, labels: ['a', 'r1'], dataCentre }
}
