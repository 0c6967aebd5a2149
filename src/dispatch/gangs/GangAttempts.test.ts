import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../../stand-ins/platform/createSubmission.js'
import { createJobRecord, createOccurrence, createRun, type RunRecord, type StepRecord } from '../../jobs/index.js'
import { GangAttempts } from './GangAttempts.js'
import { getGangSendMilliseconds, getLargestGang } from './GangTimes.js'

const TIMES = { timeoutMilliseconds: 3000, stopMilliseconds: 200 }
const SEND_MILLISECONDS = getGangSendMilliseconds(TIMES)

function createGang (taskCount: number): { step: StepRecord, runs: RunRecord[] } {
  const submission = createSubmission([{ taskCount, gang: true }])
  const [step] = createOccurrence(createJobRecord({ submission, now: 0 }), 0, 1, 0).steps
  const runs = step.tasks.createAll().map(task => {
    const run = createRun(task, 'worker', 1, 0)
    task.runs.push(run)
    return run
  })
  return { step, runs }
}

function confirm (run: RunRecord): void {
  run.state = 'running'
  run.confirmedAt = 100
}

test('the largest gang follows from the time limits of the platform alone', () => {
  const sizes = [[3000, 200], [3000, 400], [4000, 400], [5000, 400], [500, 400]].map(
    ([timeoutMilliseconds, stopMilliseconds]) => getLargestGang({ timeoutMilliseconds, stopMilliseconds }))
  assert.deepEqual(sizes, [1035, 945, 1395, 1845, 1])
})

test('an attempt is overdue when its time is over since its first start was sent, unless all members have started', () => {
  const attempts = GangAttempts.create(TIMES)
  const [partial, whole] = [createGang(3), createGang(3)]
  for (const { step } of [partial, whole]) attempts.begin(step, 1)
  assert.deepEqual(attempts.takeOverdue(100_000), [])
  for (const { runs } of [partial, whole]) for (const run of runs) attempts.recordSend(run, 1000 + 10 * run.task.index)
  assert.equal(attempts.mayComplete(partial.runs[2], 1000 + SEND_MILLISECONDS - 1), true)
  assert.equal(attempts.mayComplete(partial.runs[2], 1000 + SEND_MILLISECONDS), false)
  partial.runs.slice(1).forEach(confirm)
  whole.runs.forEach(confirm)
  assert.deepEqual(attempts.takeOverdue(1000 + SEND_MILLISECONDS - 1), [])
  assert.deepEqual(attempts.takeOverdue(1000 + SEND_MILLISECONDS), [{ step: partial.step, attempt: 1 }])
})

test('members that make progress show that all have started', () => {
  const attempts = GangAttempts.create(TIMES)
  const { step, runs } = createGang(3)
  attempts.begin(step, 1)
  attempts.recordSend(runs[0], 0)
  confirm(runs[0])
  runs[0].percent = 1
  assert.deepEqual(attempts.takeOverdue(SEND_MILLISECONDS), [])
})

// A gang that could not be sent in time took the starts of all other jobs, again and again.
test('attempts that take too long to send in a row are repeated with growing pauses, until one is complete', () => {
  const attempts = GangAttempts.create(TIMES)
  const { step, runs } = createGang(2)
  const abandon = (attempt: number): number | null => {
    attempts.begin(step, attempt)
    for (const run of runs) Object.assign(run, { attempt, state: 'starting', confirmedAt: null })
    attempts.recordSend(runs[0], 0)
    return attempts.abandon(step, attempt, SEND_MILLISECONDS)
  }
  assert.deepEqual([1, 2, 3, 4, 5, 6, 7, 8, 9].map(abandon), [0, 500, 1000, 2000, 4000, 8000, 16_000, 16_000, 16_000])
  assert.equal(attempts.abandon(step, 9, SEND_MILLISECONDS), null)
  assert.equal(attempts.getObstacle(step, SEND_MILLISECONDS + 15_999), 'gang-retry-pause')
  assert.equal(attempts.getObstacle(step, SEND_MILLISECONDS + 16_000), null)
  attempts.begin(step, 10)
  for (const run of runs) run.attempt = 10
  runs.forEach(confirm)
  attempts.recordSend(runs[0], 0)
  attempts.takeOverdue(SEND_MILLISECONDS)
  assert.equal(abandon(11), 0)
})

test('an attempt whose starts were all sent is repeated without a pause', () => {
  const attempts = GangAttempts.create(TIMES)
  const { step, runs } = createGang(2)
  for (const attempt of [1, 2, 3]) {
    attempts.begin(step, attempt)
    for (const run of runs) Object.assign(run, { attempt, sentAt: 0 })
    attempts.recordSend(runs[0], 0)
    assert.equal(attempts.abandon(step, attempt, SEND_MILLISECONDS), 0)
  }
})

test('an attempt that a worker refuses is repeated without a pause, and one with all members is not given up', () => {
  const attempts = GangAttempts.create(TIMES)
  const { step, runs: [first, second] } = createGang(2)
  attempts.begin(step, 1)
  assert.deepEqual([attempts.abandon(step, 1, 0, first), attempts.getObstacle(step, 0)], [0, null])
  attempts.begin(step, 1)
  attempts.begin(step, 2)
  for (const run of [first, second]) run.attempt = 2
  confirm(first)
  confirm(second)
  first.task.runs = []
  assert.equal(attempts.abandon(step, 2, 0, first), null)
})

test('an attempt is given up neither by its number alone nor after its gang is done', () => {
  const attempts = GangAttempts.create(TIMES)
  const { step } = createGang(2)
  attempts.begin(step, 2)
  assert.equal(attempts.abandon(step, 1, 0), null)
  for (const index of [0, 1]) step.tasks.markDone(index)
  assert.equal(attempts.abandon(step, 2, 0), null)
})
