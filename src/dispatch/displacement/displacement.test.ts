import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PlannedSite } from '../../../stand-ins/platform/PlannedSite.js'
import { playOverload } from '../../../stand-ins/platform/playOverload.js'
import { scoreKind } from '../../../stand-ins/platform/scoreOverload.js'
import { createLognormalMix, drawBestEffortFactor } from '../../../stand-ins/platform/sizeMixes.js'
import type { JobSubmission, StepSpecification } from '../../jobs/index.js'

const SITE = { seed: 1, workerCount: 10, capacity: { processorsMilli: 8000, memoryMegabytes: 64_000, accelerators: 0 } }
const BEST_EFFORT = { processorsMilli: 1000, memoryMegabytes: 100, estimateMilliseconds: 1000, fills: true }
const PRIORITY = 2
/** After this time, jobs whose tasks were estimated to take a second are useless. */
const USELESS_AFTER_MILLISECONDS = 12_000
/** The objective of the later jobs: twice their estimate and 400 ms. */
const OBJECTIVE_MILLISECONDS = 2400
/** The most runs that may be stopped within a second, as a share of the running tasks. */
const BUDGET_SHARE = 0.05

interface UselessOptions {
  /** The fields of the useless jobs that differ. */
  useless?: Partial<StepSpecification>
  uselessSubmission?: Partial<JobSubmission>
  uselessMilliseconds?: number
  later?: Partial<StepSpecification>
  laterSubmission?: Partial<JobSubmission>
  protectsUrgentWork?: boolean
}

/** Creates a site that is full of runs of ten jobs that have become useless. */
function createUselessSite (options: UselessOptions): PlannedSite {
  const { uselessMilliseconds = 60_000, protectsUrgentWork = true } = options
  const site = PlannedSite.create({
    ...SITE,
    protectsUrgentWork,
    getDurationMilliseconds: ({ task }) => task.name.startsWith('useless') ? uselessMilliseconds : null
  })
  for (let count = 0; count < 10; count++) {
    site.submit('useless', [{ ...BEST_EFFORT, taskCount: 8, ...options.useless }], {
      priority: PRIORITY, ...options.uselessSubmission
    })
  }
  site.advance(USELESS_AFTER_MILLISECONDS)
  return site
}

/** Submits a job a second; returns how many of them complete in time, the most stops within a second, and all stops. */
function playLaterJobs (site: PlannedSite, options: UselessOptions) {
  const open = new Map<string, number>()
  const stops: Array<{ jobId: string, at: number }> = []
  let [submitted, inTime, mostStops] = [0, 0, 0]
  for (let count = 0; count < 8; count++) {
    const jobId = site.submit('later', [{ ...BEST_EFFORT, taskCount: 2, ...options.later }], {
      priority: PRIORITY, ...options.laterSubmission
    })
    open.set(jobId, site.now)
    submitted++
    site.advance(count === 7 ? 4000 : 1000, () => {
      for (const name of site.stoppedNames.slice(stops.length)) stops.push({ jobId: name.split('.')[0], at: site.now })
      mostStops = Math.max(mostStops, stops.filter(({ at }) => site.now - at < 1000).length)
      for (const [openId, at] of open) {
        if (site.engine.jobs.getState(openId) !== 'completed') continue
        open.delete(openId)
        if (site.now - at <= OBJECTIVE_MILLISECONDS) inTime++
      }
    })
  }
  return { submitted, inTime, mostStops, stops }
}

// They waited for the ends of runs that were of no use to anyone any more.
test('jobs that can be in time get the capacity of useless ones', () => {
  const site = createUselessSite({})
  const { submitted, inTime } = playLaterJobs(site, {})
  assert.equal(inTime, submitted)
  assert.ok(site.stoppedNames.every(name => name.startsWith('useless')), site.stoppedNames.join())
})

test('stops no more than a twentieth of the running tasks within a second', () => {
  const site = createUselessSite({})
  const { mostStops } = playLaterJobs(site, { later: { taskCount: 20 } })
  assert.equal(mostStops, 80 * BUDGET_SHARE)
})

