import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { playOverload } from '../../stand-ins/platform/playOverload.js'
import { scoreKind } from '../../stand-ins/platform/scoreOverload.js'
import { createLognormalMix, drawBestEffortFactor } from '../../stand-ins/platform/sizeMixes.js'
import { createJobRecord, createOccurrence } from '../jobs/index.js'
import { getUrgency } from './rankJobs.js'

const SEEDS = [1, 2, 3, 4]
/** The median of the run times in the play relative to the estimates. */
const LEARNED_RATIO = 1.5

// Jobs whose estimates were too low by the same factor as those of their queue were taken as in time.
test('the urgency of a job follows the learned run times of its queue and kind of room', () => {
  const submission = createSubmission([{ fills: true, estimateMilliseconds: 1000 }], { targetLatencyMilliseconds: 0 })
  const job = createJobRecord({ submission, now: 0 })
  job.occurrences.set(0, createOccurrence(job, 0, 1, 0))
  const getRatio = (queueName: string, fills: boolean): number => queueName === 'queue' && fills ? 3 : 1
  assert.equal(getUrgency(job, 0), 'in-time')
  assert.equal(getUrgency(job, 0, getRatio), 'late')
  assert.equal(getUrgency(job, 0, (queueName, fills) => getRatio(queueName, !fills)), 'in-time')
  assert.equal(getUrgency(job, 0, () => 8), 'useless')
})

test('more jobs are served when the order follows learned run times', context => {
  const [before, after] = [1, LEARNED_RATIO].map(ratio => scoreKind(SEEDS.flatMap(seed => playOverload({
    seed,
    protectsUrgentWork: true,
    getRunTimeRatio: () => ratio,
    limit: 'best-effort',
    kinds: [{ queueName: 'wide', priority: 2, mix: createLognormalMix(12, 0.8), load: 0.66 }],
    arrivalMilliseconds: 40_000,
    drawRunTimeFactor: drawBestEffortFactor
  }))))
  for (const [name, { whole, credit }] of [['before', before], ['after', after]] as const) {
    context.diagnostic(`${name}: in time ${whole.inTime.toFixed(3)}, in time or late ${whole.useful.toFixed(3)}, ` +
      `credit ${credit.toFixed(3)}`)
  }
  assert.ok(after.whole.inTime > before.whole.inTime)
  assert.ok(after.whole.useful > before.whole.useful)
})
