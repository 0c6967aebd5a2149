import type { Clock } from '../shared/Clock.js'
import { createIdentifier, deriveIdentifier } from '../shared/identifiers.js'
import type { JsonValue } from '../shared/JsonValue.js'
import type { CompiledPolicy } from '../policy/CompiledPolicy.js'
import { SettledWriter } from '../table/SettledWriter.js'
import type { TableService } from '../table/TableService.js'
import { getInboxTable, getTaskIds, JOB_TABLE, type InboxEntry } from '../tasks/JournalRecord.js'
import type { ResourceSize } from '../workers/WorkerProtocol.js'
import type { JobSubmission, SubmissionOutcome } from './SchedulerApi.js'
import type { ShardManager } from './ShardManager.js'

/** A caller waits at most this long for the store; then it gets an honest `unknown` or `not-run`. */
const STORE_DEADLINE_MILLISECONDS = 5000

/** The value of a row `jobs/<jobId>`. */
export interface JobRow {
  writeId: string
  kind: string
  count: number
  shardId: string
}

/** What an acceptor works with. */
export interface JobAcceptorOptions {
  tableService: TableService
  clock: Clock
  shardManager: ShardManager
  getPolicy: () => CompiledPolicy
  notifyShard: (shardId: string) => void
}

/** Accepts submitted jobs: each becomes durable once, in the inbox of one shard. */
export class JobAcceptor {
  private nextShardIndex = 0

  private constructor (
    private readonly options: JobAcceptorOptions,
    private readonly writer: SettledWriter
  ) {}

  /**
   * Creates an acceptor.
   * @param options What it works with.
   * @returns The acceptor.
   */
  static create (options: JobAcceptorOptions): JobAcceptor {
    return new JobAcceptor(options, SettledWriter.create(options))
  }

  /**
   * Accepts a job once, however often it is submitted.
   * @param submission The job.
   * @returns Whether it will run.
   */
  async submitJob (submission: JobSubmission): Promise<SubmissionOutcome> {
    const { team, key, kind, count, size, dataCentre, payload } = submission
    const rejectionReason = this.findRejectionReason(submission)
    if (rejectionReason !== null) return { kind: 'not-run', reason: rejectionReason }
    const shardId = dataCentre ?? this.chooseShard(size, count)
    if (shardId === null) return { kind: 'not-run', reason: 'no shard is known' }
    const jobId = deriveIdentifier(team, key)
    const row: JobRow = { writeId: createIdentifier(), kind, count, shardId }
    const entry: InboxEntry = { kind: 'job', job: { jobId, team, kind, size, dataCentre, payload }, count }
    const outcome = await this.writer.transactAndSettle({
      operations: [{
        kind: 'put', table: JOB_TABLE, key: jobId, value: row as unknown as JsonValue, condition: { kind: 'absent' }
      }, {
        kind: 'put',
        table: getInboxTable(shardId),
        key: jobId,
        value: entry as unknown as JsonValue,
        condition: { kind: 'absent' }
      }]
    }, { table: JOB_TABLE, key: jobId, writeId: row.writeId }, { deadlineMilliseconds: STORE_DEADLINE_MILLISECONDS })
    if (outcome.kind === 'unavailable') return { kind: 'not-run', reason: `store unavailable: ${outcome.reason}` }
    if (outcome.kind === 'unknown') return { kind: 'unknown', jobId, reason: outcome.reason }
    if (outcome.kind === 'committed') {
      this.options.notifyShard(shardId)
      return { kind: 'accepted', jobId, taskIds: getTaskIds(jobId, count), repeated: false }
    }
    const firstRow = outcome.current?.value as unknown as JobRow | undefined
    if (firstRow === undefined) return { kind: 'unknown', jobId, reason: 'the first submission cannot be read' }
    if (firstRow.kind !== kind || firstRow.count !== count) {
      return { kind: 'not-run', reason: 'the key belongs to another job of the team' }
    }
    return { kind: 'accepted', jobId, taskIds: getTaskIds(jobId, count), repeated: true }
  }

  /** Finds why a job could never run; workers that the list does not show yet may exist, so an empty list is none. */
  private findRejectionReason ({ team, size, dataCentre }: JobSubmission): string | null {
    const policy = this.options.getPolicy()
    const quota = policy.getTeamQuota(team)
    if (policy.rules.length > 0 && quota === undefined) return 'team-without-quota'
    if (quota !== undefined && !fits(size, quota)) return 'larger-than-quota'
    const workers = this.options.shardManager.getInstances().filter(instance => instance.role === 'worker')
    if (workers.length === 0) return null
    const eligible = workers.filter(worker => dataCentre === null || worker.dataCentre === dataCentre)
    if (eligible.length === 0) return 'unknown-data-centre'
    const fitsSome = eligible.some(worker => worker.capacity !== undefined && fits(size, worker.capacity))
    return fitsSome ? null : 'larger-than-every-worker'
  }

  /** Chooses a shard of the own region with room for the job, else the one with the most room for its queue. */
  private chooseShard (size: ResourceSize, count: number): string | null {
    const { shardManager } = this.options
    const outOfService = new Set(shardManager.getOutOfServiceDataCentres())
    const shards = shardManager.getShards().filter(({ shardId }) => !outOfService.has(shardId))
    const candidates = shards.length > 0 ? shards : shardManager.getShards()
    if (candidates.length === 0) return null
    const start = this.nextShardIndex++
    let best = candidates[start % candidates.length].shardId
    let bestScore = -Infinity
    candidates.forEach((_, index) => {
      const { shardId, heartbeat } = candidates[(start + index) % candidates.length]
      const summary = heartbeat?.summary
      if (summary === null || summary === undefined) return
      const freeProcessors = summary.freeProcessors - (summary.waiting + count) * size.processors
      const hasCapacity = freeProcessors >= 0 && summary.freeMemoryMegabytes >= size.memoryMegabytes &&
        summary.freeAccelerators >= size.accelerators
      const score = hasCapacity ? (shardManager.isOwnRegion(shardId) ? 2 : 1) : Math.min(0, freeProcessors) / 1e9
      if (score > bestScore) [best, bestScore] = [shardId, score]
    })
    return best
  }
}

function fits (size: ResourceSize, capacity: ResourceSize): boolean {
  return size.processors <= capacity.processors && size.memoryMegabytes <= capacity.memoryMegabytes &&
    size.accelerators <= capacity.accelerators
}
