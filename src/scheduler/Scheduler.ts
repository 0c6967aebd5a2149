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

/** The members of the configuration reader that a scheduler uses. */
export type RunningConfiguration =
  Pick<VersionedConfiguration, 'getConfiguration' | 'subscribe' | 'start' | 'stop' | 'isLoaded'>

/** Options of a scheduler. */
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

/** One scheduler instance without its HTTP server. */
export class Scheduler {
  private policy = CompiledPolicy.create([])
  private policyText = ''

  private constructor (
    private readonly options: SchedulerOptions,
    readonly shards: ShardManager,
    readonly service: SchedulerService
  ) {}

  /**
   * Creates a scheduler that owns no shards.
   * @param options The identity of the instance and its services.
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

  /** Starts reading the configuration and taking over shards. */
  start (): void {
    this.options.configuration.start()
    this.shards.start()
  }

  /** Stops all runners gracefully, releases their shards, and stops reading the configuration. */
  async stop (): Promise<void> {
    await this.shards.stop()
    this.options.configuration.stop()
  }

  /** Returns whether the scheduler can serve submissions and queries. */
  isReady (): boolean {
    return this.shards.isReady() && this.options.configuration.isLoaded()
  }

  /** Returns the policy in force. A policy text that cannot be parsed leaves the previous policy in force. */
  private getPolicy (): CompiledPolicy {
    const { policyText, version }: Configuration = this.options.configuration.getConfiguration()
    if (policyText === this.policyText) return this.policy
    this.policyText = policyText
    const parsed = parsePolicy(policyText)
    if (parsed.kind === 'ok') this.policy = parsed.value
    else this.options.logger.error('policy cannot be parsed, the previous one stays in force', { version, faults: parsed.failure.length })
    return this.policy
  }
}
