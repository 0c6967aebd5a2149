import type { Clock } from '../shared/Clock.js'
import type { ConfigurationSource } from '../configuration/Configuration.js'
import type { TableService } from '../table/TableService.js'
import { getJobId, JOB_TABLE } from '../tasks/JournalRecord.js'
import type { JobAcceptor, JobRow } from './JobAcceptor.js'
import type {
  CancelOutcome, JobSubmission, SchedulerApi, SchedulerStatus, SubmissionOutcome, TaskFilter, TaskReport, WorkerReport
} from './SchedulerApi.js'
import type { SchedulerPeer } from './SchedulerPeer.js'
import type { ShardManager } from './ShardManager.js'
import { createTaskReport, createWorkerReport } from './taskReports.js'

/** Tasks that a list returns when no limit is given. */
const DEFAULT_LIST_LIMIT = 100

/** What the service works with. */
export interface SchedulerServiceOptions {
  instanceId: string
  address: string
  dataCentre: string
  shardManager: ShardManager
  acceptor: JobAcceptor
  tableService: TableService
  configuration: ConfigurationSource
  getPeer: (address: string) => SchedulerPeer
  clock: Clock
}

/** Answers the procedures of a scheduler; what it does not own it asks of the owners, once. */
export class SchedulerService implements SchedulerApi {
  private constructor (private readonly options: SchedulerServiceOptions) {}

  /**
   * Creates the service.
   * @param options What it works with.
   * @returns The service.
   */
  static create (options: SchedulerServiceOptions): SchedulerService {
    return new SchedulerService(options)
  }

  async submitJob (submission: JobSubmission): Promise<SubmissionOutcome> {
    return await this.options.acceptor.submitJob(submission)
  }

  async cancelTask ({ taskId }: { taskId: string }, direct = false): Promise<CancelOutcome> {
    for (const runner of this.options.shardManager.getRunners()) {
      const task = runner.owner.core.state.tasks.get(taskId)
      if (task === undefined || task.state === 'transferred') continue
      return await new Promise(resolve => { runner.send({ kind: 'cancel', taskId, answer: resolve }) })
    }
    if (direct) return { kind: 'not-found' }
    for (const peer of await this.getPeersForTask(taskId)) {
      const outcome = await peer.cancelTaskDirectly(taskId).catch(() => null)
      if (outcome !== null && outcome.kind !== 'not-found') return outcome
    }
    return { kind: 'not-found' }
  }

  async getTask ({ taskId }: { taskId: string }, direct = false): Promise<TaskReport | null> {
    let transferredReport: TaskReport | null = null
    for (const { owner: { core } } of this.options.shardManager.getRunners()) {
      const task = core.state.tasks.get(taskId)
      if (task === undefined) continue
      const report = createTaskReport(core, task, this.getWallClockOffset())
      if (report.state !== 'transferred') return report
      transferredReport = report
    }
    if (direct) return transferredReport
    for (const peer of await this.getPeersForTask(taskId)) {
      const report = await peer.getTaskDirectly(taskId).catch(() => null)
      if (report !== null && report.state !== 'transferred') return report
      transferredReport ??= report
    }
    return transferredReport
  }

  async listTasks (filter: TaskFilter, direct = false): Promise<TaskReport[]> {
    const limit = filter.limit ?? DEFAULT_LIST_LIMIT
    const reports: TaskReport[] = []
    for (const { owner: { core } } of this.options.shardManager.getRunners()) {
      for (const task of core.state.tasks.values()) {
        if (reports.length >= limit) break
        const matches = (filter.team === undefined || task.job.team === filter.team) &&
          (filter.kind === undefined || task.job.kind === filter.kind) &&
          (filter.state === undefined ? task.state !== 'transferred' : task.state === filter.state)
        if (matches) reports.push(createTaskReport(core, task, this.getWallClockOffset()))
      }
    }
    if (direct) return reports
    const remoteReports = await Promise.all(this.getOtherOwnerAddresses().map(async address =>
      await this.options.getPeer(address).listTasksDirectly({ ...filter, limit }).catch(() => [])))
    return [...reports, ...remoteReports.flat()].slice(0, limit)
  }

  async listWorkers (direct = false): Promise<WorkerReport[]> {
    const reports = this.options.shardManager.getRunners().flatMap(({ owner: { core } }) =>
      [...core.state.workers.values()].map(worker => createWorkerReport(core, worker)))
    if (direct) return reports
    const remoteReports = await Promise.all(this.getOtherOwnerAddresses().map(async address =>
      await this.options.getPeer(address).listWorkersDirectly().catch(() => [])))
    return [...reports, ...remoteReports.flat()]
  }

  async getStatus (): Promise<SchedulerStatus> {
    const { instanceId, dataCentre, shardManager, configuration } = this.options
    const shards = shardManager.getRunners().map(({ lease, owner: { core } }) => ({
      shardId: lease.shardId,
      owner: instanceId,
      epoch: core.options.epoch,
      waiting: core.queue.size,
      running: [...core.state.workers.values()].reduce((sum, worker) => sum + worker.tasks.size, 0)
    }))
    return {
      instanceId,
      dataCentre,
      configurationVersion: configuration.getConfiguration().version,
      storeReachable: shardManager.isStoreReachable(),
      shards
    }
  }

  async inboxChanged ({ shardId }: { shardId: string }): Promise<null> {
    this.options.shardManager.getRunner(shardId)?.send({ kind: 'inbox-changed' })
    return null
  }

  async releaseShard ({ shardId, epoch }: { shardId: string, epoch: number }): Promise<{ released: boolean }> {
    this.options.shardManager.dropThroughEpoch(shardId, epoch)
    return { released: this.options.shardManager.hasRelinquished(shardId, epoch) }
  }

  /** The owner of the job's first shard comes first; a task that was moved is found by asking the others. */
  private async getPeersForTask (taskId: string): Promise<SchedulerPeer[]> {
    const owners = this.getOtherOwnerAddresses()
    const job = await this.options.tableService.read({ table: JOB_TABLE, key: getJobId(taskId) })
    if (job.kind === 'ok' && job.value === null) return []
    const shardId = job.kind === 'ok' ? (job.value!.value as unknown as JobRow).shardId : null
    const first = this.options.shardManager.getShards().find(shard => shard.shardId === shardId)?.owner?.address
    const addresses = owners.filter(address => address !== first)
    if (first !== undefined && owners.includes(first)) addresses.unshift(first)
    return addresses.map(address => this.options.getPeer(address))
  }

  private getOtherOwnerAddresses (): string[] {
    const addresses = this.options.shardManager.getShards().flatMap(({ owner }) => owner === null ? [] : [owner.address])
    return [...new Set(addresses)].filter(address => address !== this.options.address)
  }

  private getWallClockOffset (): number {
    return this.options.clock.wallMilliseconds() - this.options.clock.monotonicMilliseconds()
  }
}
