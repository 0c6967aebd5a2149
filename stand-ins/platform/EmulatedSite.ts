import { Registry } from 'prom-client'
import type { ClientAccount } from '../../src/accounts/index.js'
import type { GangTimes, WorkerClient, WorkerEntry } from '../../src/dispatch/index.js'
import {
  Instance, JOB_TABLE, type CallerWait, type OwnerPeer, type QueueConfiguration, type SubmitOutcome
} from '../../src/instance/index.js'
import type { StepSpecification } from '../../src/jobs/index.js'
import type { JsonValue } from '../../src/shared/JsonValue.js'
import { silentLogger, type LogFields, type Logger } from '../../src/shared/Logger.js'
import type { VirtualClock } from '../../src/shared/VirtualClock.js'
import { PageSize } from '../../src/table/PageSize.js'
import type { TableFeed } from '../../src/table/TableFeed.js'
import { DEFAULT_TABLE_LIMITS } from '../../src/table/TableLimits.js'
import type { ReadOutcome, TableService } from '../../src/table/TableService.js'
import { SimulatedProcess } from '../../tools/simulation/SimulatedProcess.js'
import { MemoryTableService } from '../table-service/MemoryTableService.js'
import { strictLogger } from './createTestErrors.js'
import { DistantTables } from './DistantTables.js'
import { EmulatedConnections, type ConnectionCounts, type ExpiredCalls } from './EmulatedConnections.js'
import { EmulatedJobs, type SubmissionOptions } from './EmulatedJobs.js'
import { EmulatedOperators, OPERATOR_TABLE } from './EmulatedOperators.js'
import { EmulatedProcessor } from './EmulatedProcessor.js'
import { EmulatedTables, type EmulatedTableClient } from './EmulatedTables.js'
import type { EmulatedTask, EmulatedWorker } from './EmulatedWorker.js'
import type { EmulatedWorkerDescription } from './EmulatedWorkerDescription.js'
import { EmulatedWorkers } from './EmulatedWorkers.js'
import { gateObjects, gateTables, gateWorker } from './gateCalls.js'
import { MemoryObjects } from './MemoryObjects.js'
import { PathFaults } from './PathFaults.js'
import { QueuedJobs } from './QueuedJobs.js'
import type { LinkRoute, RegionLink } from './RegionLink.js'
import { RunJudge } from './RunJudge.js'
import { WorkerPaths } from './WorkerPaths.js'

/** Options of an emulated site. */
export interface EmulatedSiteOptions {
  clock: VirtualClock
  random: () => number
  instanceCount: number
  /** The number of equal workers, unless `workers` is given; the default is 0. */
  workerCount?: number
  workers?: EmulatedWorkerDescription[]
  /** The queues of the configuration; by default, `EMULATED_QUEUE` only. */
  queues?: QueueConfiguration[]
  /** The client accounts of the first configuration; by default, it has no list of accounts. */
  accounts?: readonly ClientAccount[]
  /** How long a removed key may be accepted, on the pages `revokeMs`; the default is without a limit. */
  keyRemovalMilliseconds?: number
  /** Selects which best-effort tasks disturb which serving tasks; the default is 1. */
  interferenceSeed?: number
  /** Emulates limited processor time and limited connections to workers; by default, computation takes no time. */
  processorTime?: ProcessorTimeOptions
  /**
   * Whether a completion counts as acknowledged once a worker has listed it in a report for a while, as on the platform
   * when no fault occurs; the default is false.
   */
  treatsListedAsAcknowledged?: boolean
  /** Rate of the clocks of all workers; the default is 1. */
  workerClockRate?: number
  /** Receives the log lines of all instances; by default, they are dropped. */
  onLog? (instanceId: string, message: string, fields: LogFields): void
  /** Whether instances may confine unexpected errors; by default, the first one fails the test. */
  allowsUnexpectedErrors?: boolean
  /** A second region behind a link, which needs `processorTime`; by default, there is one region. */
  farRegion?: FarRegion
  /** Whether instances may refuse jobs because of the load; the default is false. */
  isAdmissionEnabled?: boolean
  /** Returns the time limits of gangs in the settings of an instance; by default, those of `DEFAULT_GANG_TIMES`. */
  getGangTimes? (instanceId: string): GangTimes
  /** How long the store takes for each call in addition to the usual time; gives table calls their time-outs. */
  getStoreDelayMilliseconds?: () => number
}

