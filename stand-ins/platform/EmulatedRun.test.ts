import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { StepSpecification } from '../../src/jobs/index.js'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { createStep } from './createStep.js'
import { EmulatedRun, isCheckpointOf } from './EmulatedRun.js'
import type { EmulatedTask } from './EmulatedTask.js'

function createRun (
  task: Partial<EmulatedTask> = {}, step: Partial<StepSpecification> = {}, checkpoint = ''
) {
  const clock = VirtualClock.create()
  const completedAt: number[] = []
  const run = EmulatedRun.create({
    taskName: 'job.0.0.3',
    attempt: 2,
    checkpoint,
    task: {
      processorsMilli: 1, memoryMegabytes: 1, accelerators: 1, durationMilliseconds: 1000, failureCount: 0, ...task
    },
    step: createStep(step),
    clock,
    onComplete: () => completedAt.push(clock.monotonicMilliseconds())
  })
  return { clock, run, completedAt }
}

test('a run takes as long as its rate says, and a change of the rate applies to the remaining work', async () => {
  const { clock, run, completedAt } = createRun()
  await clock.advance(500)
  assert.equal(run.getPercent(), 0)
  run.setRate(1)
  await clock.advance(400)
  assert.equal(run.getPercent(), 40)
  run.setRate(0.5)
  await clock.advance(400)
  assert.equal(run.getPercent(), 60)
  run.setRate(0)
  await clock.advance(5000)
  assert.equal(run.getPercent(), 60)
  run.setRate(1)
  await clock.advance(1000)
  assert.deepEqual(completedAt, [500 + 400 + 400 + 5000 + 400])
})

test('a run that has ended does not complete', async () => {
  const { clock, run, completedAt } = createRun()
  run.setRate(1)
  await clock.advance(400)
  run.end()
  run.setRate(2)
  await clock.advance(5000)
  assert.deepEqual(completedAt, [])
  assert.equal(run.getPercent(), 40)
})

test('a start that carries a checkpoint does not repeat the work that was saved', async () => {
  const task = { checkpointMilliseconds: 300, restoreMilliseconds: 50 }
  const first = createRun(task)
  first.run.setRate(1)
  await first.clock.advance(250)
  assert.equal(first.run.getCheckpoint(), '')
  await first.clock.advance(450)
  const checkpoint = first.run.getCheckpoint()
  assert.ok(isCheckpointOf(checkpoint, 'job.0.0.3'), checkpoint)
  assert.ok(!isCheckpointOf(checkpoint, 'job.0.0.33'))
  const second = createRun(task, {}, checkpoint)
  assert.equal(second.run.getCheckpoint(), checkpoint)
  assert.equal(second.run.getPercent(), 60)
  second.run.setRate(1)
  await second.clock.advance(2000)
  assert.deepEqual(second.completedAt, [50 + 400])
})

test('a stop saves all work of a task that makes checkpoints', async () => {
  const { clock, run } = createRun({ checkpointMilliseconds: 300 })
  run.setRate(1)
  await clock.advance(700)
  run.saveAtStop()
  assert.equal(createRun({ checkpointMilliseconds: 300 }, {}, run.getCheckpoint()).run.getPercent(), 70)
  const plain = createRun()
  plain.run.setRate(1)
  await plain.clock.advance(700)
  plain.run.saveAtStop()
  assert.equal(plain.run.getCheckpoint(), '')
})

test('the members of a gang share their checkpoints', async () => {
  const { clock, run } = createRun({ checkpointMilliseconds: 300 }, { gang: true })
  run.setRate(1)
  await clock.advance(400)
  assert.ok(isCheckpointOf(run.getCheckpoint(), 'job.0.0'))
})

test('a long-running task is at work after a short startup and never completes', async () => {
  const { clock, run, completedAt } = createRun({ durationMilliseconds: Infinity }, { longRunning: true })
  run.setRate(1)
  await clock.advance(100)
  assert.ok(run.getPercent() < 100)
  await clock.advance(400)
  assert.equal(run.getPercent(), 100)
  await clock.advance(1_000_000)
  assert.equal(run.getPercent(), 100)
  assert.deepEqual(completedAt, [])
})

test('a run reserves the resources of its step, and no processors if it is best-effort', () => {
  const step = { processorsMilli: 3000, memoryMegabytes: 200, accelerators: 2 }
  assert.deepEqual(createRun({}, step).run.reserved, step)
  assert.deepEqual(createRun({}, { ...step, fills: true }).run.reserved, { ...step, processorsMilli: 0 })
})
