import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { StepSpecification } from '../../src/jobs/index.js'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { EmulatedJobs, type SubmissionOptions } from './EmulatedJobs.js'
import { EMULATED_QUEUE } from './EmulatedSite.js'
import { RunJudge } from './RunJudge.js'
import type { StartCircumstances } from './StartJudge.js'

const CIRCUMSTANCES: StartCircumstances = {
  serviceName: EMULATED_QUEUE.serviceName, labels: ['a', 'r1'], checkpoint: '', isLate: false
}

function createJudge (steps: Array<Partial<StepSpecification>>, options: SubmissionOptions = {}) {
  const clock = VirtualClock.create()
  const jobs = EmulatedJobs.create([EMULATED_QUEUE])
  jobs.add('job', steps, {}, options)
  const judge = RunJudge.create({
    treatsListedAsAcknowledged: false, starts: { clock, getRules: taskName => jobs.getRules(taskName) }
  })
  judge.recordSubmission('job')
  const start = (taskName: string, attempt = 1, circumstances: Partial<StartCircumstances> = {}, workerId = 'w-1') =>
    judge.recordStart(taskName, attempt, workerId, true, { ...CIRCUMSTANCES, ...circumstances })
  const end = (taskName: string, attempt = 1, workerId = 'w-1') => judge.recordRunEnd(taskName, attempt, workerId)
  const complete = (taskName: string, attempt = 1) => {
    end(taskName, attempt)
    judge.recordCompletion(taskName, attempt)
  }
  return { clock, judge, start, end, complete }
}

test('reports a start before all tasks of an earlier step are done, and none after that', () => {
  const { judge, start, complete } = createJudge([{ taskCount: 2 }, { afterSteps: [0] }])
  start('job.0.0.0')
  complete('job.0.0.0')
  assert.equal(judge.isTurn('job.0.1.0'), false)
  start('job.0.1.0')
  judge.recordRunEnd('job.0.1.0', 1, 'w-1')
  assert.deepEqual(judge.violations, ['order: 1 of 2 tasks of step 0 are done: job.0.1.0 run 1 on w-1'])
  start('job.0.0.1')
  complete('job.0.0.1')
  start('job.0.1.0', 2)
  assert.equal(judge.violations.length, 1)
  assert.equal(judge.isTurn('job.0.1.0'), true)
})

test('reports a start more than 250 ms before the time of its occurrence', async () => {
  const { clock, judge, start } = createJudge([{}], {
    startAtMilliseconds: 1000, intervalMilliseconds: 2000, repeatCount: 2
  })
  await clock.advance(800)
  start('job.0.0.0')
  assert.deepEqual(judge.violations, [])
  start('job.1.0.0')
  assert.deepEqual(judge.violations, ['order: 2200 ms early: job.1.0.0 run 1 on w-1'])
})

test('reports a start on a worker of another service or without the required label', () => {
  const { judge, start } = createJudge([{ taskCount: 3, requiredLabel: 'a' }])
  start('job.0.0.0')
  start('job.0.0.1', 1, { serviceName: 'other' })
  start('job.0.0.2', 1, { labels: ['b', 'r1'] })
  assert.deepEqual(judge.violations, [
    'route: service other instead of permit-desk: job.0.0.1 run 1 on w-1',
    'route: no label a: job.0.0.2 run 1 on w-1'
  ])
})

test('reports a start beyond the limit per worker of the step of one occurrence', () => {
  const { judge, start, end } = createJudge([{ taskCount: 4, maximumPerWorker: 2 }], { repeatCount: 2 })
  start('job.0.0.0')
  start('job.0.0.1')
  start('job.1.0.0')
  start('job.0.0.2', 1, {}, 'w-2')
  assert.deepEqual(judge.violations, [])
  start('job.0.0.3')
  assert.deepEqual(judge.violations, ['route: 3 runs of the step, at most 2 are allowed: job.0.0.3 run 1 on w-1'])
  end('job.0.0.3')
  end('job.0.0.1')
  start('job.0.0.3', 2)
  assert.equal(judge.violations.length, 1)
})

test('reports a start after as many acknowledged failed ends as the queue allows attempts', () => {
  const { judge, start, end } = createJudge([{}])
  for (const attempt of [1, 2, 3]) {
    start('job.0.0.0', attempt)
    end('job.0.0.0', attempt)
    assert.deepEqual(judge.violations, [])
    judge.recordAcknowledgedFailure('job.0.0.0', attempt)
  }
  start('job.0.0.0', 4)
  assert.deepEqual(judge.violations, ['budget: 3 attempts have failed: job.0.0.0 run 4 on w-1'])
})

