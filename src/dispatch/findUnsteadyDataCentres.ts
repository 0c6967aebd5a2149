import { hasFailedRecently, type WorkerRecord } from './WorkerRecord.js'

/** When this share of a data centre's workers has failed of late, its other workers are likely to fail too. */
const UNSTEADY_SHARE = 0.1
/** Fewer failures say nothing about the path to a data centre. */
const FEWEST_FAILURES = 2

/**
 * Finds the data centres to which the path is unsteady, before calls to each of their workers have failed.
 *
 * Answers the first seconds of packet loss between regions: long-running tasks that end then would start on workers
 * that may not respond, although there is room on others.
 * @param workers All workers.
 * @param now The monotonic time.
 * @returns The data centres.
 */
export function findUnsteadyDataCentres (workers: Iterable<WorkerRecord>, now: number): ReadonlySet<string> {
  const counts = new Map<string, { workers: number, failures: number }>()
  for (const worker of workers) {
    const { dataCentre } = worker.entry
    const count = counts.get(dataCentre) ?? { workers: 0, failures: 0 }
    count.workers++
    if (hasFailedRecently(worker, now)) count.failures++
    counts.set(dataCentre, count)
  }
  const unsteady = [...counts].filter(([, { workers: total, failures }]) =>
    failures >= FEWEST_FAILURES && failures >= total * UNSTEADY_SHARE)
  return new Set(unsteady.map(([dataCentre]) => dataCentre))
}
