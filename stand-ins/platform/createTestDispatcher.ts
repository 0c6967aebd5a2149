import type { HoldOutcome, HoldRequest, WorkerClient, WorkerEntry } from '../../src/dispatch/index.js'
import { ShardDispatcher } from '../../src/instance/ShardDispatcher.js'
import { silentLogger } from '../../src/shared/Logger.js'
import type { VirtualClock } from '../../src/shared/VirtualClock.js'
import { DEFAULT_TABLE_LIMITS } from '../../src/table/TableLimits.js'
import { createRandom } from '../shared/createRandom.js'
import { createTestErrors } from './createTestErrors.js'
import { createTestMetrics } from './createTestMetrics.js'
import { EmulatedTables } from './EmulatedTables.js'

/** What a test of a dispatcher determines. */
export interface TestDispatcherOptions {
  clock: VirtualClock
  /** The workers that the platform lists. */
  workers: ReadonlyMap<string, WorkerEntry>
  /** Responds to the report calls to all workers. */
  hold (request: HoldRequest): Promise<HoldOutcome>
  /** Returns the workers with a live process; by default, the listed ones. */
  listLiveWorkers? (): Promise<{ kind: 'ok', value: ReadonlySet<string> }>
}

/**
 * Creates the dispatcher of an owner without jobs, whose workers only report.
 * @param options The clock, the workers and their reports.
 * @returns The dispatcher, which has not been run.
 */
export function createTestDispatcher (options: TestDispatcherOptions): ShardDispatcher {
  const { clock, workers, hold } = options
  const tables = EmulatedTables.create({ clock }).createClient(createRandom(1))
  const listLiveWorkers = options.listLiveWorkers ?? (async () => ({ kind: 'ok', value: new Set(workers.keys()) }))
  return ShardDispatcher.create({
    shardId: 'site',
    fence: { epoch: 1, rowVersion: 1 },
    tableLimits: DEFAULT_TABLE_LIMITS,
    tableService: tables,
    feed: tables,
    site: { getConfiguration: () => null, getDataCentresOut: () => new Set(), getWorkers: () => workers },
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    livenessSource: { listLiveWorkers },
    metrics: createTestMetrics(true),
    leaseMilliseconds: 6000,
    processors: 1,
    random: createRandom(1),
    earlierLeasesEndAt: 0,
    earlierStartsEndAt: null,
    assignmentsStoredSince: 0,
    createWorkerClient: () => ({ hold, close: () => {} }) as unknown as WorkerClient,
    getRenewalAge: () => 0,
    onDeposed: () => {}
  })
}
