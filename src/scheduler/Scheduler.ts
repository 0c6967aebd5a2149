import type { VersionedConfiguration } from '../configuration/VersionedConfiguration.js'
import type { Configuration } from '../configuration/Configuration.js'
import type { InstanceListSource } from '../membership/InstanceList.js'
import type { PlacementEngine } from '../placement/PlacementEngine.js'
import { CompiledPolicy } from '../policy/CompiledPolicy.js'
import { parsePolicy } from '../policy/parsePolicy.js'
import type { Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'
import type { ObjectStore, TableService } from '../table/TableService.js'
import type { WorkerClient } from '../workers/WorkerProtocol.js'
import { JobAcceptor } from './JobAcceptor.js'
import type { SchedulerPeer } from './SchedulerPeer.js'
import { SchedulerService } from './SchedulerService.js'
import { ShardManager, type SchedulerRules } from './ShardManager.js'

/** The part of the configuration reader that a scheduler runs. */
export type RunningConfiguration =
  Pick<VersionedConfiguration, 'getConfiguration' | 'subscribe' | 'start' | 'stop' | 'isLoaded'>

/** What a scheduler is made of. */
export interface SchedulerOptions {
  instanceId: string
  address: string
  dataCentre: string
  region: string
  tableService: TableService
  objectStore: ObjectStore
  workerClient: WorkerClient
  instanceList: InstanceListSource
  configuration: RunningConfiguration
  createEngine: () => PlacementEngine
  getPeer: (address: string) => SchedulerPeer
  clock: Clock
  logger: Logger
  rules?: SchedulerRules
}

/** One scheduler without its sockets. */
export class Scheduler {
  private policy = CompiledPolicy.create([])
  private policyText = ''

  private constructor (
    private readonly options: SchedulerOptions,
    readonly shards: ShardManager,
    readonly service: SchedulerService
  ) {}

  /**
   * Creates a scheduler that owns nothing yet.
   * @param options What it is made of.
   * @returns The scheduler.
   */
  static create (options: SchedulerOptions): Scheduler {
    const getPolicy = (): CompiledPolicy => scheduler.getPolicy()
    const shardManager = ShardManager.create({ ...options, getPolicy })
    const notifyShard = (shardId: string) => shardManager.notifyShard(shardId)
    const acceptor = JobAcceptor.create({ ...options, shardManager, getPolicy, notifyShard })
    const service = SchedulerService.create({ ...options, shardManager, acceptor })
    const scheduler: Scheduler = new Scheduler(options, shardManager, service)
    return scheduler
  }

  /** Begins to read the configuration and to take over shards. */
  start (): void {
    this.options.configuration.start()
    this.shards.start()
  }

  /** Gives all shards up in good order. */
  async stop (): Promise<void> {
    await this.shards.stop()
    this.options.configuration.stop()
  }

  /** Tells whether submissions and questions can be answered. */
  isReady (): boolean {
    return this.shards.isReady() && this.options.configuration.isLoaded()
  }

  /** Returns the policy in force; a text that does not parse leaves the one before it in force. */
  private getPolicy (): CompiledPolicy {
    const { policyText, version }: Configuration = this.options.configuration.getConfiguration()
    if (policyText === this.policyText) return this.policy
    this.policyText = policyText
    const parsed = parsePolicy(policyText)
    if (parsed.kind === 'ok') this.policy = parsed.value
    else this.options.logger.error('the policy in force does not parse', { version, faults: parsed.failure.length })
    return this.policy
  }
}
