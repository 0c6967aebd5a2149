import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import type { JobSubmission, StepSpecification } from '../jobs/index.js'
import { decideAdmission, getDraw, type AdmissionConditions } from './decideAdmission.js'
import { decodeLoadSummary, type ClassLoad } from './LoadSummary.js'

const STEP = { taskCount: 10, processorsMilli: 1000, estimateMilliseconds: 1000, fills: false }
/** Three times the objective of a job of one such step, 2 x 1.6 x 1000 + 1000 ms, without its run time. */
const LIMIT_MILLISECONDS = 3 * 4200 - 1000
const LOAD: ClassLoad = {
  serviceName: 'desk',
  accountName: null,
  priority: 2,
  fills: false,
  aheadMilliseconds: 60_000,
  excessShare: 1,
  meanWork: 1e7
}

function createJob (
  steps: Array<Partial<StepSpecification>> = [{}], changes: Partial<JobSubmission> = {}
): JobSubmission {
  return createSubmission(steps.map(step => ({ ...STEP, ...step })), {
    priority: 2, stretch: 2, targetLatencyMilliseconds: 1000, ...changes
  })
}

function decide (load: Partial<ClassLoad> = {}, conditions: Partial<AdmissionConditions> = {}) {
  return decideAdmission({
    summary: { epoch: 7, ageMilliseconds: 0, classes: [{ ...LOAD, ...load }] },
    summaryAge: 500,
    ownerEpoch: 7,
    submission: createJob(),
    draw: 0,
    random: 0.5,
    ...conditions
  })
}

test('a job is refused only when the work ahead of it makes it later than three times its objective', () => {
  assert.equal(decide({ aheadMilliseconds: LIMIT_MILLISECONDS }).kind, 'admitted')
  assert.equal(decide({ aheadMilliseconds: LIMIT_MILLISECONDS + 1 }).kind, 'refused')
  const chained = createJob([{}, { afterSteps: [0] }, { afterSteps: [0] }])
  const longerLimit = 3 * 7400 - 2000
  assert.equal(decide({ aheadMilliseconds: longerLimit }, { submission: chained }).kind, 'admitted')
  assert.equal(decide({ aheadMilliseconds: longerLimit + 1 }, { submission: chained }).kind, 'refused')
})

test('without a recent summary of the present owner, each job is admitted', () => {
  for (const conditions of [
    { summary: null }, { summaryAge: 3001 }, { summaryAge: -1 }, { summaryAge: NaN }, { ownerEpoch: 8 }
  ]) assert.equal(decide({}, conditions).kind, 'admitted', JSON.stringify(conditions))
  assert.equal(decide({}, { summaryAge: 3000 }).kind, 'refused')
})

test('scheduled and long-running jobs, and jobs of a class of which nothing is known, are admitted', () => {
  const { specification } = createJob()
  for (const submission of [
    createJob([{}], { specification: { ...specification, repeatCount: 2 } }),
    createJob([{}], { specification: { ...specification, startAtMilliseconds: 1 } }),
    createJob([{ longRunning: true }]),
    createJob([{}, { requiredLabel: 'large' }]),
    createJob([{ fills: true }]),
    createJob([{}, { fills: true }]),
    createJob([]),
    createJob([{}], { priority: 1 }),
    createJob([{}], { serviceName: 'other' }),
    createJob([{}], { accountName: 'coop' })
  ]) assert.equal(decide({}, { submission }).kind, 'admitted')
})

test('a job of a class of which half of the arriving work ends is admitted', () => {
  assert.equal(decide({ excessShare: 0.49 }).kind, 'admitted')
  assert.equal(decide({ excessShare: 0.51 }).kind, 'refused')
})

test('half of the part of the jobs that is served is admitted, whatever is predicted', () => {
  for (const excessShare of [0.5, 0.8, 1]) {
    let admitted = 0
    for (let index = 0; index < 10_000; index++) {
      const draw = getDraw(index.toString(16).padStart(16, '0'))
      if (decide({ excessShare }, { draw }).kind === 'admitted') admitted++
    }
    assert.ok(Math.abs(admitted / 10_000 - (1 - excessShare) / 2) < 0.02, `${excessShare}: ${admitted}`)
  }
})

test('callers are told when the work ahead has drained, spread by a quarter, smaller jobs first', () => {
  const delays = [0, 1].flatMap(random => [1, 100_000].map(taskCount => {
    const decision = decide({ aheadMilliseconds: LIMIT_MILLISECONDS + 8000 }, {
      random, submission: createJob([{ taskCount }])
    })
    assert.ok(decision.kind === 'refused')
    return decision.retryAfterMilliseconds
  }))
  const [earliestSmall, earliestLarge, latestSmall, latestLarge] = delays
  assert.ok(earliestSmall < earliestLarge && latestSmall < latestLarge)
  assert.ok(Math.min(...delays) >= 6000 && Math.max(...delays) <= 10_000, String(delays))
})

test('a summary that a peer has sent is read, and malformed ones are ignored', () => {
  const summary = { epoch: 7, ageMilliseconds: 20, classes: [LOAD] }
  assert.deepEqual(decodeLoadSummary(JSON.parse(JSON.stringify(summary))), summary)
  for (const value of [
    undefined, null, 'text', [], { ...summary, epoch: -1 }, { ...summary, ageMilliseconds: -5 },
    { ...summary, classes: {} }, { ...summary, classes: [null] }, { ...summary, classes: [{ ...LOAD, meanWork: 'a' }] },
    { ...summary, classes: [{ ...LOAD, excessShare: 1.5 }] }, { ...summary, classes: Array(101).fill(LOAD) }
  ]) assert.equal(decodeLoadSummary(value), null, JSON.stringify(value))
})
