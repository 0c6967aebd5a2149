import assert from 'node:assert/strict'
import { test } from 'node:test'
import { absentOwnerAnswers } from '../../stand-ins/platform/absentOwnerAnswers.js'
import { createStep } from '../../stand-ins/platform/createStep.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
import { EMULATED_QUEUE } from '../../stand-ins/platform/EmulatedSite.js'
import { LimitedStore } from '../../stand-ins/platform/LimitedStore.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import type { JobSpecification } from '../jobs/index.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { DEFAULT_TABLE_LIMITS } from '../table/TableLimits.js'
import { FinishedJobCleaner } from './FinishedJobCleaner.js'
import { JobGateway } from './JobGateway.js'
import { decodeSubmission, getSubmissionPartOf, isFinishedJob, JOB_TABLE } from './jobRows.js'
import { SubmissionAssembler } from './submissionRows.js'
import type { OwnerPeer } from './OwnerPeer.js'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'

const JOB_ID = '00000000000000a1'
/** A body of the largest size, 262,144 bytes, has at most this many steps, or texts of this length in all. */
const LARGEST_STEP_COUNT = 21_000
const LARGEST_TEXT_LENGTH = 250_000
const LABEL_LENGTH = 1000

function createSpecification (steps: JobSpecification['steps']): JobSpecification {
  return { taskDescription: 'text', steps, startAtMilliseconds: 0, intervalMilliseconds: 0, repeatCount: 0 }
}

function createIncompressibleSteps () {
  const random = createRandom(1)
  const createText = () => Array.from({ length: LABEL_LENGTH }, () =>
    String.fromCharCode(33 + Math.floor(random() * 94))).join('')
  return Array.from({ length: LARGEST_TEXT_LENGTH / LABEL_LENGTH }, () => createStep({ requiredLabel: createText() }))
}

async function submit (store: LimitedStore, specification: JobSpecification) {
  const gateway = JobGateway.create({
    tableService: store.client,
    tableLimits: DEFAULT_TABLE_LIMITS,
    peer: absentOwnerAnswers as unknown as OwnerPeer,
    metrics: createTestMetrics(false),
    ownerApi: absentOwnerAnswers,
    isOwner: () => true,
    getOwnerAddress: () => null,
    clock: VirtualClock.create(1000),
    logger: silentLogger
  })
  const wait = { milliseconds: 3000, hasDisconnected: () => false }
  return await gateway.submit(JOB_ID, specification, EMULATED_QUEUE, wait)
}

for (const [name, steps] of [
  ['many steps', Array.from({ length: LARGEST_STEP_COUNT }, () => createStep({}))],
  ['long texts', createIncompressibleSteps()]
] as const) {
  // The store rejected its row, and the caller was told to try again for ever.
  test(`a submission with ${name} is accepted and read as a whole, whatever the order of its rows`, async () => {
    const store = LimitedStore.create()
    const specification = createSpecification(steps)
    assert.deepEqual(await submit(store, specification), { kind: 'accepted' })
    const rows = store.getRows(JOB_TABLE)
    for (const order of [rows, [...rows].reverse()]) {
      const assembler = SubmissionAssembler.create()
      const whole = order.map(row => assembler.add(row)).filter(row => row !== null)
      assert.deepEqual(whole.map(({ key }) => key), [JOB_ID])
      assert.deepEqual(decodeSubmission(whole[0].value)?.specification, specification)
    }
  })
}

test('a copy of a large submission that arrives after the end of its job starts no new one', async () => {
  const clock = VirtualClock.create(1000)
  const store = LimitedStore.create()
  const specification = createSpecification(createIncompressibleSteps())
  await submit(store, specification)
  const partKeys = store.getRows(JOB_TABLE).map(({ key }) => key).filter(key => getSubmissionPartOf(key) !== null)
  assert.ok(partKeys.length > 1)
  const cleaner = FinishedJobCleaner.create({
    tableService: store.client, clock, logger: silentLogger, errors: createTestErrors(clock)
  })
  cleaner.add(JOB_ID, partKeys)
  cleaner.start()
  await clock.advance(5000)
  cleaner.stop()
  assert.deepEqual(await submit(store, specification), { kind: 'accepted' })
  assert.deepEqual(store.getRows(JOB_TABLE).map(({ key, value }) => [key, isFinishedJob(value)]), [[JOB_ID, true]])
})
