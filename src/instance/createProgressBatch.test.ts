import assert from 'node:assert/strict'
import { mock, test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { DispatchEngine } from '../dispatch/index.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { DEFAULT_TABLE_LIMITS } from '../table/TableLimits.js'
import { createProgressBatch } from './createProgressBatch.js'

const JOB_COUNT = 50

// Each row was encoded twice to be measured, in the same turn of the event loop.
test('a batch encodes each row once to measure it', () => {
  const engine = DispatchEngine.create({ epoch: 1 })
  for (let index = 0; index < JOB_COUNT; index++) {
    const jobId = `job-${index}`
    engine.jobs.add({ submission: createSubmission([{ taskCount: 20 }], { jobId }), progress: [], recovered: false }, 0)
    engine.jobs.markDone(engine.jobs.findTask(`${jobId}.0.0.${index % 20}`, 0)!)
  }
  const stringify = mock.method(JSON, 'stringify')
  const batch = createProgressBatch({
    shardId: 'site',
    engine,
    errors: createTestErrors(VirtualClock.create()),
    segments: engine.jobs.takeChanged(JOB_COUNT),
    unreached: null,
    takeWaiters: () => [],
    limits: DEFAULT_TABLE_LIMITS,
    wallMilliseconds: 0,
    logger: silentLogger
  })
  const callCount = stringify.mock.callCount()
  stringify.mock.restore()
  const values = batch.remaining.flat().map(operation => operation.kind === 'put' ? operation.value : null)
  assert.deepEqual(values, Array.from({ length: JOB_COUNT }, (_, index) => ({ done: { '0.0': [index % 20] } })))
  assert.ok(callCount <= JOB_COUNT, `${callCount} rows encoded`)
})
