import { fitLine, type Line } from '../measure/fitLine.js'
import { measureHeapBytes } from '../measure/measureHeapBytes.js'
import { OwnerDriver } from './OwnerDriver.js'

/** The numbers of workers at which the owner of a shard is measured; a shard has at most 720 workers. */
export const SHARD_SIZES = [90, 180, 360, 720]

/** The design load: 123,000 tasks on 5,400 workers. */
export const TASKS_PER_WORKER = 123_000 / 5400

const IDLE_SECONDS = 60
const CHURN_SECONDS = 30
const TASKS_PER_JOB = 20

/** The cost of a shard's owner at one number of workers. */
export interface OwnerMeasurement {
  workers: number
  heapBytes: number
  /** Processor seconds per second while tasks run and none starts or ends. */
  idleShare: number
  exchangesPerSecond: number
  bytesPerExchange: number
  /** Additional processor seconds per second while tasks start and end at the given rate. */
  churnShare: number
  startsPerSecond: number
  journalBytesPerStart: number
  journalWritesPerSecond: number
}

/** The lines fitted to the measurements at all sizes. */
export interface OwnerSlopes {
  heapBytesPerWorker: Line
  idleShareByWorker: Line
  exchangesPerSecondByWorker: Line
  churnShareByStartsPerSecond: Line
}

/**
 * Measures the owner of a shard at one size. The rate of starts is the worker's part of a peak of 1,200 starts/s on
 * 5,400 workers, which is about a quarter of a start per second and worker.
 * @param workers The number of workers.
 * @returns The measurement.
 */
export function measureOwner (workers: number): OwnerMeasurement {
  const { structure: driver, bytes } = measureHeapBytes(() => createLoadedDriver(workers))
  const idle = run(driver, IDLE_SECONDS, () => {})
  const startsPerSecond = Math.round(workers * 1200 / 5400)
  const churn = run(driver, CHURN_SECONDS, () => {
    driver.complete(startsPerSecond)
    driver.submit(startsPerSecond)
  })
  return {
    workers,
    heapBytes: bytes,
    idleShare: idle.processorShare,
    exchangesPerSecond: idle.exchanges / IDLE_SECONDS,
    bytesPerExchange: idle.exchangeBytes / idle.exchanges,
    churnShare: Math.max(0, churn.processorShare - idle.processorShare),
    startsPerSecond: churn.starts / CHURN_SECONDS,
    journalBytesPerStart: churn.journalBytes / churn.starts,
    journalWritesPerSecond: churn.journalWrites / CHURN_SECONDS
  }
}

/**
 * Fits lines to the costs over the sizes.
 * @param measurements The measurements at several sizes.
 * @returns The lines.
 */
export function fitOwnerSlopes (measurements: OwnerMeasurement[]): OwnerSlopes {
  const fit = (size: keyof OwnerMeasurement, cost: keyof OwnerMeasurement) =>
    fitLine(measurements.map(measurement => ({ size: measurement[size], cost: measurement[cost] })))
  return {
    heapBytesPerWorker: fit('workers', 'heapBytes'),
    idleShareByWorker: fit('workers', 'idleShare'),
    exchangesPerSecondByWorker: fit('workers', 'exchangesPerSecond'),
    churnShareByStartsPerSecond: fit('startsPerSecond', 'churnShare')
  }
}

function createLoadedDriver (workers: number): OwnerDriver {
  const driver = OwnerDriver.create({ workers, kinds: 20, teams: 610 })
  const jobs = Math.round(workers * TASKS_PER_WORKER / TASKS_PER_JOB)
  for (let job = 0; job < jobs; job++) driver.submit(TASKS_PER_JOB)
  driver.advance(IDLE_SECONDS * 1000)
  return driver
}

function run (driver: OwnerDriver, seconds: number, eachSecond: () => void) {
  const before = { ...driver.counters }
  const processorBefore = process.cpuUsage()
  for (let second = 0; second < seconds; second++) {
    eachSecond()
    driver.advance(1000)
  }
  const spent = process.cpuUsage(processorBefore)
  const { counters } = driver
  return {
    processorShare: (spent.user + spent.system) / 1e6 / seconds,
    exchanges: counters.exchanges - before.exchanges,
    exchangeBytes: counters.exchangeBytes - before.exchangeBytes,
    journalWrites: counters.journalWrites - before.journalWrites,
    journalBytes: counters.journalBytes - before.journalBytes,
    starts: counters.starts - before.starts
  }
}
