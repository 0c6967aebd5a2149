import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { playOverload, type OverloadOptions, type PlayedJob } from '../../stand-ins/platform/playOverload.js'
import { scoreKind } from '../../stand-ins/platform/scoreOverload.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { createLognormalMix } from '../../stand-ins/platform/sizeMixes.js'
import { DispatchEngine } from '../dispatch/index.js'
import type { JobSubmission, StepSpecification } from '../jobs/index.js'
import { getTestSeed } from '../shared/testSeed.js'
import { LoadMeter } from './LoadMeter.js'

const LIMITS = ['reserved', 'best-effort', 'starts'] as const
const CALM_LOAD = 0.8
const BURST_MILLISECONDS = 3000

function play (options: Omit<OverloadOptions, 'seed' | 'arrivalMilliseconds' | 'hasAdmission'>, hasAdmission = true) {
  return playOverload({ ...options, seed: getTestSeed(), arrivalMilliseconds: 60_000, hasAdmission })
}

function createKinds (urgentLoad: number, wideLoad: number): OverloadOptions['kinds'] {
  return [
    { queueName: 'urgent', priority: 0, mix: createLognormalMix(4, 0.8), load: urgentLoad },
    { queueName: 'wide', priority: 2, mix: createLognormalMix(12, 0.8), load: wideLoad }
  ]
}

function countServed (jobs: readonly PlayedJob[], queueName: string): number {
  return jobs.filter(job => job.queueName === queueName && job.completedAt !== null &&
    job.completedAt - job.submittedAt <= job.objectiveMilliseconds).length
}

for (const limit of LIMITS) {
  test(`a calm site, and one with a short burst that drains in time, refuse nothing (${limit})`, () => {
    const random = createRandom(getTestSeed())
    for (let index = 0; index < 3; index++) {
      const [urgentShare, burstLength, burstFactor] = [random(), random() * BURST_MILLISECONDS, 1 + 2 * random()]
      const getLoadFactor = (milliseconds: number): number => milliseconds % 20_000 < burstLength ? burstFactor : 0.8
      const kinds = createKinds(CALM_LOAD * urgentShare, CALM_LOAD * (1 - urgentShare))
      const jobs = play({ kinds, limit, getLoadFactor })
      const played = JSON.stringify({ urgentShare, burstLength, burstFactor })
      assert.equal(jobs.filter(job => job.isRefused).length, 0, played)
    }
  })

  test(`refusing jobs that can only be useless lowers neither urgent nor other jobs in time (${limit})`, context => {
    const options = { kinds: createKinds(1.5, 0.5), limit }
    const [without, withAdmission] = [play(options, false), play(options)]
    for (const queueName of ['urgent', 'wide']) {
      const [before, after] = [without, withAdmission].map(jobs => countServed(jobs, queueName))
      const refused = withAdmission.filter(job => job.queueName === queueName && job.isRefused).length
      const count = withAdmission.filter(job => job.queueName === queueName).length
      context.diagnostic(`${queueName}: ${before} in time without, ${after} with, ${refused} of ${count} refused`)
      assert.ok(after >= before, `${queueName}: ${after} of ${before}`)
    }
    const urgent = scoreKind(withAdmission.filter(({ queueName }) => queueName === 'urgent'))
    assert.ok(Math.min(urgent.worstBandInTime, urgent.worstBandUseful) >= 0.5)
    assert.ok(withAdmission.some(job => job.isRefused))
  })
}

/** Creates a meter of an owner with one worker, on which nothing starts. */
function createMeter () {
  const engine = DispatchEngine.create({ epoch: 3 })
  engine.setWorker(createWorkerEntry({
    workerId: 'worker', capacity: { processorsMilli: 10_000, memoryMegabytes: 64_000, accelerators: 0 }
  }))
  const cap = { processorsMilli: 500_000, memoryMegabytes: 0, accelerators: 0 }
  engine.setAccounts([{ name: 'capped', keyDigests: [], weight: 1, cap }])
  const meter = LoadMeter.create({ ...engine, epoch: 3 })
  const measureUntil = (from: number, end: number): void => {
    for (let now = from; now <= end; now += 500) meter.measure(now, 0)
  }
  const addJob = (step: Partial<StepSpecification>, changes: Partial<JobSubmission>): void => {
    const submission = createSubmission([{ processorsMilli: 1000, estimateMilliseconds: 1000, ...step }], changes)
    engine.jobs.add({ submission, progress: [], recovered: false }, 0)
    engine.markDirty()
    engine.plan(0, 0, true)
  }
  return { meter, measureUntil, addJob }
}

test('an owner publishes no load before it has lasted', () => {
  const { meter, measureUntil, addJob } = createMeter()
  measureUntil(0, 10_000)
  assert.deepEqual(meter.getSummary(10_000), { epoch: 3, ageMilliseconds: 0, classes: [] })
  addJob({ taskCount: 1000 }, { jobId: 'a' })
  addJob({ taskCount: 10 }, { jobId: 'b', priority: 2, accountName: 'coop' })
  measureUntil(10_500, 15_000)
  assert.deepEqual(meter.getSummary(15_000).classes, [])
  measureUntil(15_500, 15_500)
  const { ageMilliseconds, classes } = meter.getSummary(15_600)
  assert.equal(ageMilliseconds, 100)
  assert.deepEqual(classes.map(({ accountName, priority, aheadMilliseconds, excessShare }) =>
    ({ accountName, priority, aheadMilliseconds, excessShare })), [
    { accountName: 'coop', priority: 2, aheadMilliseconds: 101_000, excessShare: 1 },
    { accountName: null, priority: 0, aheadMilliseconds: 100_000, excessShare: 1 }
  ])
})

test('work that may wait for something else than room does not count as ahead of other work', () => {
  const { meter, measureUntil, addJob } = createMeter()
  measureUntil(0, 10_000)
  const blocked: Array<[Partial<StepSpecification>, Partial<JobSubmission>]> = [
    [{ requiredLabel: 'absent' }, {}], [{ gang: true }, {}], [{ accelerators: 1 }, {}], [{ maximumPerWorker: 1 }, {}],
    [{ processorsMilli: 10_001 }, {}], [{ memoryMegabytes: 64_001 }, {}], [{}, { serviceName: 'other' }],
    [{ fills: true }, {}], [{ longRunning: true }, {}], [{}, { accountName: 'capped' }]
  ]
  for (const [index, [step, changes]] of blocked.entries()) {
    addJob({ taskCount: 1000, ...step }, { jobId: `blocked-${index}`, ...changes })
  }
  addJob({ taskCount: 10 }, { jobId: 'b', priority: 2 })
  measureUntil(10_500, 20_000)
  const load = meter.getSummary(20_000).classes.find(({ priority }) => priority === 2)
  assert.equal(load?.aheadMilliseconds, 1000)
})