test('displaced jobs run again and complete, and each is displaced twice at most', () => {
  const site = createUselessSite({ uselessMilliseconds: 20_000 })
  const jobIds = [...site.engine.jobs.getJobs()].map(({ submission }) => submission.jobId)
  const tasks = [...site.engine.jobs.getJobs()].flatMap(job => [...job.occurrences.values()])
    .flatMap(({ steps }) => [...steps[0].tasks.getAllCreated()])
  const { stops } = playLaterJobs(site, { later: { taskCount: 6 } })
  for (const jobId of jobIds) {
    // The stops within a second of the first one are one displacement.
    let [count, startedAt] = [0, -Infinity]
    for (const { at } of stops.filter(stop => stop.jobId === jobId)) {
      if (at - startedAt < 1000) continue
      count++
      startedAt = at
    }
    assert.ok(count <= 2, `${jobId} was displaced ${count} times`)
  }
  for (const { failedAttempts } of tasks) assert.equal(failedAttempts.size, 0)
  site.advance(60_000)
  assert.ok(site.stoppedNames.length > 0)
  for (const jobId of jobIds) assert.equal(site.engine.jobs.getState(jobId), 'completed')
})

const KEPT: ReadonlyArray<[name: string, options: UselessOptions]> = [
  ['long-running tasks', { useless: { longRunning: true } }],
  ['members of gangs', {
    useless: { gang: true, fills: false }, later: { fills: false }, laterSubmission: { priority: 0 }
  }],
  ['runs of a higher priority', { uselessSubmission: { priority: 0 } }],
  ['runs of jobs that can be in time', { uselessSubmission: { targetLatencyMilliseconds: 60_000 } }],
  ['reserving runs for tasks of their priority', { useless: { fills: false }, later: { fills: false } }],
  ['runs that end within 500 ms', { uselessMilliseconds: USELESS_AFTER_MILLISECONDS + 900 }],
  ['any runs where the option is off', { protectsUrgentWork: false }]
]

for (const [name, options] of KEPT) {
  test(`does not stop ${name}`, () => {
    const site = createUselessSite(options)
    playLaterJobs(site, options)
    assert.deepEqual(site.stoppedNames, [])
  })
}

test('urgent tasks that reserve processors get those of useless runs of a lower priority', () => {
  const options = { useless: { fills: false }, later: { fills: false }, laterSubmission: { priority: 0 } }
  const site = createUselessSite(options)
  const { submitted, inTime } = playLaterJobs(site, options)
  assert.equal(inTime, submitted)
})

test('runs with checkpoints are stopped before those that lose their progress', () => {
  const site = PlannedSite.create({ ...SITE, protectsUrgentWork: true, getDurationMilliseconds: () => 60_000 })
  for (const checkpointing of [false, true]) {
    site.submit(checkpointing ? 'saved' : 'unsaved', [{ ...BEST_EFFORT, taskCount: 40, checkpointing }], {
      priority: PRIORITY
    })
  }
  site.advance(USELESS_AFTER_MILLISECONDS)
  site.submit('later', [{ ...BEST_EFFORT, taskCount: 2 }], { priority: PRIORITY })
  site.advance(1000)
  assert.equal(site.stoppedNames.length, 2)
  assert.ok(site.stoppedNames.every(name => name.startsWith('saved')), site.stoppedNames.join())
})

test('more jobs are served in an overload of best-effort jobs with run times as on the users\' sites', context => {
  const seeds = [1, 2, 3, 4]
  const [before, after] = [false, true].map(protectsUrgentWork => scoreKind(seeds.flatMap(seed => playOverload({
    seed,
    protectsUrgentWork,
    limit: 'best-effort',
    kinds: [{ queueName: 'wide', priority: PRIORITY, mix: createLognormalMix(12, 0.8), load: 0.9 }],
    arrivalMilliseconds: 40_000,
    drawRunTimeFactor: drawBestEffortFactor
  }))))
  for (const [name, { whole, credit }] of [['before', before], ['after', after]] as const) {
    context.diagnostic(`${name}: in time ${whole.inTime.toFixed(3)}, in time or late ${whole.useful.toFixed(3)}, ` +
      `credit ${credit.toFixed(3)}`)
  }
  assert.ok(after.whole.inTime > before.whole.inTime)
  assert.ok(after.whole.useful > before.whole.useful)
})
