import type { Configuration } from '../configuration/Configuration.js'
import type { ListedInstance } from '../membership/InstanceList.js'
import type { SchedulerStatus, ShardReport, WorkerReport } from '../scheduler/SchedulerApi.js'
import { formatTable } from './formatTable.js'

/** What the command could learn; each part is null when its source did not answer. */
export interface StatusSnapshot {
  instances: ListedInstance[] | null
  schedulers: Array<{ instanceId: string, status: SchedulerStatus | null }>
  workers: WorkerReport[] | null
  configuration: Configuration | null
}

/** One promise at a glance. */
export interface PromiseStatus {
  promise: string
  /** Null when it cannot be told from here. */
  holds: boolean | null
  detail: string
}

/** One scheduler; its values are null when it did not answer. */
export interface SchedulerSummary {
  instanceId: string
  version: number | null
  storeReachable: boolean | null
  /** How many shards it owns. */
  shards: number | null
}

/** The state of a whole deployment. */
export interface StatusSummary {
  /** The version in the table service. */
  newestVersion: number | null
  instances: Record<string, { live: number, leaving: number }> | null
  schedulers: SchedulerSummary[]
  shards: ShardReport[]
  waiting: number
  running: number
  promises: PromiseStatus[]
}

/**
 * Summarizes what was learned.
 * @param snapshot The answers.
 * @returns The summary.
 */
export function summarizeStatus (snapshot: StatusSnapshot): StatusSummary {
  const shards = mergeShards(snapshot.schedulers)
  return {
    newestVersion: snapshot.configuration?.version ?? null,
    instances: snapshot.instances === null ? null : countInstances(snapshot.instances),
    schedulers: snapshot.schedulers.map(({ instanceId, status }) => ({
      instanceId,
      version: status?.configurationVersion ?? null,
      storeReachable: status?.storeReachable ?? null,
      shards: status === null ? null : status.shards.filter(shard => shard.owner === status.instanceId).length
    })),
    shards,
    waiting: shards.reduce((sum, shard) => sum + shard.waiting, 0),
    running: shards.reduce((sum, shard) => sum + shard.running, 0),
    promises: [
      checkVersions(snapshot),
      checkStore(snapshot),
      checkOwners(snapshot, shards),
      checkCapacity(snapshot.workers),
      checkHealth(snapshot.workers),
      checkDataCentresOut(snapshot)
    ]
  }
}

/**
 * Formats a summary as text.
 * @param summary The summary.
 * @returns The lines.
 */
export function formatStatus (summary: StatusSummary): string {
  const words = new Map<boolean | null, string>([[true, 'yes'], [false, 'NO'], [null, 'not known']])
  const show = (value: unknown): string => value === null ? '?' : String(value)
  const instances = Object.entries(summary.instances ?? {}).map(([role, count]) => [
    role, String(count.live), String(count.leaving)
  ])
  return [
    `configuration: version ${show(summary.newestVersion)} in the table service`,
    `queues: ${summary.waiting} waiting, ${summary.running} running`,
    '',
    formatTable(['PROMISE', 'HOLDS', 'DETAIL'], summary.promises.map(promise => [
      promise.promise, words.get(promise.holds)!, promise.detail
    ])),
    '',
    formatTable(['SCHEDULER', 'VERSION IN FORCE', 'STORE', 'SHARDS OWNED'], summary.schedulers.map(scheduler => [
      scheduler.instanceId,
      show(scheduler.version),
      scheduler.storeReachable === null ? 'no answer' : scheduler.storeReachable ? 'reachable' : 'not reachable',
      show(scheduler.shards)
    ])),
    '',
    formatTable(['SHARD', 'OWNER', 'EPOCH', 'WAITING', 'RUNNING'], summary.shards.map(shard => [
      shard.shardId, shard.owner ?? 'none', String(shard.epoch), String(shard.waiting), String(shard.running)
    ])),
    ...(instances.length === 0 ? [] : ['', formatTable(['INSTANCES', 'LIVE', 'LEAVING'], instances)])
  ].join('\n')
}

/** Of several reports of a shard the one with the highest epoch is the truth, best told by its owner. */
function mergeShards (schedulers: StatusSnapshot['schedulers']): ShardReport[] {
  const shards = new Map<string, { report: ShardReport, isFromOwner: boolean }>()
  for (const { status } of schedulers) {
    for (const report of status?.shards ?? []) {
      const isFromOwner = report.owner === status?.instanceId
      const existing = shards.get(report.shardId)
      const isPreferred = existing === undefined || report.epoch > existing.report.epoch ||
        (report.epoch === existing.report.epoch && isFromOwner && !existing.isFromOwner)
      if (isPreferred) shards.set(report.shardId, { report, isFromOwner })
    }
  }
  return [...shards.values()].map(({ report }) => report).sort((left, right) => left.shardId < right.shardId ? -1 : 1)
}

