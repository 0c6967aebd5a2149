import { collectDefaultMetrics, Counter, Gauge, Registry } from 'prom-client'
import type { OwnerCounters } from '../tasks/OwnerCore.js'
import type { ShardManager } from './ShardManager.js'

/** The counters of owners with their metric names. */
const OWNER_COUNTERS: Record<keyof OwnerCounters, { name: string, help: string }> = {
  accepted: { name: 'tasks_accepted_total', help: 'Tasks taken in from inboxes' },
  starts: { name: 'task_starts_total', help: 'Starts journalled' },
  startsRefused: { name: 'task_starts_refused_total', help: 'Starts that a worker refused' },
  startsExpired: { name: 'task_starts_expired_total', help: 'Durable starts that could not be sent in time' },
  completed: { name: 'tasks_completed_total', help: 'Tasks that completed' },
  failed: { name: 'tasks_failed_total', help: 'Tasks that failed for good' },
  cancelled: { name: 'tasks_cancelled_total', help: 'Tasks that were cancelled' },
  evictions: { name: 'task_evictions_total', help: 'Running tasks that were stopped to run elsewhere' },
  resumed: { name: 'task_resumptions_total', help: 'Tasks that wait again after a run or an unclear start' },
  lost: { name: 'task_losses_total', help: 'Runs that ended without a report' },
  transferred: { name: 'tasks_transferred_total', help: 'Tasks moved to another shard' },
  batches: { name: 'journal_batches_total', help: 'Journal batches that became durable' },
  batchRetries: { name: 'journal_batch_retries_total', help: 'Journal batches that had to be sent again' },
  dataCentreConflicts: {
    name: 'journal_data_centre_conflicts_total', help: 'Journal batches refused because of the state of the data centre'
  },
  exchanges: { name: 'worker_exchanges_total', help: 'Exchanges sent to workers' },
  exchangeFailures: { name: 'worker_exchange_failures_total', help: 'Exchanges without an answer' }
}

/**
 * Creates the metrics of a scheduler; they are read from the owners when they are scraped.
 * @param shards The keeper of the shards.
 * @returns The registry.
 */
export function createSchedulerMetrics (shardManager: ShardManager): Registry {
  const registry = new Registry()
  collectDefaultMetrics({ register: registry, prefix: 'papayamoor_' })
  for (const [property, { name, help }] of Object.entries(OWNER_COUNTERS)) {
    addCounter(registry, name, help, () => shardManager.getCounters()[property as keyof OwnerCounters] ?? 0)
  }
  addCounter(registry, 'shard_takeovers_total', 'Shards taken over by this process', () => shardManager.takeovers)
  addGauge(registry, 'shard_waiting_tasks', 'Tasks that wait, by shard', shardManager, core => core.queue.size)
  addGauge(registry, 'shard_placed_tasks', 'Tasks on workers, by shard', shardManager, core =>
    [...core.state.workers.values()].reduce((sum, worker) => sum + worker.tasks.size, 0))
  return registry
}

function addCounter (registry: Registry, name: string, help: string, read: () => number): void {
  registry.registerMetric(new Counter({
    name: `papayamoor_scheduler_${name}`,
    help,
    registers: [],
    collect () {
      this.reset()
      this.inc(read())
    }
  }))
}

type ReadOwnerCore = (core: ReturnType<ShardManager['getRunners']>[number]['owner']['core']) => number

function addGauge (registry: Registry, name: string, help: string, shardManager: ShardManager, read: ReadOwnerCore): void {
  registry.registerMetric(new Gauge({
    name: `papayamoor_scheduler_${name}`,
    help,
    labelNames: ['shard'],
    registers: [],
    collect () {
      this.reset()
      for (const { lease, owner } of shardManager.getRunners()) this.set({ shard: lease.shardId }, read(owner.core))
    }
  }))
}
