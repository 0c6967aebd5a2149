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

test('reports a start after a listed completion, whether the listing precedes or follows the start', () => {
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

test('allows a start after an unlisted completion, and the completion of that second run', () => {
  const judge = createJudge(true)
  playRun(judge, 1, 'worker-1')
  playRun(judge, 2, 'worker-2')
  judge.recordListedCompletion('job.0.0.0', 2)
  assert.deepEqual(judge.violations, [])
})

test('counts only acknowledged completions without the option', () => {
  const judge = createJudge(false)
  playRun(judge, 1, 'worker-1')
  judge.recordListedCompletion('job.0.0.0', 1)
  playRun(judge, 2, 'worker-2')
  assert.deepEqual(judge.violations, [])
  judge.recordAcknowledgedCompletion('job.0.0.0')
  playRun(judge, 3, 'worker-1')
  assert.deepEqual(judge.violations, ['again: job.0.0.0 run 3 after its acknowledged end'])
})

test('reports a start after a completion that is acknowledged later, under a lease that has not lapsed', () => {
  const lapsed = createJudge(false)
  playRun(lapsed, 1, 'worker-1')
  playRun(lapsed, 2, 'worker-2')
  lapsed.recordAcknowledgedCompletion('job.0.0.0')
  assert.deepEqual(lapsed.violations, [])
  const unbroken = createJudge(false)
  playRun(unbroken, 1, 'worker-1')
  playRun(unbroken, 2, 'worker-2')
  unbroken.recordAcknowledgedCompletion('job.0.0.0', 2)
  assert.deepEqual(unbroken.violations, [])
  unbroken.recordAcknowledgedCompletion('job.0.0.0', 1)
  assert.deepEqual(unbroken.violations, [
    'again: job.0.0.0 run 2 on worker-2 after run 1 was done, which was acknowledged later'
  ])
})
