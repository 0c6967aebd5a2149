import type { OrderOutcome, WorkerClient } from '../../src/dispatch/index.js'
import type { ListedObjectStore } from '../../src/table/ListedObjectStore.js'
import type { TableFeed } from '../../src/table/TableFeed.js'
import type { TableService } from '../../src/table/TableService.js'
import type { SimulatedProcess } from '../../tools/simulation/SimulatedProcess.js'
import type { EmulatedProcessor } from './EmulatedProcessor.js'
import type { EmulatedWorker } from './EmulatedWorker.js'
import type { PathFault } from './PathFaults.js'

/**
 * Forwards table calls of a process. While the process is frozen, its calls and their results are delayed; a process
 * that has crashed receives no results.
 * @param process The process.
 * @param processor The processor of the process, if its time is emulated.
 * @param tables The client of the tables.
 * @returns The client as the process sees it.
 */
export function gateTables (
  process: SimulatedProcess, processor: EmulatedProcessor | null, tables: TableService & TableFeed
): TableService & TableFeed {
  const forward = async <Value>(call: () => Promise<Value>): Promise<Value> => {
    await process.receive(Promise.resolve())
    if (processor === null) return await process.receive(call())
    processor.charge('call')
    return await processor.receive(call())
  }
  return {
    transact: transaction => forward(() => tables.transact(transaction)),
    read: row => forward(() => tables.read(row)),
    readMany: rows => forward(() => tables.readMany(rows)),
    scan: (table, options) => forward(() => tables.scan(table, options)),
    readTable: table => forward(() => tables.readTable(table)),
    readTableWithin: (...options) => forward(() => tables.readTableWithin(...options)),
    waitForChanges: (...options) => forward(() => tables.waitForChanges(...options))
  }
}

/**
 * Forwards object calls of a process, as `gateTables` forwards table calls.
 * @param process The process.
 * @param objects The client of the objects.
 * @returns The client as the process sees it.
 */
export function gateObjects (process: SimulatedProcess, objects: ListedObjectStore): ListedObjectStore {
  const forward = async <Value>(call: () => Promise<Value>): Promise<Value> => {
    await process.receive(Promise.resolve())
    return await process.receive(call())
  }
  return {
    putObject: (key, bytes) => forward(() => objects.putObject(key, bytes)),
    putObjectIfAbsent: (key, bytes) => forward(() => objects.putObjectIfAbsent(key, bytes)),
    getObject: key => forward(() => objects.getObject(key)),
    deleteObject: key => forward(() => objects.deleteObject(key)),
    listObjects: (prefix, after) => forward(() => objects.listObjects(prefix, after))
  }
}

/** What `gateWorker` connects. */
export interface GatedWorker {
  process: SimulatedProcess
  worker: EmulatedWorker
  /** Returns the fault of the path between the two, or null if it has none. */
  getFault (): PathFault | null
}

/** Time after which a call without a response ends as unknown. */
const WORKER_CALL_TIMEOUT_MILLISECONDS = 350
const NO_ANSWER = { kind: 'unknown', reason: 'no answer' } as const

/**
 * Forwards orders of a process to a worker, as `gateTables` forwards table calls, over a path that may have a fault.
 * @param options The process, the worker and the path between them.
 * @returns The client as the process sees it.
 */
export function gateWorker ({ process, worker, getFault }: GatedWorker): WorkerClient {
  const wait = () => new Promise<void>(resolve => {
    process.clock.setTimer(WORKER_CALL_TIMEOUT_MILLISECONDS, resolve)
  })
  const forward = async <Outcome, Failure>(
    call: () => Promise<Outcome>, connectionFailure: Failure
  ): Promise<Outcome | Failure | typeof NO_ANSWER> => {
    await process.receive(Promise.resolve())
    const fault = getFault()
    if (fault === null) {
      const outcome = await process.receive(call())
      if (getFault() === null) return outcome
      await wait()
      return NO_ANSWER
    }
    if (fault === 'answers-lost') await process.receive(call())
    await wait()
    return fault === 'connections-fail' ? connectionFailure : NO_ANSWER
  }
  const order = (call: () => Promise<OrderOutcome>): Promise<OrderOutcome> =>
    forward(call, { kind: 'not-sent', reason: 'connect-timeout', hasConnectionFailed: true })
  return {
    start: start => order(() => worker.start(start)),
    stop: (taskName, attempt, token) => order(() => worker.stop(taskName, attempt, token)),
    setPace: (taskName, attempt, percent, token) => order(() => worker.setPace(taskName, attempt, percent, token)),
    hold: request => forward(() => worker.hold(request), { kind: 'unknown', reason: 'connect-timeout' }),
    close: () => {}
  }
}
