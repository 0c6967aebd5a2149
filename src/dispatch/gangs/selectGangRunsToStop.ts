import type { RunRecord, StepRecord } from '../../jobs/index.js'

/**
 * Selects the runs of an attempt to start a gang that must be stopped to end all of them: those whose workers have not
 * confirmed them, which may join an attempt that has ended, and one more on each worker. The end of one member ends
 * all that have started, so that a stop for each would only delay other orders.
 * @param step The step of the gang.
 * @param attempt The number of the attempt.
 * @returns The runs; those whose starts are not sent are withdrawn by a stop.
 */
export function selectGangRunsToStop ({ tasks }: StepRecord, attempt: number): RunRecord[] {
  const selected: RunRecord[] = []
  const workerIds = new Set<string>()
  for (const { runs } of tasks.getAllCreated()) {
    for (const run of runs) {
      if (run.attempt !== attempt || run.state === 'stopping') continue
      const isConfirmed = run.state === 'running'
      if (isConfirmed && workerIds.has(run.workerId)) continue
      if (isConfirmed) workerIds.add(run.workerId)
      selected.push(run)
    }
  }
  return selected
}
