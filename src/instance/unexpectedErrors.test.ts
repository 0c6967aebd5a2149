import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createStep } from '../../stand-ins/platform/createStep.js'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import type { EmulatedWorker } from '../../stand-ins/platform/EmulatedWorker.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { LEARNED_TABLE } from './jobRows.js'

const JOB_COUNT = 20
const TASKS_PER_JOB = 4

type WorkerCall = 'start' | 'stop' | 'hold' | 'setPace'

/** Makes each call of one kind fail with an unexpected error until the returned function is called. */
function breakCalls (workers: Iterable<EmulatedWorker>, call: WorkerCall): () => void {
  const broken = [...workers]
  for (const worker of broken) worker[call] = () => { throw new Error(`unexpected error of ${call}`) }
  return () => { for (const worker of broken) delete (worker as Partial<EmulatedWorker>)[call] }
}

/** Submits short jobs, some of which are cancelled, and one whose tasks run until they are stopped. */
async function submitJobs (site: EmulatedSite): Promise<void> {
  await site.submit('watch', [{ taskCount: TASKS_PER_JOB, longRunning: true }], { durationMilliseconds: Infinity })
  for (let index = 0; index < JOB_COUNT; index++) await site.submit(`check${index}`, [{ taskCount: TASKS_PER_JOB }])
}

for (const call of ['start', 'stop', 'hold'] as const) {
  test(`jobs complete and run once after each ${call} call has failed with an unexpected error for 3 s`, async () => {
    const clock = VirtualClock.create()
    const site = EmulatedSite.create({
      clock, random: createRandom(7), instanceCount: 2, workerCount: 4, allowsUnexpectedErrors: true
    })
    await clock.advance(3000)
    const submitted = submitJobs(site)
    await clock.advance(200)
    const owner = site.getOwner()
    const restore = breakCalls(site.workers.values(), call)
    const { gateway } = site.instances[0].instance
    gateway.cancel('check3', { milliseconds: 3000, hasDisconnected: () => false })
    await clock.advance(3000)
    restore()
    await submitted
    await clock.advance(20_000)
    const states = await Promise.all(Array.from({ length: JOB_COUNT }, async (_, index) =>
      site.getOwner()!.instance.ownerApi.getJobState(`check${index}`)))
    const running = site.judge.getRunningTasks().length
    for (const worker of site.workers.values()) worker.shutDown()
    assert.equal(site.getOwner(), owner)
    assert.deepEqual(states.filter(state => state !== 'completed'), ['cancelled'])
    assert.equal(running, TASKS_PER_JOB)
    assert.deepEqual(site.judge.violations, [])
  })
}

/** Rows that another version of the program could have written. */
const MALFORMED_ROWS: JsonValue[] = [
  { jobId: 'row', specification: { steps: [null] } },
  { jobId: 'row', specification: { steps: [{ taskCount: 1 }], repeatCount: 0 } },
  { jobId: 'row', specification: { steps: [{ ...createStep({}), afterSteps: 5 }], repeatCount: 0 } as unknown as JsonValue },
  { jobId: 'row', queueName: 'drafts', specification: { steps: [createStep({})], repeatCount: '2' } as unknown as JsonValue }
]

for (const [index, value] of MALFORMED_ROWS.entries()) {
  test(`malformed row ${index} of the job table costs no other job, also after a takeover`, async () => {
    const clock = VirtualClock.create()
    const site = EmulatedSite.create({ clock, random: createRandom(7), instanceCount: 2, workerCount: 4 })
    await clock.advance(3000)
    site.putJobRow('ffffffffffffffff', value)
    await clock.advance(1000)
    site.replaceInstance(site.getOwner()!, 500)
    await clock.advance(4000)
    const submitted = submitJobs(site)
    await clock.advance(20_000)
    await submitted
    const states = Array.from({ length: JOB_COUNT }, (_, number) =>
      site.getOwner()!.instance.ownerApi.getJobState(`check${number}`))
    for (const worker of site.workers.values()) worker.shutDown()
    assert.deepEqual([...new Set(states)], ['completed'])
  })
}

test('a malformed row of learned effects does not keep a successor from loading the shard', async () => {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({
    clock, random: createRandom(7), instanceCount: 2, workerCount: 4, allowsUnexpectedErrors: true
  })
  await clock.advance(3000)
  site.tables.apply({
    operations: [
      { kind: 'put', table: LEARNED_TABLE, key: 'site', value: { desk: { effects: 5 } }, condition: { kind: 'any' } }
    ]
  })
  site.replaceInstance(site.getOwner()!, 500)
  await clock.advance(4000)
  const submitted = submitJobs(site)
  await clock.advance(20_000)
  await submitted
  const state = site.getOwner()!.instance.ownerApi.getJobState('check0')
  for (const worker of site.workers.values()) worker.shutDown()
  assert.equal(state, 'completed')
})
