import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine } from './index.js'

const CERTAIN_END_MILLISECONDS = 12_300
/** The share of cut-off workers in the evidence of issue 21, on the largest site, of 5,400 workers. */
const UNREACHABLE_COUNT = 270

test('a takeover does not restart the wait for any of many unreachable workers', () => {
  const engine = DispatchEngine.create({ epoch: 2 })
  engine.jobs.add({ submission: createSubmission([{}]), progress: [], recovered: true }, 0)
  for (let index = 0; index < UNREACHABLE_COUNT; index++) {
    const workerId = `worker-${index}`
    const worker = engine.setWorker(createWorkerEntry({ workerId }))
    engine.unreconciled.add(workerId, CERTAIN_END_MILLISECONDS)
    engine.markUnreachable(worker, 100)
  }
  const recorded = new Set<string>()
  for (let now = 1500; now <= 60_000; now += 1000) {
    const unreconciled = engine.unreconciled.getExpiries()
    if (!engine.unreached.needsRecord(unreconciled, now)) continue
    const record = engine.unreached.createRecord(unreconciled, now)
    engine.unreached.confirmDurable(record)
    for (const workerId of Object.keys(record)) recorded.add(workerId)
  }
  assert.equal(recorded.size, UNREACHABLE_COUNT)
})
