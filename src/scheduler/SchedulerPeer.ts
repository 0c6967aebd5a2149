import { createTRPCClient, httpLink } from '@trpc/client'
import type { ConfigurationPeer } from '../configuration/ConfigurationPeer.js'
import type { CancelOutcome, SchedulerApi, TaskFilter, TaskReport, WorkerReport } from './SchedulerApi.js'
import type { SchedulerRouter } from './schedulerRouter.js'

/** The timeout of a call to a peer. Callers repeat failed calls later or continue without the peer. */
const CALL_TIMEOUT_MILLISECONDS = 2000

/** Another scheduler. The `...Directly` calls cover only that scheduler's own shards, so that calls do not loop. */
export interface SchedulerPeer extends Pick<SchedulerApi, 'getStatus' | 'inboxChanged' | 'releaseShard'>,
  ConfigurationPeer {
  getTaskDirectly (taskId: string): Promise<TaskReport | null>
  cancelTaskDirectly (taskId: string): Promise<CancelOutcome>
  listTasksDirectly (filter: TaskFilter): Promise<TaskReport[]>
  listWorkersDirectly (): Promise<WorkerReport[]>
}

/**
 * Creates a client of another scheduler.
 * @param address Host and port.
 * @returns The client; a call rejects if the peer does not respond in time.
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
