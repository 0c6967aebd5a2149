import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createStep } from '../../stand-ins/platform/createStep.js'
import type { StepSpecification } from '../jobs/index.js'
import { decideAdmission, getDraw, type AdmissionConditions } from './decideAdmission.js'
import { decodeLoadSummary, type ClassLoad } from './LoadSummary.js'

const QUEUE = { priority: 2, stretch: 2, targetLatencyMilliseconds: 1000 }
const STEP = { taskCount: 10, processorsMilli: 1000, estimateMilliseconds: 1000, fills: false }
/** Three times the objective of a job of one such step, 2 x 1.6 x 1000 + 1000 ms, without its run time. */
const LIMIT_MILLISECONDS = 3 * 4200 - 1000
const LOAD: ClassLoad = { priority: 2, fills: false, aheadMilliseconds: 60_000, excessShare: 1, meanWork: 1e7 }

function createSpecification (steps: Array<Partial<StepSpecification>> = [{}]): AdmissionConditions['specification'] {
  return {
    taskDescription: '',
    steps: steps.map(step => createStep({ ...STEP, ...step })),
    startAtMilliseconds: 0,
    intervalMilliseconds: 0,
    repeatCount: 0
  }
}

function decide (load: Partial<ClassLoad> = {}, conditions: Partial<AdmissionConditions> = {}) {
  return decideAdmission({
    summary: { epoch: 7, ageMilliseconds: 0, classes: [{ ...LOAD, ...load }] },
    summaryAge: 500,
    ownerEpoch: 7,
    queue: QUEUE,
    specification: createSpecification(),
    draw: 0,
    random: 0.5,
    ...conditions
  })
}

test('a job is refused only when the work ahead of it makes it later than three times its objective', () => {
  assert.equal(decide({ aheadMilliseconds: LIMIT_MILLISECONDS }).kind, 'admitted')
  assert.equal(decide({ aheadMilliseconds: LIMIT_MILLISECONDS + 1 }).kind, 'refused')
  const chained = createSpecification([{}, { afterSteps: [0] }, { afterSteps: [0] }])
  const longerLimit = 3 * 7400 - 2000
  assert.equal(decide({ aheadMilliseconds: longerLimit }, { specification: chained }).kind, 'admitted')
  assert.equal(decide({ aheadMilliseconds: longerLimit + 1 }, { specification: chained }).kind, 'refused')
})

test('without a recent summary of the present owner, each job is admitted', () => {
  for (const conditions of [
    { summary: null }, { summaryAge: 3001 }, { summaryAge: -1 }, { summaryAge: NaN }, { ownerEpoch: 8 }
  ]) assert.equal(decide({}, conditions).kind, 'admitted', JSON.stringify(conditions))
  assert.equal(decide({}, { summaryAge: 3000 }).kind, 'refused')
})

test('scheduled and long-running jobs, and jobs of a class of which nothing is known, are admitted', () => {
  const once = createSpecification()
  for (const specification of [
    { ...once, repeatCount: 2 },
    { ...once, startAtMilliseconds: 1 },
    createSpecification([{ longRunning: true }]),
    createSpecification([{ fills: true }]),
    createSpecification([{}, { fills: true }]),
    createSpecification([])
  ]) assert.equal(decide({}, { specification }).kind, 'admitted')
  assert.equal(decide({}, { queue: { ...QUEUE, priority: 1 } }).kind, 'admitted')
})

test('half of the part of the jobs that is served is admitted, whatever is predicted', () => {
  for (const excessShare of [0, 0.4, 1]) {
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
      random, specification: createSpecification([{ taskCount }])
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
