import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { StepSpecification } from '../../src/jobs/index.js'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { createRandom } from '../shared/createRandom.js'
import { EmulatedSite } from './EmulatedSite.js'
import { LostJobJudge } from './LostJobJudge.js'

/** A site of two workers with an accepted job, whose owner is killed before or after the job starts. */
async function createSite (
  step: Partial<StepSpecification>, options: { isStarted: boolean, calmSince?: number | null }
) {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({ clock, random: createRandom(1), instanceCount: 1, workerCount: 2 })
  const { calmSince = 0 } = options
  const affected = new Set<string>()
  const judge = LostJobJudge.create({
    site, clock, getCalmSince: () => calmSince, isWorkerAffected: workerId => affected.has(workerId)
  })
  await judge.advance(2000)
  const accepted = site.submit('job', [step], { durationMilliseconds: Infinity })
  await clock.advance(10)
  assert.deepEqual(await accepted, { kind: 'accepted' })
  judge.recordAcceptedJob('job')
  if (options.isStarted) await judge.advance(1000)
  for (const { process } of site.instances) process.kill()
  return { site, judge, affected }
}

function shutDown (site: EmulatedSite): void {
  for (const worker of site.workers.values()) worker.shutDown()
}

test('a job that could run and has nothing running for 3 s after the finish is lost', async () => {
  const { site, judge } = await createSite({ taskCount: 3 }, { isStarted: false })
  await judge.advance(10_000)
  assert.deepEqual(judge.violations, [])
  judge.startFinish()
  await judge.advance(250)
  assert.deepEqual(judge.violations.map(({ name, step, room }) => ({ name, step, room })), [
    { name: 'job', step: 0, room: 32 }
  ])
  assert.ok(judge.longestWaitMilliseconds >= 10_000)
  shutDown(site)
})

test('a job is not lost while it runs, without room for it twice, or in a full service', async () => {
  const running = await createSite({ taskCount: 3 }, { isStarted: true })
  const tooLarge = await createSite({ processorsMilli: 16_000, maximumPerWorker: 1 }, { isStarted: false })
  const away = await createSite({ taskCount: 3 }, { isStarted: false })
  tooLarge.affected.add('worker-0')
  away.affected.add('worker-0').add('worker-1')
  for (const { site, judge } of [running, tooLarge, away]) {
    judge.startFinish()
    await judge.advance(4000)
    assert.deepEqual(judge.violations, [])
    shutDown(site)
  }
})

test('a cancelled job is not lost', async () => {
  const { site, judge } = await createSite({}, { isStarted: false })
  judge.recordCancellation('job')
  judge.startFinish()
  await judge.advance(5000)
  assert.deepEqual(judge.violations, [])
  shutDown(site)
})

test('a long-running task is lost at any time when it is calm, 6 s after its last run', async () => {
  const { site, judge } = await createSite({ longRunning: true, taskCount: 2 }, { isStarted: false })
  await judge.advance(5500)
  assert.deepEqual(judge.violations, [])
  await judge.advance(2000)
  assert.deepEqual(new Set(judge.violations.map(({ name }) => name)), new Set(['job.0.0.0', 'job.0.0.1']))
  shutDown(site)
})

test('a long-running task is not lost before the finish while a fault is active', async () => {
  const { site, judge } = await createSite({ longRunning: true }, { isStarted: false, calmSince: null })
  await judge.advance(9000)
  assert.deepEqual(judge.violations, [])
  judge.startFinish()
  await judge.advance(250)
  assert.equal(judge.violations.length, 1)
  shutDown(site)
})