/** A region behind a link; the store is in the other one. */
export interface FarRegion {
  link: RegionLink
  /** Returns whether an instance or a worker is in this region. */
  contains (id: string): boolean
}

/** How the processor time and the connections of the processes are emulated. */
export interface ProcessorTimeOptions {
  /** The share of a core that each process gets; 1 is a whole core. */
  share: number
  expiredCalls: ExpiredCalls
}

/** One instance in its own emulated process, with its client of the tables and its processor. */
export interface EmulatedInstance {
  instance: Instance
  process: SimulatedProcess
  tables: EmulatedTableClient
  address: string
  /** Null if processor time is not emulated. */
  processor: EmulatedProcessor | null
  peerFaults: PeerFaults
}

/** Faults of the calls between one instance and the others; all may be changed at any time. */
export interface PeerFaults {
  /** The calls of other instances to this one get no response. */
  cutOff: boolean
  /** The calls of this instance to others get no response. */
  losesCalls: boolean
}

/** Functions that are called on events of a site; each may be added and removed at any time. */
export interface SiteListeners {
  /** Called when a process of an instance has been started. */
  started: Set<(instance: EmulatedInstance) => void>
  /** Called when a client hands a job in to an instance. */
  submitted: Set<(instance: EmulatedInstance) => void>
  /** Called when an instance has accepted a job. */
  accepted: Set<(instance: EmulatedInstance) => void>
}

/** The queue of a site that is created without queues. */
export const EMULATED_QUEUE: QueueConfiguration = {
  name: 'drafts',
  host: 'permits',
  pathPrefix: '/drafts/',
  serviceName: 'permit-desk',
  priority: 0,
  attemptLimit: 3,
  stretch: 2,
  targetLatencyMilliseconds: 400,
  timeoutMilliseconds: 3000
}

/** A caller that waits for a response for the whole time-out of the queue and never disconnects. */
export const EMULATED_WAIT: CallerWait = { milliseconds: 3000, hasDisconnected: () => false }

const LEASE_MILLISECONDS = 6000
const PEER_TIMEOUT_MILLISECONDS = 600
const PEER_MESSAGE_BYTES = 400
const LINK_MEGABITS_PER_SECOND = 1000
/** The table of the workers that the platform lists. */
export const WORKER_TABLE = 'listed-workers'

/** Emulates a whole site on one virtual clock: the tables and workers of the platform, and the instances. */
export class EmulatedSite {
  readonly judge: RunJudge
  /** Counters of the worker connections of all processes; they stay 0 if processor time is not emulated. */
  readonly connectionCounts: ConnectionCounts = { opened: 0, calls: 0, expiredUnsent: 0, expiredSent: 0 }
  /** Number of calls that timed out, by the names of calls; counted only where time-outs are emulated. */
  readonly timeouts = new Map<string, number>()
  readonly tables: EmulatedTables
  /** The objects of the platform's store. */
  readonly objects: MemoryObjects
  readonly workers: Map<string, EmulatedWorker>
  /** The networks to the workers, which can lose packets if processor time is emulated. */
  readonly paths = new Map<string, WorkerPaths>()
  readonly instances: EmulatedInstance[] = []
  /** The jobs that clients have submitted, whether or not they were accepted. */
  readonly jobs: EmulatedJobs
  readonly operators: EmulatedOperators
  private readonly workerList: EmulatedWorkers
  /** The faults of the paths between single instances and single workers. */
  readonly pathFaults = PathFaults.create()
  /** The addresses of machines without power: calls to them get no response, instead of being refused. */
  readonly darkAddresses = new Set<string>()
  /** While `isAway` is set, the platform does not say which worker processes are alive. */
  readonly machineServiceFaults = { isAway: false }
  readonly listeners: SiteListeners = { started: new Set(), submitted: new Set(), accepted: new Set() }
  /** The time of the latest restart of each address that has been requested. */
  private readonly restartTimes = new Map<string, number>()
  private readonly queuedJobs = QueuedJobs.create({ queueName: EMULATED_QUEUE.name })

