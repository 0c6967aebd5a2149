import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RunChecker } from './RunChecker.js'

function createChecker (treatsListedAsAcknowledged: boolean): RunChecker {
  const checker = RunChecker.create({ treatsListedAsAcknowledged })
  checker.recordSubmission('job')
  return checker
}

function completeRun (checker: RunChecker, attempt: number, workerId: string): void {
  checker.recordStart('job.0.0.0', attempt, workerId, true)
  checker.recordRunEnd('job.0.0.0', attempt, workerId)
  checker.recordCompletion('job.0.0.0', attempt)
}

test('a start after a listed end breaks a promise, whether the end was listed before or after the start', () => {
  const before = createChecker(true)
  completeRun(before, 1, 'worker-1')
  before.recordListedCompletion('job.0.0.0', 1)
  completeRun(before, 2, 'worker-2')
  assert.deepEqual(before.violations, ['again: job.0.0.0 run 2 after its listed end'])
  const after = createChecker(true)
  completeRun(after, 1, 'worker-1')
  completeRun(after, 2, 'worker-2')
  after.recordListedCompletion('job.0.0.0', 1)
  assert.deepEqual(after.violations, ['again: job.0.0.0 run 2 on worker-2 after run 1 was done, which was listed later'])
})

test('a start after an end that no list named in time is allowed, and its own end makes it no second run', () => {
  const judge = createChecker(true)
  completeRun(judge, 1, 'worker-1')
  completeRun(judge, 2, 'worker-2')
  judge.recordListedCompletion('job.0.0.0', 2)
  assert.deepEqual(judge.violations, [])
})

test('without the option only acknowledged ends count', () => {
  const judge = createChecker(false)
  completeRun(judge, 1, 'worker-1')
  judge.recordListedCompletion('job.0.0.0', 1)
  completeRun(judge, 2, 'worker-2')
  assert.deepEqual(judge.violations, [])
  judge.recordAcknowledgedCompletion('job.0.0.0')
  completeRun(judge, 3, 'worker-1')
  assert.deepEqual(judge.violations, ['again: job.0.0.0 run 3 after its acknowledged end'])
})
