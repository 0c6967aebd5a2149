import { ConfigurationWriter } from '../../src/configuration/ConfigurationWriter.js'
import type { ConfigurationChange } from '../../src/configuration/ConfigurationChange.js'
import { VersionedConfiguration } from '../../src/configuration/VersionedConfiguration.js'
import type { ListedInstance } from '../../src/membership/InstanceList.js'
import { FirstFitPlacementEngine } from '../../src/placement/FirstFitPlacementEngine.js'
import type { PlacementEngine, WorkerDescription } from '../../src/placement/PlacementEngine.js'
import { Scheduler } from '../../src/scheduler/Scheduler.js'
import type { JobSubmission, SubmissionOutcome } from '../../src/scheduler/SchedulerApi.js'
import type { SchedulerPeer } from '../../src/scheduler/SchedulerPeer.js'
import type { SchedulerRules } from '../../src/scheduler/ShardManager.js'
import { silentLogger } from '../../src/shared/Logger.js'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import type { ObjectStore } from '../../src/table/TableService.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { MemoryTableService } from '../../stand-ins/table-service/MemoryTableService.js'
import { StandInWorkerPool } from '../../stand-ins/workers/StandInWorkerPool.js'
import { InvariantChecker } from './InvariantChecker.js'
import { SimulatedProcess } from './SimulatedProcess.js'

/** A data centre of a simulation and the number of its workers and schedulers. */
export interface SimulatedDataCentre {
  name: string
  region: string
  workers: number
  schedulers: number
}

/** The size and the settings of a simulated cluster. */
export interface ClusterOptions {
  seed: number
  dataCentres: SimulatedDataCentre[]
  processorsPerWorker?: number
  rules?: SchedulerRules
  createEngine?: () => PlacementEngine
  /** Makes every checkpoint write fail, so that a stopped task starts again from scratch. */
  withoutCheckpoints?: boolean
}

/** A scheduler and the simulated process that it runs in. */
export interface SimulatedScheduler {
  instance: ListedInstance
  process: SimulatedProcess
  scheduler: Scheduler
}

const PEER_TIMEOUT_MILLISECONDS = 2000
const MEMORY_MEGABYTES_PER_PROCESSOR = 4000
/** The delay of each store call while the store has no faults. */
export const STORE_DELAY_MILLISECONDS = 5

/** Simulates schedulers, workers and the store under a virtual clock, injects faults and checks invariants. */
export class ClusterSimulation {
  readonly clock = VirtualClock.create(1000)
  readonly store: MemoryTableService
  readonly workers: StandInWorkerPool
  readonly workerIds: string[]
  readonly checker: InvariantChecker
  readonly schedulers = new Map<string, SimulatedScheduler>()
  /** The tasks whose submission was accepted. */
  readonly acceptedTaskIds = new Set<string>()
  /** The accepted tasks whose cancellation was accepted. */
  readonly cancelledTaskIds = new Set<string>()
  private readonly random: () => number
  private readonly instances: ListedInstance[]

  private constructor (private readonly options: ClusterOptions) {
    this.random = createRandom(options.seed)
    this.store = MemoryTableService.create({
      random: this.random,
      wait: milliseconds => new Promise(resolve => { this.clock.setTimer(milliseconds, resolve) }),
      now: () => this.clock.monotonicMilliseconds()
    })
    this.store.faults.delayMilliseconds = STORE_DELAY_MILLISECONDS
    const descriptions = options.dataCentres.flatMap(dataCentre => this.describeWorkers(dataCentre))
    this.workerIds = descriptions.map(({ workerId }) => workerId)
    this.workers = StandInWorkerPool.create({
      workers: descriptions,
      clock: this.clock,
      seed: options.seed,
      objectStore: options.withoutCheckpoints === true ? createCheckpointRejectingStore(this.store) : this.store,
      penalties: {}
    })
    const regions = new Map(options.dataCentres.map(({ name, region }) => [name, region]))
    const listedWorkers = descriptions.map(({ workerId, dataCentre, rack, capacity }): ListedInstance => ({
      instanceId: workerId,
      role: 'worker',
      address: workerId,
      dataCentre,
      region: regions.get(dataCentre)!,
      rack,
      state: 'live',
      capacity
    }))
    const listedSchedulers = options.dataCentres.flatMap(({ name, region, schedulers }) =>
      Array.from({ length: schedulers }, (_, index): ListedInstance => {
        const instanceId = `${name}-s${index}`
        const address = `${instanceId}:1`
        return { instanceId, role: 'scheduler', address, dataCentre: name, region, rack: 'r', state: 'live' }
      }))
    this.instances = [...listedWorkers, ...listedSchedulers]
    this.checker = InvariantChecker.create({
      runLog: this.workers.runLog, now: () => this.clock.monotonicMilliseconds()
    })
    this.checker.watchTransactions(this.store)
    for (const instance of listedSchedulers) this.startScheduler(instance)
  }

