import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { StepSpecification } from '../../src/jobs/index.js'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { createRandom } from '../shared/createRandom.js'
import { EmulatedSite } from './EmulatedSite.js'
import { LostJobJudge } from './LostJobJudge.js'

/** A site of two workers with an accepted job, whose owner is killed before or after the job starts. */
async function createSite (
  step: Partial<StepSpecification>,
  options: { isStarted: boolean, calmSince?: number | null, durationMilliseconds?: number }
) {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({ clock, random: createRandom(1), instanceCount: 1, workerCount: 2 })
  const { calmSince = 0, durationMilliseconds = Infinity } = options
  const affected = new Set<string>()
  const judge = LostJobJudge.create({
    site, clock, getCalmSince: () => calmSince, isWorkerAffected: workerId => affected.has(workerId)
  })
  await judge.advance(2000)
  const accepted = site.submit('job', [step], { durationMilliseconds })
  await clock.advance(10)
  assert.deepEqual(await accepted, { kind: 'accepted' })
  judge.recordAcceptedJob('job')
  if (options.isStarted) await judge.advance(1000)
  for (const { process } of site.instances) process.kill()
  return { clock, site, judge, affected }
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

test('a job is not lost while the start of each of its tasks may still be executed late', async () => {
  const { clock, site, judge } = await createSite({ taskCount: 2 }, { isStarted: false })
  judge.startFinish()
  site.judge.recordLateOrder('job.0.0.0', clock.monotonicMilliseconds())
  await judge.advance(250)
  assert.deepEqual(judge.violations, [])
  for (const taskName of ['job.0.0.0', 'job.0.0.1']) site.judge.recordLateOrder(taskName, clock.monotonicMilliseconds())
  await judge.advance(14_500)
  assert.deepEqual(judge.violations, [])
  await judge.advance(1000)
  assert.equal(judge.violations.length, 1)
  shutDown(site)
})

test('a job whose late start was executed is judged again', async () => {
  const { clock, site, judge } = await createSite({}, { isStarted: false })
  judge.startFinish()
  site.judge.recordLateOrder('job.0.0.0', clock.monotonicMilliseconds())
  site.judge.recordStart('job.0.0.0', 1, 'worker-0', true, {
    serviceName: '', labels: [], checkpoint: '', isLate: true
  })
  site.judge.recordRunEnd('job.0.0.0', 1, 'worker-0')
  await judge.advance(3500)
  assert.equal(judge.violations.length, 1)
  shutDown(site)
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

/** A site whose only job is done, but was not acknowledged because its owner was killed before. */
async function createDoneSite (step: Partial<StepSpecification> = {}) {
  const { site, judge, affected } = await createSite(step, { isStarted: true, durationMilliseconds: 1500 })
  await judge.advance(1000)
  const doneOn = site.judge.lastRunWorkerIds.get('job.0.0.0')!
  assert.ok(site.judge.isDone('job.0.0.0') && !site.judge.isAcknowledged('job.0.0.0'))
  return { site, judge, affected, doneOn, otherId: doneOn === 'worker-0' ? 'worker-1' : 'worker-0' }
}

test('a job whose completion a worker process still lists has nothing to repeat', async () => {
  const { site, judge } = await createDoneSite()
  assert.equal(judge.mayHaveToRepeat('job'), false)
  shutDown(site)
})

test('a job whose completion was lost with its worker may wait for room without limit, and else for 3 s', async () => {
  const { site, judge, affected, doneOn, otherId } = await createDoneSite()
  affected.add(otherId)
  site.workers.get(doneOn)!.crash()
  await judge.advance(6000)
  assert.equal(judge.mayHaveToRepeat('job'), true)
  affected.clear()
  await judge.advance(2500)
  assert.equal(judge.mayHaveToRepeat('job'), true)
  await judge.advance(1000)
  assert.equal(judge.mayHaveToRepeat('job'), false)
  shutDown(site)
})

test('a cancelled job has nothing to repeat', async () => {
  const { site, judge, doneOn } = await createDoneSite()
  site.workers.get(doneOn)!.crash()
  judge.recordCancellation('job')
  assert.equal(judge.mayHaveToRepeat('job'), false)
  shutDown(site)
})