test('counts the failed ends of a gang together, and none of long-running tasks', () => {
  const gang = createJudge([{ taskCount: 3, gang: true }])
  for (const attempt of [1, 2, 3]) gang.judge.recordAcknowledgedFailure(`job.0.0.${attempt - 1}`, attempt)
  gang.start('job.0.0.0', 4)
  assert.deepEqual(gang.judge.violations, ['budget: 3 attempts have failed: job.0.0.0 run 4 on w-1'])
  const lasting = createJudge([{ longRunning: true }])
  for (const attempt of [1, 2, 3]) lasting.judge.recordAcknowledgedFailure('job.0.0.0', attempt)
  lasting.start('job.0.0.0', 4)
  assert.deepEqual(lasting.judge.violations, [])
})

test('reports two runs of a task at once, unless copies of it are allowed', () => {
  const plain = createJudge([{}])
  plain.start('job.0.0.0', 1)
  plain.start('job.0.0.0', 2, {}, 'w-2')
  assert.deepEqual(plain.judge.violations, ['twice: job.0.0.0 run 2 on w-2 beside w-1#1'])
  const speculative = createJudge([{ speculative: true }])
  speculative.start('job.0.0.0', 1)
  speculative.start('job.0.0.0', 2, {}, 'w-2')
  assert.deepEqual(speculative.judge.violations, [])
})

test('reports a copy that starts more than a second after an acknowledged end', async () => {
  const { clock, judge, start, complete } = createJudge([{ speculative: true }])
  start('job.0.0.0')
  complete('job.0.0.0')
  judge.recordAcknowledgedCompletion('job.0.0.0')
  await clock.advance(900)
  start('job.0.0.0', 2, {}, 'w-2')
  await clock.advance(200)
  start('job.0.0.0', 3, { isLate: true }, 'w-3')
  assert.deepEqual(judge.violations, [])
  start('job.0.0.0', 4, {}, 'w-4')
  assert.deepEqual(judge.violations, ['again: 1100 ms after its acknowledged end: job.0.0.0 run 4 on w-4'])
})

test('reports a start after an acknowledged end of any member of its gang, and none of a long-running task', () => {
  const gang = createJudge([{ taskCount: 2, gang: true }])
  gang.judge.recordAcknowledgedCompletion('job.0.0.0')
  assert.equal(gang.judge.isAcknowledged('job.0.0.1'), true)
  gang.start('job.0.0.1')
  assert.deepEqual(gang.judge.violations, ['again: job.0.0.1 run 1 after its acknowledged end'])
  const lasting = createJudge([{ longRunning: true }])
  lasting.judge.recordAcknowledgedCompletion('job.0.0.0')
  lasting.start('job.0.0.0')
  assert.deepEqual(lasting.judge.violations, [])
})

test('reports a start with the checkpoint of another task', () => {
  const { judge, start } = createJudge([{ taskCount: 2 }])
  start('job.0.0.0', 1, { checkpoint: 'job.0.0.0#1 checkpoint 20' })
  start('job.0.0.1', 1, { checkpoint: 'job.0.0.0#1 checkpoint 20' })
  assert.deepEqual(judge.violations, [
    'unasked: checkpoint job.0.0.0#1 checkpoint 20: job.0.0.1 run 1 on w-1'
  ])
})

test('tells which tasks and jobs run, when they started and ended, and which are done', async () => {
  const { clock, judge, start, complete } = createJudge([{ taskCount: 2 }])
  assert.deepEqual([judge.hasRunning('job'), judge.getStartedAt('job.0.0.0')], [false, null])
  await clock.advance(100)
  start('job.0.0.0')
  await clock.advance(50)
  start('job.0.0.1')
  await clock.advance(50)
  complete('job.0.0.0')
  assert.deepEqual([judge.hasRunning('job'), judge.isRunning('job.0.0.0'), judge.isRunning('job.0.0.1')], [true, false, true])
  assert.deepEqual([judge.getStartedAt('job.0.0.1'), judge.getLastEndAt('job.0.0.0')], [150, 200])
  assert.deepEqual([judge.isDone('job.0.0.0'), judge.isDone('job.0.0.1')], [true, false])
  complete('job.0.0.1')
  assert.equal(judge.hasRunning('job'), false)
})