  /**
   * Creates a cluster whose schedulers have just started.
   * @param options The size and the settings of the cluster.
   * @returns The simulation.
   */
  static create (options: ClusterOptions): ClusterSimulation {
    return new ClusterSimulation(options)
  }

  /** Advances the clock in steps and checks the invariants after each step. */
  async advance (durationMilliseconds: number, stepMilliseconds = 250): Promise<void> {
    for (let remaining = durationMilliseconds; remaining > 0; remaining -= stepMilliseconds) {
      await this.clock.advance(Math.min(remaining, stepMilliseconds))
      this.checker.check(this.getValidOwners())
    }
  }

  /**
   * Submits a job to the first scheduler that is alive and not frozen.
   * @param submission The job; fields that are left out have defaults.
   * @returns The outcome; the promise settles only while the clock advances.
   */
  async submit (submission: Partial<JobSubmission> & { key: string }): Promise<SubmissionOutcome> {
    const receiver = [...this.schedulers.values()].find(({ process }) => process.isAlive() && !process.isFrozen())
    if (receiver === undefined) return { kind: 'not-run', reason: 'no scheduler' }
    const outcome = await receiver.scheduler.service.submitJob({
      team: 'team',
      kind: 'draft',
      count: 1,
      size: { processors: 1, memoryMegabytes: 1000, accelerators: 0 },
      dataCentre: null,
      payload: { runMilliseconds: 5000 },
      ...submission
    })
    if (outcome.kind === 'accepted') for (const taskId of outcome.taskIds) this.acceptedTaskIds.add(taskId)
    return outcome
  }

  /** Cancels a task through the first scheduler that is alive, not frozen and can locate the task. */
  async cancel (taskId: string): Promise<void> {
    for (const { scheduler, process } of this.schedulers.values()) {
      if (!process.isAlive() || process.isFrozen()) continue
      const outcome = await scheduler.service.cancelTask({ taskId })
      if (outcome.kind === 'accepted') this.cancelledTaskIds.add(taskId)
      if (outcome.kind !== 'not-found') return
    }
  }

  /** Applies an operator's configuration change over a connection to the store without per-process faults. */
  async changeConfiguration (change: ConfigurationChange): Promise<boolean> {
    const writer = ConfigurationWriter.create({ tableService: this.store, clock: this.clock })
    const base = await writer.readBase()
    if (base.kind !== 'ok') return false
    const origin = { operator: 'test', reason: 'test', deadlineMilliseconds: 1000 }
    return (await writer.write(base.value, change, origin)).kind === 'ok'
  }

  /** Kills a scheduler process. */
  kill (instanceId: string): void {
    this.schedulers.get(instanceId)?.process.kill()
  }

  /** Kills a scheduler and starts it at the same address without the state of its earlier incarnation. */
  restart (instanceId: string): void {
    this.kill(instanceId)
    this.startScheduler(this.instances.find(instance => instance.instanceId === instanceId)!)
  }

  /** Clears all faults and restarts the schedulers that were killed. */
  clearFaults (): void {
    Object.assign(this.store.faults, {
      down: false, delayMilliseconds: STORE_DELAY_MILLISECONDS, lostAnswerShare: 0, lostRequestShare: 0
    })
    for (const workerId of this.workerIds) this.workers.setFault(workerId, 'none')
    for (const [instanceId, { process }] of this.schedulers) {
      if (!process.isAlive()) this.restart(instanceId)
      process.isStoreUnreachable = false
      process.areStoreReadsFailing = false
      process.unreachableWorkers.clear()
      process.refusingWorkers.clear()
      Object.assign(process.faults, { duplicateShare: 0, lateShare: 0, lostAnswerShare: 0, lateWriteShare: 0 })
    }
  }