  private constructor (private readonly options: EmulatedSiteOptions) {
    const { clock } = options
    this.tables = EmulatedTables.create({ clock })
    this.objects = MemoryObjects.create({ clock })
    this.jobs = EmulatedJobs.create(options.queues ?? [EMULATED_QUEUE])
    this.operators = EmulatedOperators.create({
      tables: this.tables, queues: this.jobs.queues, accounts: options.accounts
    })
    this.judge = RunJudge.create({
      treatsListedAsAcknowledged: options.treatsListedAsAcknowledged ?? false,
      starts: { clock, getRules: taskName => this.jobs.getRules(taskName) }
    })
    this.workerList = EmulatedWorkers.create({
      ...options,
      judge: this.judge,
      jobs: this.jobs,
      tables: this.tables,
      workerTable: WORKER_TABLE,
      interferenceSeed: options.interferenceSeed ?? 1
    })
    this.workers = this.workerList.byId
  }

  /**
   * Creates a site and starts its instances.
   * @param options The sizes, the clock and the random number generator.
   * @returns The site.
   */
  static create (options: EmulatedSiteOptions): EmulatedSite {
    const site = new EmulatedSite(options)
    const { workers, workerCount = 0 } = options
    for (const description of workers ?? []) site.addWorker(description.workerId, description)
    if (workers === undefined) for (let index = 0; index < workerCount; index++) site.addWorker(`worker-${index}`)
    for (let index = 0; index < options.instanceCount; index++) site.addInstance(`instance-${index}`)
    return site
  }

  /** The specifications of all jobs that were submitted, whether or not they were accepted, by job ID. */
  get specifications (): EmulatedJobs['specifications'] {
    return this.jobs.specifications
  }

  /** The emulated behaviour of all tasks of a job, by job ID, which is the first part of each task name. */
  get tasks (): EmulatedJobs['tasks'] {
    return this.jobs.tasks
  }

  /**
   * Starts a worker and adds it to the platform's list of workers.
   * @param workerId The worker.
   * @param description Its size and its place; the default is a large worker of the first queue's service.
   * @returns The worker.
   */
  addWorker (workerId: string, description?: EmulatedWorkerDescription): EmulatedWorker {
    const { clock, random } = this.options
    this.paths.set(workerId, WorkerPaths.create({ clock, random }))
    return this.workerList.add(workerId, description)
  }

  /** Crashes a worker process; the platform removes the worker from its list later unless it has restarted. */
  crashWorker (workerId: string): void {
    this.workerList.crash(workerId)
  }

  /**
   * Announces that a worker leaves; its process ends after that time, and the platform removes it from its list.
   * @param workerId The worker.
   * @param remainingMilliseconds The time until then.
   */
  drainWorker (workerId: string, remainingMilliseconds: number): void {
    this.workerList.drain(workerId, remainingMilliseconds)
  }

  /** Restarts a worker process under the same worker ID and lists its new incarnation. */
  restartWorker (workerId: string): void {
    this.workerList.restart(workerId)
  }

  /** Returns how the platform lists a worker now, or null if it does not. */
  getWorkerEntry (workerId: string): WorkerEntry | null {
    return this.workerList.getEntry(workerId)
  }

