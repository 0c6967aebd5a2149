import { createTRPCUntypedClient, httpLink, TRPCClientError } from '@trpc/client'
import type { AnyRouter } from '@trpc/server'
import type { Configuration } from '../configuration/Configuration.js'
import type {
  CancelOutcome, JobSubmission, SchedulerStatus, SubmissionOutcome, TaskFilter, TaskReport, WorkerReport
} from '../scheduler/SchedulerApi.js'
import { failed, ok, type Outcome } from '../shared/Outcome.js'

/** Why a call to a scheduler returned no result. */
export type SchedulerFailure =
  /** The scheduler certainly did not receive the request. */
  | { kind: 'unavailable', reason: string }
  /** The request may have been received, but no response arrived. */
  | { kind: 'unknown', reason: string }
  /** The scheduler responded with an error. */
  | { kind: 'rejected', reason: string }

/** Longer than a submission takes at a scheduler whose table service is slow. */
const TIMEOUT_MILLISECONDS = 10_000

/** Connection errors that prove that the scheduler did not receive the request. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'])

/** Calls the procedures of a scheduler over trpc. */
export class SchedulerClient {
  private constructor (private readonly client: ReturnType<typeof createTRPCUntypedClient<AnyRouter>>) {}

  /**
   * Creates a client.
   * @param url The address of the scheduler, for example `http://127.0.0.1:8200`.
   * @returns The client.
   */
  static create (url: string): SchedulerClient {
    return new SchedulerClient(createTRPCUntypedClient<AnyRouter>({ links: [httpLink({ url: `${url}/trpc` })] }))
  }

  /**
   * Submits a job; repeating the call with the same team and key returns the same job.
   * @param submission The job.
   * @returns The response, or why there was none.
   */
  async submitJob (submission: JobSubmission): Promise<Outcome<SubmissionOutcome, SchedulerFailure>> {
    return await this.call('mutation', 'submitJob', submission)
  }

  /**
   * Cancels a task; the call is idempotent.
   * @param taskId The task.
   * @returns The response, or why there was none.
   */
  async cancelTask (taskId: string): Promise<Outcome<CancelOutcome, SchedulerFailure>> {
    return await this.call('mutation', 'cancelTask', { taskId })
  }

  /**
   * Reads a task; the value is null when the schedulers do not know the task.
   * @param taskId The task.
   * @returns The response, or why there was none.
   */
  async getTask (taskId: string): Promise<Outcome<TaskReport | null, SchedulerFailure>> {
    return await this.call('query', 'getTask', { taskId })
  }

  /**
   * Lists tasks.
   * @param filter The conditions on the tasks.
   * @returns The response, or why there was none.
   */
  async listTasks (filter: TaskFilter): Promise<Outcome<TaskReport[], SchedulerFailure>> {
    return await this.call('query', 'listTasks', filter)
  }

  /**
   * Lists the workers that the scheduler reports.
   * @returns The response, or why there was none.
   */
  async listWorkers (): Promise<Outcome<WorkerReport[], SchedulerFailure>> {
    return await this.call('query', 'listWorkers')
  }

  /**
   * Reads the status of the scheduler and of its shards.
   * @returns The response, or why there was none.
   */
  async getStatus (): Promise<Outcome<SchedulerStatus, SchedulerFailure>> {
    return await this.call('query', 'getStatus')
  }

  /**
   * Reads the configuration in force at the scheduler.
   * @returns The response, or why there was none.
   */
  async getConfiguration (): Promise<Outcome<Configuration, SchedulerFailure>> {
    return await this.call('query', 'getConfiguration')
  }

  private async call<Value> (
    type: 'query' | 'mutation',
    procedure: string,
    input?: unknown
  ): Promise<Outcome<Value, SchedulerFailure>> {
    try {
      const signal = AbortSignal.timeout(TIMEOUT_MILLISECONDS)
      const response = await this.client[type](procedure, input, { signal })
      return ok(response as Value)
    } catch (error) {
      return failed(describeError(error as Error))
    }
  }
}

function describeError (error: Error): SchedulerFailure {
  const isErrorResponse = error instanceof TRPCClientError && error.data != null
  if (isErrorResponse) return { kind: 'rejected', reason: error.message }
  const code = findCode(error)
  if (code !== null && NOT_SENT_CODES.has(code)) return { kind: 'unavailable', reason: code }
  return { kind: 'unknown', reason: code ?? error.message }
}

/** Returns the code of the connection error, which the trpc client wraps in errors of its own. */
function findCode (error: Error): string | null {
  for (let cause: unknown = error; cause instanceof Error; cause = cause.cause) {
    const { code } = cause as { code?: unknown }
    if (typeof code === 'string') return code
  }
  return null
}