  /** Returns the accepted tasks that no live owner reports as ended. */
  getOpenTasks (): Array<{ taskId: string, state: string }> {
    const open: Array<{ taskId: string, state: string }> = []
    for (const taskId of this.acceptedTaskIds) {
      const states = this.getShardOwners().flatMap(core => core.state.tasks.get(taskId)?.state ?? [])
      const isEnded = states.some(state => state === 'completed' || state === 'cancelled' || state === 'failed')
      if (!isEnded) open.push({ taskId, state: states.join(' and ') || 'unknown' })
    }
    return open
  }

  /** Returns the shard owners that run in live processes. */
  getShardOwners () {
    return [...this.schedulers.values()].filter(({ process }) => process.isAlive())
      .flatMap(({ scheduler }) => scheduler.shards.getRunners().map(runner => runner.owner.core))
  }

  private getValidOwners (): Map<string, string[]> {
    const owners = new Map<string, string[]>()
    const now = this.clock.monotonicMilliseconds()
    for (const { scheduler, process, instance } of this.schedulers.values()) {
      if (!process.isAlive()) continue
      for (const { lease } of scheduler.shards.getRunners()) {
        if (!lease.isValid(now)) continue
        owners.set(lease.shardId, [...owners.get(lease.shardId) ?? [], instance.instanceId])
      }
    }
    return owners
  }

  private describeWorkers ({ name, workers }: SimulatedDataCentre): WorkerDescription[] {
    const processors = this.options.processorsPerWorker ?? 4
    const capacity = { processors, memoryMegabytes: processors * MEMORY_MEGABYTES_PER_PROCESSOR, accelerators: 0 }
    return Array.from({ length: workers }, (_, index) => ({
      workerId: `${name}-w${index}`, dataCentre: name, rack: `${name}-r${index % 2}`, capacity
    }))
  }

  private startScheduler (instance: ListedInstance): void {
    const { instanceId, address, dataCentre, region } = instance
    const process = SimulatedProcess.create({
      clock: this.clock, random: this.random, store: this.store, workerClient: this.workers
    })
    const { clock, store } = process
    const configuration = VersionedConfiguration.create({
      tableService: store, clock, logger: silentLogger, peers: () => []
    })
    const scheduler = Scheduler.create({
      instanceId,
      address,
      dataCentre,
      region,
      tableService: store,
      objectStore: store,
      workerClient: process.workerClient,
      instanceList: {
        readInstances: async () => await process.receive(Promise.resolve({ kind: 'ok', instances: this.instances }))
      },
      configuration,
      createEngine: this.options.createEngine ?? (() => FirstFitPlacementEngine.create()),
      getPeer: peerAddress => this.createPeer(process, peerAddress),
      clock,
      logger: silentLogger,
      rules: this.options.rules
    })
    this.schedulers.set(instanceId, { instance, process, scheduler })
    scheduler.start()
  }

  private createPeer (caller: SimulatedProcess, address: string): SchedulerPeer {
    const call = async <Value>(invoke: (scheduler: Scheduler) => Promise<Value>): Promise<Value> => {
      const target = [...this.schedulers.values()].find(({ instance }) => instance.address === address)
      return await new Promise((resolve, reject) => {
        caller.clock.setTimer(PEER_TIMEOUT_MILLISECONDS, () => reject(new Error('timeout')))
        target?.process.runWhenAwake(() => {
          target.process.receive(invoke(target.scheduler))
            .then(value => caller.runWhenAwake(() => resolve(value)), reject)
        })
      })
    }
    return {
      getStatus: () => call(({ service }) => service.getStatus()),
      inboxChanged: input => call(({ service }) => service.inboxChanged(input)),
      releaseShard: input => call(({ service }) => service.releaseShard(input)),
      exchangeConfiguration: async () => null,
      getTaskDirectly: taskId => call(({ service }) => service.getTask({ taskId }, true)),
      cancelTaskDirectly: taskId => call(({ service }) => service.cancelTask({ taskId }, true)),
      listTasksDirectly: filter => call(({ service }) => service.listTasks(filter, true)),
      listWorkersDirectly: () => call(({ service }) => service.listWorkers(true))
    }
  }
}

function createCheckpointRejectingStore (store: ObjectStore): ObjectStore {
  return {
    putObject: async () => ({ kind: 'unavailable', reason: 'no checkpoints' }),
    getObject: async key => await store.getObject(key),
    deleteObject: async key => await store.deleteObject(key)
  }
}
