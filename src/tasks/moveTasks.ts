import type { ResourceSize } from '../workers/WorkerProtocol.js'
import type { ShardSummary } from '../leases/ShardLease.js'
import { MAX_EVICTIONS } from './dispatch.js'
import type { TransferredTask } from './JournalRecord.js'
import type { OwnerCore } from './OwnerCore.js'
import type { TaskRecord } from './TaskRecord.js'

/** Bounds what one batch moves, so that the receiving shards can place the tasks as they come. */
const MAX_TRANSFERS = 50
/** A task that waits this long for capacity moves to a shard that has some. */
const TRANSFER_DELAY_MILLISECONDS = 5000

/** Evicts running work of a data centre that is out, and of workers that leave: batch first, standing work last. */
export function drain (core: OwnerCore, now: number): void {
  if (core.stopping) return
  const freeEvictions = MAX_EVICTIONS - core.evicting.size
  if (freeEvictions <= 0) return
  const candidates: TaskRecord[] = []
  for (const worker of core.state.workers.values()) {
    if (!core.isOutOfService && worker.listed !== 'leaving') continue
    for (const task of worker.tasks) if (task.state === 'running') candidates.push(task)
  }
  candidates.sort((left, right) => getDrainRank(core, left) - getDrainRank(core, right))
  for (const task of candidates.slice(0, freeEvictions)) core.evict(task, now)
}

function getDrainRank (core: OwnerCore, task: TaskRecord): number {
  const policy = core.policy.getKindPolicy(task.job.kind)
  if (policy.undisturbed) return 2
  return policy.workClass === 'urgent' ? 1 : 0
}

/** Moves waiting tasks that may run elsewhere to shards with room; all of them when the data centre is out. */
export function transferTasks (core: OwnerCore, now: number): void {
  if (core.stopping || core.queue.size === 0 || core.otherShards.length === 0) return
  const moved = new Map<string, TransferredTask[]>()
  let count = 0
  for (const waitingClass of core.queue.getClasses()) {
    for (const task of waitingClass.tasks) {
      if (count >= MAX_TRANSFERS) break
      if (task.job.dataCentre !== null || (!core.isOutOfService && !hasWaitedForCapacity(task, now))) break
      const target = chooseShard(core, task.job.size)
      if (target === null) break
      const tasks = moved.get(target) ?? []
      moved.set(target, tasks)
      tasks.push({ taskId: task.taskId, attempt: task.attempt, checkpoint: task.checkpoint, job: task.job })
      core.queue.remove(task)
      core.state.advance(task, 'transfer', now)
      task.transferredTo = target
      count++
    }
  }
  for (const [shardId, tasks] of moved) {
    const { shardId: fromShard, epoch } = core.options
    const key = `${fromShard}-${epoch}-${core.transferCount++}`
    const transfer = { shardId, key, entry: { kind: 'transfer' as const, fromShard, tasks } }
    const taskIds = tasks.map(task => task.taskId)
    core.journal.append({ type: 'transferred', taskIds, shardId }, undefined, { transfer })
    core.counters.transferred += tasks.length
  }
}

function hasWaitedForCapacity (task: TaskRecord, now: number): boolean {
  return task.reason === 'no-capacity' && now - task.queuedAt >= TRANSFER_DELAY_MILLISECONDS
}

/** Chooses the shard with the most room, of its own region first, and takes the size off the known room. */
function chooseShard (core: OwnerCore, size: ResourceSize): string | null {
  let best: { shardId: string, summary: ShardSummary } | null = null
  let bestScore = -Infinity
  for (const shard of core.otherShards) {
    const { summary } = shard
    const fits = summary.freeProcessors >= size.processors && summary.freeMemoryMegabytes >= size.memoryMegabytes &&
      summary.freeAccelerators >= size.accelerators
    if (!fits || (!core.isOutOfService && summary.waiting > 0)) continue
    const score = summary.freeProcessors + (shard.region === core.options.region ? 1e6 : 0)
    if (score > bestScore) [best, bestScore] = [shard, score]
  }
  if (best === null) return null
  best.summary.freeProcessors -= size.processors
  best.summary.freeMemoryMegabytes -= size.memoryMegabytes
  best.summary.freeAccelerators -= size.accelerators
  return best.shardId
}

/** Returns what the shard has free and how many tasks wait, for the heartbeat. */
export function getShardSummary (core: OwnerCore): ShardSummary {
  const summary = { freeProcessors: 0, freeMemoryMegabytes: 0, freeAccelerators: 0, waiting: core.queue.size }
  if (core.isOutOfService || core.stopping) return summary
  for (const worker of core.state.workers.values()) {
    if (!core.isReady(worker)) continue
    const committed = core.engine.getCommitted(worker.workerId)
    summary.freeProcessors += Math.max(0, worker.capacity.processors - (committed?.processors ?? 0))
    summary.freeMemoryMegabytes += Math.max(0, worker.capacity.memoryMegabytes - (committed?.memoryMegabytes ?? 0))
    summary.freeAccelerators += Math.max(0, worker.capacity.accelerators - (committed?.accelerators ?? 0))
  }
  return summary
}
