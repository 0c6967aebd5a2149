import type { ListedInstance } from '../membership/InstanceList.js'
import type { TaskReport } from '../scheduler/SchedulerApi.js'
import type { Outcome } from '../shared/Outcome.js'
import { SchedulerClient, type SchedulerFailure } from './SchedulerClient.js'

/** A scheduler that the command can ask. */
export interface SchedulerEndpoint {
  instanceId: string
  client: SchedulerClient
}

/** The answer of one scheduler. */
export interface SchedulerResponse<Value> {
  instanceId: string
  outcome: Outcome<Value, SchedulerFailure>
}

/**
 * Lists the schedulers of the instance list, or the one of the settings when there is no list.
 * @param instances The instance list, null when it is not configured.
 * @param schedulerUrl The scheduler of the settings.
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
 * Asks all schedulers at once.
 * @param schedulers The schedulers.
 * @param call What to ask.
 * @returns The answers, in the order of the schedulers.
 */
export async function callSchedulers<Value> (
  schedulers: readonly SchedulerEndpoint[],
  call: (client: SchedulerClient) => Promise<Outcome<Value, SchedulerFailure>>
): Promise<Array<SchedulerResponse<Value>>> {
  return await Promise.all(schedulers.map(async scheduler => {
    return { instanceId: scheduler.instanceId, answer: await call(scheduler.client) }
  }))
}

/**
 * Merges lists of several schedulers; when two name the same item, the better one is kept.
 * @param responses The answers.
 * @param getKey Returns the name of an item.
 * @param isPreferred Tells whether the first of two items of one name is nearer the truth.
 * @returns The items by name, sorted.
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
 * Tells which of two reports of a task is nearer the truth: a later attempt, or the shard that has the task now.
 * @param left A report.
 * @param right Another report of the same task.
 * @returns Whether the first is the one to show.
 */
export function isNewerReport (left: TaskReport, right: TaskReport): boolean {
  if (left.attempt !== right.attempt) return left.attempt > right.attempt
  return left.state !== 'transferred' && right.state === 'transferred'
}
