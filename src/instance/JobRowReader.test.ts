import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { EmulatedTables } from '../../stand-ins/platform/EmulatedTables.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { DispatchEngine } from '../dispatch/index.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { JsonValue, Row } from '../table/TableService.js'
import { FinishedJobCleaner } from './FinishedJobCleaner.js'
import { JobRowReader } from './JobRowReader.js'
import { encodeSubmission, FINISHED_JOB_VALUE, getCancelKey, JOB_TABLE, PROGRESS_TABLE } from './jobRows.js'

/** The rows that one turn may handle; on a weak instance they take some ten milliseconds. */
const LONGEST_TURN_ROWS = 1000

function createReader () {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const errors = createTestErrors(clock)
  const tableService = EmulatedTables.create({ clock }).createClient(createRandom(1))
  const cleaner = FinishedJobCleaner.create({ tableService, clock, logger: silentLogger, errors })
  const reader = JobRowReader.create({
    jobs: engine.jobs,
    cleaner,
    clock,
    logger: silentLogger,
    errors,
    assignmentsStoredSince: 0,
    cancelJob: jobId => engine.cancelJob(jobId)
  })
  return { clock, engine, reader }
}

function createRow (table: string, key: string, value: unknown): Row {
  return { table, key, version: 1, value: value as JsonValue }
}

function createJobId (index: number): string {
  return index.toString(16).padStart(16, '0')
}

/** The rows of jobs of which every third has ended and every seventh is cancelled; cancellations come first. */
function createRows (count: number) {
  const jobs: Row[] = []
  const cancellations: Row[] = []
  const progress: Row[] = []
  for (let index = 0; index < count; index++) {
    const jobId = createJobId(index)
    if (index % 3 === 0) {
      jobs.push(createRow(JOB_TABLE, jobId, FINISHED_JOB_VALUE))
      progress.push(createRow(PROGRESS_TABLE, jobId, { state: 'completed' }))
    } else {
      jobs.push(createRow(JOB_TABLE, jobId, encodeSubmission(createSubmission([{}], { jobId }))))
      if (index % 7 === 0) cancellations.push(createRow(JOB_TABLE, getCancelKey(jobId), {}))
    }
  }
  return { jobRows: [...cancellations, ...jobs], progress }
}

for (const count of [10, 5000]) {
  test(`adds, cancels and remembers ${count} jobs of an earlier owner`, async () => {
    const { clock, engine, reader } = createReader()
    const { jobRows, progress } = createRows(count)
    const loading = reader.load(jobRows, progress)
    await clock.advance(1000)
    await loading
    for (let index = 0; index < count; index++) {
      const jobId = createJobId(index)
      const job = engine.jobs.getJob(jobId)
      // The state of a cancelled job changes once its cancellation is stored.
      assert.equal(engine.jobs.getState(jobId), index % 3 === 0 ? 'completed' : 'pending', jobId)
      assert.equal(job?.finalState, index % 3 === 0 ? undefined : index % 7 === 0 ? 'cancelled' : null, jobId)
    }
  })
}

test('adds many jobs in turns of bounded size, and few in one turn', async () => {
  const { clock, reader } = createReader()
  const { jobRows, progress } = createRows(9000)
  let handled = 0
  const count = (row: Row): Row => Object.defineProperty({ ...row }, 'key', {
    get () {
      handled++
      return row.key
    }
  })
  const counted = { jobRows: jobRows.map(count), progress: progress.map(count) }
  let longest = 0
  const setTimer = clock.setTimer.bind(clock)
  clock.setTimer = (delay, callback) => {
    longest = Math.max(longest, handled)
    handled = 0
    return setTimer(delay, callback)
  }
  const loading = reader.load(counted.jobRows, counted.progress)
  await clock.advance(1000)
  await loading
  // Each row is read up to six times in a turn.
  assert.ok(Math.max(longest, handled) <= 6 * LONGEST_TURN_ROWS, `${Math.max(longest, handled)} reads`)
  let turns = 0
  clock.setTimer = (delay, callback) => {
    turns++
    return setTimer(delay, callback)
  }
  const few = createRows(100)
  await reader.load(few.jobRows, few.progress)
  assert.equal(turns, 0)
})
