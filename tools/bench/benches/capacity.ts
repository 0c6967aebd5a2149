import type { Figure } from '../Figure.js'
import { fitOwnerSlopes, measureOwner, SHARD_SIZES, TASKS_PER_WORKER } from '../capacity/measureOwner.js'

/** The number of workers that the project is designed for. */
const WORKERS = 5400
const ENTRY_INSTANCES = 8
const PEAK_STARTS_PER_SECOND = 1200
const WORKERS_PER_ENTRY_INSTANCE = WORKERS / ENTRY_INSTANCES

/**
 * Measures how the cost of a shard's owner grows with its size and extrapolates the cost of control at the design size.
 * @returns The figures; the measurements and slopes are printed before them.
 */
export async function runBench (): Promise<Figure[]> {
  const measurements = SHARD_SIZES.map(measureOwner)
  const slopes = fitOwnerSlopes(measurements)
  console.log(JSON.stringify({ measurements, slopes, tasksPerWorker: TASKS_PER_WORKER }))
  const largest = measurements.at(-1)!
  const exchangesPerWorker = largest.exchangesPerSecond / largest.workers
  const workerBytes = exchangesPerWorker * largest.bytesPerExchange
  // The cost per exchange includes the scheduler's and the worker's end, since the driver encodes and decodes for both.
  const idleShare = slopes.idleShareByWorker.intercept + slopes.idleShareByWorker.slope * WORKERS_PER_ENTRY_INSTANCE
  const churnShare = slopes.churnShareByStartsPerSecond.slope * PEAK_STARTS_PER_SECOND / ENTRY_INSTANCES
  const heapBytes = slopes.heapBytesPerWorker.intercept + slopes.heapBytesPerWorker.slope * WORKERS_PER_ENTRY_INSTANCE
  const entryBytes = workerBytes * WORKERS_PER_ENTRY_INSTANCE +
    largest.journalBytesPerStart * PEAK_STARTS_PER_SECOND / ENTRY_INSTANCES
  return [
    createFigure('control_kilobytes_per_second', workerBytes / 1000, 'kB/s for each worker', 'at most 4'),
    createFigure('control_core_percent', idleShare / WORKERS_PER_ENTRY_INSTANCE * 100,
      '% of a core for each worker, both ends of its exchanges', 'at most 2'),
    createFigure('control_megabytes', heapBytes / 1e6, 'MB of growth for each entry instance', 'at most 32'),
    createFigure('entry_instance_core_percent_idle', idleShare * 100, '% of a core for each entry instance',
      'no target; 675 workers'),
    createFigure('entry_instance_core_percent_peak', (idleShare + churnShare) * 100,
      '% of a core for each entry instance', 'no target; 150 starts/s'),
    createFigure('entry_instance_kilobytes_per_second', entryBytes / 1000, 'kB/s for each entry instance at the peak',
      'no target; 675 workers')
  ]
}

function createFigure (figure: string, value: number, unit: string, target: string): Figure {
  return { figure, value, unit, naive: null, target }
}
