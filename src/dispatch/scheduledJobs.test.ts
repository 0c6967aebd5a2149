import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createStep } from '../../stand-ins/platform/createStep.js'
import { PlannedSite } from '../../stand-ins/platform/PlannedSite.js'
import type { StepSpecification } from '../jobs/index.js'

const DURATION_MILLISECONDS = 30_000
const SMALL = { estimateMilliseconds: 1000, memoryMegabytes: 100 }
/** The processors of the site, each of which can run one small task. */
const PROCESSOR_COUNT = 16

/**
 * Plays a site on which a scheduled job and single jobs arrive.
 * @param step The step of the scheduled job.
 * @param intervalMilliseconds The time between two of its occurrences.
 * @param getSingleCount Returns the number of single jobs that arrive in the next tenth of a second.
 * @returns The shares of the single jobs and of the due occurrences that were started.
 */
function playSchedule (
  step: Partial<StepSpecification>, intervalMilliseconds: number, getSingleCount: () => number
) {
  const capacity = { processorsMilli: PROCESSOR_COUNT * 250, memoryMegabytes: 64_000, accelerators: 0 }
  const site = PlannedSite.create({ seed: 1, workerCount: 4, capacity })
  const repeatCount = DURATION_MILLISECONDS / intervalMilliseconds
  site.submit('scheduled', [], {
    queueName: 'scheduled',
    specification: {
      taskDescription: '', steps: [createStep(step)], startAtMilliseconds: 1, intervalMilliseconds, repeatCount
    }
  })
  let singleCount = 0
  for (; site.now < DURATION_MILLISECONDS; site.advance(100)) {
    for (let count = getSingleCount(); count > 0; count--, singleCount++) {
      site.submit('single', [SMALL], { targetLatencyMilliseconds: 5000 })
    }
  }
  return {
    singleShare: (site.startCounts.get('single') ?? 0) / singleCount,
    scheduledShare: (site.startCounts.get('scheduled') ?? 0) / repeatCount / (step.taskCount ?? 1)
  }
}

// All occurrences of a job of which one had begun preceded the other jobs.
test('a scheduled job whose occurrences take more than the site has leaves a part to other jobs', () => {
  const step = { ...SMALL, taskCount: 8, estimateMilliseconds: 2000 }
  const { singleShare, scheduledShare } = playSchedule(step, 400, () => 1)
  assert.ok(singleShare > 0.25, `${singleShare} of the single jobs, ${scheduledShare} of the occurrences`)
  assert.ok(scheduledShare > 0.1, `${singleShare} of the single jobs, ${scheduledShare} of the occurrences`)
})

// An occurrence counted as arrived only when it started, so that the class of the job always had the highest share.
test('occurrences of a scheduled job start beside other jobs in a lasting overload', () => {
  const { singleShare, scheduledShare } = playSchedule({ ...SMALL }, 2000, () => 4)
  assert.ok(singleShare > 0.25, `${singleShare} of the single jobs, ${scheduledShare} of the occurrences`)
  assert.ok(scheduledShare > 0.2, `${singleShare} of the single jobs, ${scheduledShare} of the occurrences`)
})