  /**
   * Starts an instance. An instance with the same ID whose process has ended is replaced by a new process at the same
   * address; one whose process runs stays as it is.
   * @param instanceId The instance.
   * @returns The running instance.
   */
  addInstance (instanceId: string): EmulatedInstance {
    const { clock, random } = this.options
    const address = `${instanceId}:1`
    const existingIndex = this.instances.findIndex(other => other.address === address)
    if (existingIndex >= 0 && this.instances[existingIndex].process.isAlive()) return this.instances[existingIndex]
    const process = SimulatedProcess.create({
      clock, random, store: MemoryTableService.create(), workerClient: { exchange: neverRespond }
    })
    const tables = this.tables.createClient(random)
    const processor = this.createProcessor(process)
    const receiver = processor ?? process
    const gatedTables = gateTables(process, processor, this.createDistantTables(instanceId, tables))
    const instance = Instance.create({
      instanceId,
      region: this.isFar(instanceId) ? 'north' : 'south',
      peerAddress: address,
      ownerTable: gatedTables,
      callerTable: gatedTables,
      tableLimits: DEFAULT_TABLE_LIMITS,
      feed: gatedTables,
      objects: gateObjects(process, this.objects.createClient(() => tables.faults.cutOff)),
      platform: {
        feed: gatedTables,
        operatorTable: OPERATOR_TABLE,
        workerTable: WORKER_TABLE,
        decodeOperatorRow: (key, value) => this.operators.decodeRow(key, value),
        decodeWorker: (_key, value) => value as unknown as WorkerEntry
      },
      peer: this.createPeer(receiver, instanceId),
      registry: new Registry(),
      resources: { processors: 1, linkMegabitsPerSecond: LINK_MEGABITS_PER_SECOND },
      livenessSource: { listLiveWorkers: async () => await receiver.receive(Promise.resolve(this.listLiveWorkers())) },
      clock: receiver.clock,
      logger: this.createLogger(instanceId),
      leaseMilliseconds: LEASE_MILLISECONDS,
      gangTimes: this.options.getGangTimes?.(instanceId),
      isAdmissionEnabled: this.options.isAdmissionEnabled,
      keyRemovalMilliseconds: this.options.keyRemovalMilliseconds,
      createWorkerClient: entry => this.createWorkerClient(process, processor, entry.workerId, instanceId),
      random
    })
    const peerFaults: PeerFaults = { cutOff: false, losesCalls: false }
    const added: EmulatedInstance = { instance, process, tables, address, processor, peerFaults }
    if (existingIndex >= 0) this.instances[existingIndex] = added
    else this.instances.push(added)
    this.darkAddresses.delete(address)
    for (const onStarted of this.listeners.started) onStarted(added)
    instance.start()
    return added
  }

  /**
   * Kills an instance and starts another process at its address. When the instance is replaced again before that, the
   * new process starts at the later of both times.
   * @param instance The instance.
   * @param downMilliseconds The time between the two.
   */
  replaceInstance ({ process, address }: EmulatedInstance, downMilliseconds: number): void {
    const { clock } = this.options
    const startTime = Math.max(clock.monotonicMilliseconds() + downMilliseconds, this.restartTimes.get(address) ?? 0)
    this.restartTimes.set(address, startTime)
    process.kill()
    clock.setTimer(startTime - clock.monotonicMilliseconds(), () => {
      if (this.restartTimes.get(address) === startTime) this.addInstance(address.split(':')[0])
    })
  }

  /** Removes an instance and its machine for good. */
  removeInstance ({ process, address }: EmulatedInstance): void {
    process.kill()
    this.darkAddresses.add(address)
    const index = this.instances.findIndex(other => other.address === address)
    if (index >= 0) this.instances.splice(index, 1)
  }

  /** Returns the running instance that is the owner, or undefined if there is none. */
  getOwner (): EmulatedInstance | undefined {
    return this.instances.find(({ process, instance }) => process.isAlive() && instance.ownerApi.probe().isOwner)
  }

