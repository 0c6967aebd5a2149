import type { ListedInstance } from '../membership/InstanceList.js'
import type { TaskReport } from '../scheduler/SchedulerApi.js'
import type { Outcome } from '../shared/Outcome.js'
import { SchedulerClient, type SchedulerFailure } from './SchedulerClient.js'

/** A scheduler that a command can call. */
export interface SchedulerEndpoint {
  instanceId: string
  client: SchedulerClient
}

/** The response of one scheduler, or why there is none. */
export interface SchedulerResponse<Value> {
  instanceId: string
  outcome: Outcome<Value, SchedulerFailure>
}

/**
 * Lists the schedulers of the instance list, or the scheduler of the settings when the list names none.
 * @param instances The instance list, null when it is not configured or not reachable.
 * @param schedulerUrl The address of the scheduler in the settings.
 * @returns The schedulers.
 */
export function listSchedulers (
  instances: ListedInstance[] | null,
  schedulerUrl: string | undefined
): SchedulerEndpoint[] {
  const listed = instances?.filter(instance => instance.role === 'scheduler') ?? []
  if (listed.length > 0) {
    return listed.map(instance => ({
      instanceId: instance.instanceId, client: SchedulerClient.create(`http://${instance.address}`)
    }))
  }
  return schedulerUrl === undefined ? [] : [{ instanceId: 'scheduler', client: SchedulerClient.create(schedulerUrl) }]
}

/**
 * Calls all schedulers concurrently.
 * @param schedulers The schedulers.
 * @param call Makes the call to one scheduler.
 * @returns The responses, in the order of the schedulers.
 */
export async function callSchedulers<Value> (
  schedulers: readonly SchedulerEndpoint[],
  call: (client: SchedulerClient) => Promise<Outcome<Value, SchedulerFailure>>
): Promise<Array<SchedulerResponse<Value>>> {
  return await Promise.all(schedulers.map(async scheduler => {
    return { instanceId: scheduler.instanceId, outcome: await call(scheduler.client) }
  }))
}

/**
 * Merges the lists of several schedulers; of several items with the same key, the preferred one is kept.
 * @param responses The responses, of which failures are skipped.
 * @param getKey Returns the key of an item.
 * @param isPreferred Returns whether the first of two items with the same key is the more current one.
 * @returns The items, sorted by key.
 */
export function mergeLists<Item> (
  responses: ReadonlyArray<SchedulerResponse<Item[]>>,
  getKey: (item: Item) => string,
  isPreferred: (left: Item, right: Item) => boolean
): Item[] {
  const items = new Map<string, Item>()
  for (const { outcome } of responses) {
    if (outcome.kind === 'failed') continue
    for (const item of outcome.value) {
      const existing = items.get(getKey(item))
      if (existing === undefined || isPreferred(item, existing)) items.set(getKey(item), item)
    }
  }
  return [...items.values()].sort((left, right) => getKey(left) < getKey(right) ? -1 : 1)
}

/**
 * Returns whether the first of two reports of a task is the newer one: it is of a later attempt, or of the same
 * attempt at the shard that has the task, after another shard transferred it.
 * @param left A report.
 * @param right Another report of the same task.
 * @returns Whether the first report is newer.
 */
export function isNewerReport (left: TaskReport, right: TaskReport): boolean {
  if (left.attempt !== right.attempt) return left.attempt > right.attempt
  return left.state !== 'transferred' && right.state === 'transferred'
}