function countInstances (instances: ListedInstance[]): Record<string, { live: number, leaving: number }> {
  const counts: Record<string, { live: number, leaving: number }> = {}
  for (const { role, state } of instances) {
    counts[role] ??= { live: 0, leaving: 0 }
    counts[role][state]++
  }
  return counts
}

function checkVersions ({ schedulers, configuration }: StatusSnapshot): PromiseStatus {
  const promise = 'the newest configuration is in force everywhere'
  if (configuration === null) return { promise, holds: null, detail: 'the table service does not answer' }
  const { version } = configuration
  const behind = schedulers.filter(({ status }) => status !== null && status.configurationVersion < version)
  const unresponsiveCount = schedulers.filter(({ status }) => status === null).length
  const detail = behind.length === 0
    ? `${schedulers.length - unresponsiveCount} of ${schedulers.length} schedulers have version ${version}`
    : `behind: ${behind.map(({ instanceId, status }) => `${instanceId} (${status?.configurationVersion})`).join(', ')}`
  const isKnown = unresponsiveCount === 0 && schedulers.length > 0
  return { promise, holds: behind.length > 0 ? false : isKnown ? true : null, detail }
}

function checkStore ({ schedulers }: StatusSnapshot): PromiseStatus {
  const promise = 'every scheduler reaches the table service'
  const disconnected = schedulers.filter(({ status }) => status?.storeReachable === false).map(({ instanceId }) => instanceId)
  const unresponsive = schedulers.filter(({ status }) => status === null).map(({ instanceId }) => instanceId)
  if (disconnected.length > 0) return { promise, holds: false, detail: `not reached by ${disconnected.join(', ')}` }
  if (unresponsive.length > 0) return { promise, holds: null, detail: `no answer from ${unresponsive.join(', ')}` }
  return { promise, holds: schedulers.length > 0 ? true : null, detail: `${schedulers.length} schedulers` }
}

function checkOwners ({ schedulers }: StatusSnapshot, shards: ShardReport[]): PromiseStatus {
  const promise = 'every shard has one owner'
  const unowned = shards.filter(shard => shard.owner === null).map(shard => `${shard.shardId} has none`)
  const claims = new Map<string, string[]>()
  for (const { status } of schedulers) {
    for (const shard of status?.shards ?? []) {
      if (shard.owner !== status?.instanceId) continue
      claims.set(shard.shardId, [...claims.get(shard.shardId) ?? [], shard.owner])
    }
  }
  const contested = [...claims].filter(([, owners]) => owners.length > 1)
    .map(([shardId, owners]) => `${shardId} is claimed by ${owners.join(' and ')}; the lower epoch is fenced off`)
  const faults = [...unowned, ...contested]
  if (faults.length > 0) return { promise, holds: false, detail: faults.join(', ') }
  return { promise, holds: shards.length > 0 ? true : null, detail: `${shards.length} shards` }
}

function checkCapacity (workers: WorkerReport[] | null): PromiseStatus {
  const promise = 'no worker is committed beyond its capacity'
  if (workers === null) return { promise, holds: null, detail: 'no scheduler answered' }
  const overcommitted = workers.filter(({ committed, capacity }) => committed.processors > capacity.processors ||
    committed.memoryMegabytes > capacity.memoryMegabytes || committed.accelerators > capacity.accelerators)
  const detail = overcommitted.length === 0
    ? `${workers.length} workers`
    : `beyond: ${overcommitted.map(worker => worker.workerId).join(', ')}`
  return { promise, holds: overcommitted.length === 0, detail }
}

function checkHealth (workers: WorkerReport[] | null): PromiseStatus {
  const promise = 'every worker is reachable and healthy'
  if (workers === null) return { promise, holds: null, detail: 'no scheduler answered' }
  const unreachableCount = workers.filter(worker => !worker.reachable).length
  const unhealthyCount = workers.filter(worker => worker.health !== 'healthy').length
  return { promise, holds: unreachableCount + unhealthyCount === 0, detail: `${unreachableCount} not reachable, ${unhealthyCount} quarantined or probed` }
}

function checkDataCentresOut ({ workers, configuration }: StatusSnapshot): PromiseStatus {
  const promise = 'data centres out of service are empty'
  if (workers === null || configuration === null) return { promise, holds: null, detail: 'not enough answers' }
  const out = configuration.dataCentres.filter(dataCentre => dataCentre.state === 'out')
  const counts = out.map(({ name }) => {
    const here = workers.filter(worker => worker.dataCentre === name)
    return { name, tasks: here.reduce((sum, worker) => sum + worker.runningTasks, 0) }
  })
  const detail = counts.map(({ name, tasks }) => `${name}: ${tasks} tasks still running`).join(', ')
  return { promise, holds: counts.every(({ tasks }) => tasks === 0), detail: detail === '' ? 'none is out' : detail }
}
