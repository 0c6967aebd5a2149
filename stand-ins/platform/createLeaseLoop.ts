import type { DispatchEngine, WorkerClient, WorkerRecord } from '../../src/dispatch/index.js'
import { WorkerLeaseLoop } from '../../src/instance/WorkerLeaseLoop.js'
import { BatchedLog } from '../../src/shared/BatchedLog.js'
import type { ErrorBoundary } from '../../src/shared/ErrorBoundary.js'
import { silentLogger } from '../../src/shared/Logger.js'
import type { RepeatBudget } from '../../src/shared/RepeatBudget.js'
import type { VirtualClock } from '../../src/shared/VirtualClock.js'
import { createTestErrors } from './createTestErrors.js'
import { createTestMetrics } from './createTestMetrics.js'

/** What a test of a lease loop determines. */
export interface LeaseLoopOptions {
  engine: DispatchEngine
  worker: WorkerRecord
  clock: VirtualClock
  client: WorkerClient
  /** Limits the repeats of calls without a response; by default, nothing does. */
  repeats?: Pick<RepeatBudget, 'tryWithdraw'>
  /** Confines unexpected errors; by default, they fail the test. */
  errors?: ErrorBoundary
  /** Called when the worker has a newer owner; does nothing by default. */
  onFenced? (): void
}

/**
 * Creates the lease loop of a worker that answers each call as the test decides.
 * @param options The worker, its client and the engine.
 * @returns The loop, which has not been run.
 */
export function createLeaseLoop ({
  onFenced = () => {}, repeats = { tryWithdraw: () => true }, ...options
}: LeaseLoopOptions): WorkerLeaseLoop {
  const { clock } = options
  return WorkerLeaseLoop.create({
    ...options,
    repeats,
    onFenced,
    leaseMilliseconds: 6000,
    logger: silentLogger,
    endedRuns: BatchedLog.create({ clock, logger: silentLogger, message: 'ended runs applied' }),
    errors: options.errors ?? createTestErrors(clock),
    metrics: createTestMetrics(true),
    mayRenewLeases: () => true,
    prepareReport: async () => {},
    onReport: () => {},
    waitForDurability: async () => {}
  })
}
