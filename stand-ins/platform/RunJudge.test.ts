import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RunJudge } from './RunJudge.js'

function createJudge (treatsListedAsAcknowledged: boolean): RunJudge {
  const judge = RunJudge.create({ treatsListedAsAcknowledged })
  judge.recordSubmission('job')
  return judge
}

function playRun (judge: RunJudge, attempt: number, workerId: string): void {
  judge.recordStart('job.0.0.0', attempt, workerId, true)
  judge.recordRunEnd('job.0.0.0', attempt, workerId)
  judge.recordCompletion('job.0.0.0', attempt)
}

test('a start after a listed end breaks a promise, whether the end was listed before or after the start', () => {
  const before = createJudge(true)
  playRun(before, 1, 'worker-1')
  before.recordListedCompletion('job.0.0.0', 1)
  playRun(before, 2, 'worker-2')
  assert.deepEqual(before.violations, ['again: job.0.0.0 run 2 after its listed end'])
  const after = createJudge(true)
  playRun(after, 1, 'worker-1')
  playRun(after, 2, 'worker-2')
  after.recordListedCompletion('job.0.0.0', 1)
  assert.deepEqual(after.violations, ['again: job.0.0.0 run 2 on worker-2 after run 1 was done, which was listed later'])
})

test('a start after an end that no list named in time is allowed, and its own end makes it no second run', () => {
  const judge = createJudge(true)
  playRun(judge, 1, 'worker-1')
  playRun(judge, 2, 'worker-2')
  judge.recordListedCompletion('job.0.0.0', 2)
  assert.deepEqual(judge.violations, [])
})

test('without the option only acknowledged ends count', () => {
  const judge = createJudge(false)
  playRun(judge, 1, 'worker-1')
  judge.recordListedCompletion('job.0.0.0', 1)
  playRun(judge, 2, 'worker-2')
  assert.deepEqual(judge.violations, [])
  judge.recordAcknowledgedCompletion('job.0.0.0')
  playRun(judge, 3, 'worker-1')
  assert.deepEqual(judge.violations, ['again: job.0.0.0 run 3 after its acknowledged end'])
})