  /**
   * Submits a job to an instance once; callers may submit it again while the outcome is unknown.
   * @param jobId The job.
   * @param steps The steps, each with the fields that differ from `createStep`.
   * @param task How the behaviour of its tasks differs from that of a short task.
   * @param target The instance that receives the submission; by default a random one.
   * @param options The queue and the schedule.
   * @returns The outcome.
   */
  async submit (
    jobId: string, steps: Array<Partial<StepSpecification>>, task: Partial<EmulatedTask> = {},
    target: EmulatedInstance = this.chooseInstance(), options: SubmissionOptions = {}
  ): Promise<SubmitOutcome> {
    const { process, instance, processor } = target
    const { specification, queue } = this.jobs.add(jobId, steps, task, options)
    this.judge.recordSubmission(jobId)
    for (const onSubmitted of this.listeners.submitted) onSubmitted(target)
    if (processor !== null) await processor.receive(Promise.resolve(), 'request')
    const outcome = await process.receive(
      instance.gateway.submit(jobId, specification, queue, EMULATED_WAIT, options.accountName ?? null))
    if (outcome.kind === 'accepted') for (const onAccepted of this.listeners.accepted) onAccepted(target)
    return outcome
  }

  /** Returns the service whose workers run a job that was submitted. */
  getServiceName (jobId: string): string {
    return this.jobs.getQueue(jobId).serviceName
  }

  /** Takes a data centre out of service, or brings it back. */
  setDataCentreOut (dataCentre: string, isOut: boolean): void {
    this.operators.setDataCentreOut(dataCentre, isOut)
  }

  /** Returns a random instance whose process runs and is not frozen, or the first instance if there is none. */
  chooseInstance (): EmulatedInstance {
    const alive = this.instances.filter(({ process }) => process.isAlive() && !process.isFrozen())
    return alive[Math.floor(this.options.random() * alive.length)] ?? this.instances[0]
  }

  /** Stores a row of the job table, which need not be a valid submission. */
  putJobRow (key: string, value: JsonValue): void {
    this.putRow(JOB_TABLE, key, value)
  }

  private isFar (id: string): boolean {
    return this.options.farRegion?.contains(id) ?? false
  }

  private getRoute (callerId: string, targetId: string): LinkRoute | null {
    return this.options.farRegion?.link.getRoute(this.isFar(callerId), this.isFar(targetId)) ?? null
  }

  private listLiveWorkers (): ReadOutcome<Set<string>> {
    if (this.machineServiceFaults.isAway) return { kind: 'unavailable', reason: 'no answer' }
    const living = [...this.workers].filter(([, worker]) => worker.isAlive)
    return { kind: 'ok', value: new Set(living.map(([workerId]) => workerId)) }
  }

  private countTimeout (call: string): void {
    this.timeouts.set(call, (this.timeouts.get(call) ?? 0) + 1)
  }

  /** Returns the client itself where neither a link nor a slow store is emulated. */
  private createDistantTables (instanceId: string, tables: EmulatedTableClient): TableService & TableFeed {
    const { clock, farRegion, getStoreDelayMilliseconds } = this.options
    if (farRegion === undefined && getStoreDelayMilliseconds === undefined) return tables
    return DistantTables.create({
      tables,
      clock,
      route: farRegion?.link.getRoute(this.isFar(instanceId), false) ?? null,
      getResponseMilliseconds: getStoreDelayMilliseconds ?? (() => 0),
      pageSize: PageSize.create(LINK_MEGABITS_PER_SECOND),
      onTimeout: call => this.countTimeout(call)
    })
  }

  private async answerOverLink<Value> (route: LinkRoute, value: Value): Promise<Awaited<Value>> {
    const answer = await value
    await route.answers.transfer(PEER_MESSAGE_BYTES, () => true)
    return answer
  }

  private waitForPeerTimeout (): Promise<null> {
    return new Promise(resolve => { this.options.clock.setTimer(PEER_TIMEOUT_MILLISECONDS, () => resolve(null)) })
  }

  private createLogger (instanceId: string): Logger {
    const { allowsUnexpectedErrors, onLog } = this.options
    const logger = allowsUnexpectedErrors === true ? silentLogger : strictLogger
    if (onLog === undefined) return logger
    const log: Logger['info'] = (message, fields = {}) => onLog(instanceId, message, fields)
    return {
      info: log,
      warn: log,
      error: (message, fields) => {
        log(message, fields)
        logger.error(message, fields)
      }
    }
  }

