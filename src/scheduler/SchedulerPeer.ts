import { createTRPCClient, httpLink } from '@trpc/client'
import type { ConfigurationPeer } from '../configuration/ConfigurationPeer.js'
import type { CancelOutcome, SchedulerApi, TaskFilter, TaskReport, WorkerReport } from './SchedulerApi.js'
import type { SchedulerRouter } from './schedulerRouter.js'

/** A peer that needs longer is asked again later; every exchange between peers is repeated. */
const CALL_TIMEOUT_MILLISECONDS = 2000

/** Another scheduler; `direct` questions are about its own shards only, so that questions do not go round. */
export interface SchedulerPeer extends Pick<SchedulerApi, 'getStatus' | 'inboxChanged' | 'releaseShard'>,
  ConfigurationPeer {
  getTaskDirectly (taskId: string): Promise<TaskReport | null>
  cancelTaskDirectly (taskId: string): Promise<CancelOutcome>
  listTasksDirectly (filter: TaskFilter): Promise<TaskReport[]>
  listWorkersDirectly (): Promise<WorkerReport[]>
}

/**
 * Creates the client of a scheduler.
 * @param address Host and port.
 * @returns The client; a call rejects when the peer cannot be reached in time.
 */
export function createSchedulerPeer (address: string): SchedulerPeer {
  const client = createTRPCClient<SchedulerRouter>({
    links: [httpLink({
      url: `http://${address}/trpc`,
      fetch: (url, options) => fetch(url, {
        ...(options as RequestInit), signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS)
      })
    })]
  })
  return {
    getStatus: async () => await client.getStatus.query(),
    inboxChanged: async input => await client.inboxChanged.mutate(input),
    releaseShard: async input => await client.releaseShard.mutate(input),
    exchangeConfiguration: async own => await client.exchangeConfiguration.mutate(own),
    getTaskDirectly: async taskId => await client.getTask.query({ taskId, direct: true }),
    cancelTaskDirectly: async taskId => await client.cancelTask.mutate({ taskId, direct: true }),
    listTasksDirectly: async filter => await client.listTasks.query({ ...filter, direct: true }),
    listWorkersDirectly: async () => await client.listWorkers.query({ direct: true })
  }
}
