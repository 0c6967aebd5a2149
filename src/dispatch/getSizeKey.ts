import type { StepRecord } from '../jobs/index.js'

/** Caches the size key of each step, which every plan needs while tasks of the step wait. */
const sizeKeys = new WeakMap<StepRecord, string>()

/**
 * Returns a key that is equal only for steps whose tasks fit into the same workers, see `chooseEligibleWorker`.
 * @param step The step.
 * @returns The key.
 */
export function getSizeKey (step: StepRecord): string {
  const cached = sizeKeys.get(step)
  if (cached !== undefined) return cached
  const { specification: s, occurrence } = step
  const scope = s.maximumPerWorker > 0 ? `${occurrence.job.submission.jobId}.${occurrence.number}.${step.index}` : ''
  // Interference excludes workers only for tasks that use unused processors.
  const image = s.fills ? JSON.stringify(s.image) : ''
  const size = `${s.fills} ${s.processorsMilli} ${s.memoryMegabytes} ${s.accelerators} ` +
    `${JSON.stringify(s.requiredLabel)} ${scope} ${image}`
  sizeKeys.set(step, size)
  return size
}