  private putRow (table: string, key: string, value: JsonValue): void {
    this.tables.apply({ operations: [{ kind: 'put', table, key, value, condition: { kind: 'any' } }] })
  }

  private createProcessor (process: SimulatedProcess): EmulatedProcessor | null {
    const { processorTime } = this.options
    if (processorTime === undefined) return null
    return EmulatedProcessor.create({ clock: process.clock, share: processorTime.share })
  }

  private createWorkerClient (
    process: SimulatedProcess, processor: EmulatedProcessor | null, workerId: string, instanceId: string
  ): WorkerClient {
    const worker = this.workers.get(workerId)!
    const { processorTime, clock } = this.options
    if (processor === null || processorTime === undefined) {
      return gateWorker({ process, worker, getFault: () => this.pathFaults.get(instanceId, workerId) })
    }
    return EmulatedConnections.create({
      worker,
      paths: this.paths.get(workerId)!,
      route: this.getRoute(instanceId, workerId),
      onExpired: name => this.countTimeout(name),
      getIncarnation: () => worker.isAlive ? worker.bornAtMilliseconds : null,
      processor,
      clock,
      expiredCalls: processorTime.expiredCalls,
      counts: this.connectionCounts,
      isAlive: () => process.isAlive(),
      onStart: taskName => this.judge.recordOrder(taskName, workerId),
      countQueuedJobs: () => this.queuedJobs.count(this.getOwner()?.instance.ownerApi)
    })
  }

  private createPeer (process: Receiver, instanceId: string): OwnerPeer {
    const find = (address: string) => this.instances.find(other => other.address === address)
    const losesCalls = () => find(`${instanceId}:1`)?.peerFaults.losesCalls === true
    const callPeer = async <Value>(
      address: string, answer: (other: EmulatedInstance) => Value
    ): Promise<Value | null> => {
      const other = find(address)
      const isUnresponsive = other === undefined || other.process.isFrozen() || !other.process.isAlive() ||
        other.peerFaults.cutOff || losesCalls()
      if (isUnresponsive) {
        await new Promise<void>(resolve => { process.clock.setTimer(PEER_TIMEOUT_MILLISECONDS, resolve) })
        return null
      }
      if (other.processor === null) return await process.receive(Promise.resolve(answer(other)))
      const route = this.getRoute(instanceId, address.split(':')[0])
      const request: Promise<unknown> = route?.requests.transfer(PEER_MESSAGE_BYTES, () => true) ?? Promise.resolve()
      const response = other.processor.receive(request, 'request').then(() => {
        return route === null ? answer(other) : this.answerOverLink(route, answer(other))
      })
      return await process.receive(Promise.race([response, this.waitForPeerTimeout()]))
    }
    return {
      probe: async address => {
        const target = find(address)
        const isSilent = this.darkAddresses.has(address) || target?.peerFaults.cutOff === true || losesCalls()
        if (target?.process.isAlive() !== true && !isSilent) return { kind: 'refused' }
        const answer = await callPeer(address, other => other.instance.ownerApi.probe())
        return answer === null ? { kind: 'silent', reason: 'timeout' } : { kind: 'alive', ...answer }
      },
      getJobState: async (address, jobId, accountName) =>
        await callPeer(address, other => other.instance.ownerApi.getJobState(jobId, accountName)),
      countWaiting: async (address, queue) =>
        await callPeer(address, other => other.instance.ownerApi.countWaiting(queue)),
      storeSubmission: async (address, submission) =>
        await (await callPeer(address, other => other.instance.ownerApi.storeSubmission(submission))) ?? 'unknown',
      storeCancellation: async (address, jobId, accountName) => {
        const outcome = callPeer(address, other => other.instance.ownerApi.storeCancellation(jobId, accountName))
        return await (await outcome) ?? 'unknown'
      }
    }
  }
}

/** The clock of a process, and the way in which it receives results: only while it runs and its processor is free. */
type Receiver = Pick<SimulatedProcess, 'clock' | 'receive'>

function neverRespond (): Promise<never> {
  return new Promise(() => {})
}
