import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine } from './index.js'

const REPORT_MILLISECONDS = 1500

/** Plays one task on one worker and returns the times in milliseconds at which its run was stopped. */
function playTask (durationMilliseconds: number, playedMilliseconds: number, hangsFrom = Infinity) {
  const engine = DispatchEngine.create({ epoch: 1 })
  engine.jobs.add({ submission: createSubmission([{}]), progress: [], recovered: false }, 0)
  const worker = engine.setWorker(createWorkerEntry())
  worker.registered = true
  const stops: number[] = []
  let startedAt: number | null = null
  let isDone = false
  for (let now = 0; now < playedMilliseconds && !isDone; now += REPORT_MILLISECONDS) {
    const [run] = worker.runs.values()
    const elapsed = startedAt === null ? 0 : Math.min(now, hangsFrom) - startedAt
    isDone = run !== undefined && startedAt !== null && elapsed >= durationMilliseconds
    const row = run === undefined ? null : { taskName: run.task.name, attempt: run.attempt, checkpoint: '' }
    const ended = row !== null && isDone ? [{ ...row, number: 1, end: 'done' as const }] : []
    const isRunning = row !== null && !isDone && run.state !== 'stopping'
    const percent = Math.min(99, Math.floor(elapsed / durationMilliseconds * 100))
    const running = isRunning ? [{ ...row, percent, usageFigure: 1000 }] : []
    engine.applyReport(worker, { workerMilliseconds: now, bornAtMilliseconds: 1, running, ended }, now, now)
    engine.markDirty()
    engine.plan(now, now, true)
    for (const order of engine.takeOrders()) {
      if (order.kind === 'start') {
        engine.applyStartOutcome(order.worker, order.run, { kind: 'accepted', workerMilliseconds: now }, now)
        startedAt = now
      } else if (order.kind === 'stop' && order.run !== null) {
        stops.push(now)
        engine.applyStopOutcome(order.run, { kind: 'accepted', workerMilliseconds: now }, now)
      }
    }
  }
  return { stops, isDone }
}

// Each run of a task of more than 150 s was stopped before its first percent, so that its job could not end.
test('a task whose percent changes seldom is stopped once at most and runs to its end', () => {
  for (const duration of [240_000, 400_000]) {
    const { stops, isDone } = playTask(duration, 2 * duration)
    assert.equal(isDone, true)
    assert.ok(stops.length <= 1, String(stops))
  }
})

test('a task of any duration runs to its end after a few stops', () => {
  const duration = 24 * 3600 * 1000
  const { stops, isDone } = playTask(duration, 2 * duration)
  assert.equal(isDone, true)
  assert.ok(stops.length <= 5, String(stops))
})

test('a run that stops making progress is stopped soon', () => {
  const hangsFrom = 6000
  const [stoppedAt] = playTask(20_000, 30_000, hangsFrom).stops
  assert.ok(stoppedAt > hangsFrom && stoppedAt <= hangsFrom + 2 * REPORT_MILLISECONDS, String(stoppedAt))
})
