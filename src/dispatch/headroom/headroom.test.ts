import assert from 'node:assert/strict'
import { test } from 'node:test'
import { playNearlyFullSite, type PlayedUrgentJob } from '../../../stand-ins/platform/playNearlyFullSite.js'
import { PlannedSite } from '../../../stand-ins/platform/PlannedSite.js'
import { playOverload } from '../../../stand-ins/platform/playOverload.js'
import { scoreKind } from '../../../stand-ins/platform/scoreOverload.js'
import { createUniformMix } from '../../../stand-ins/platform/sizeMixes.js'
import { getTestSeed } from '../../shared/testSeed.js'

const SEEDS = [1, 2, 3, 4]
/** A job that completes within this multiple of its objective is served, though late. */
const USEFUL_MULTIPLE = 3
/** The largest jobs are served at least this often, relative to all jobs of their queue. */
const LEAST_SIZE_SHARE = 0.5
/** An accepted job must not wait for longer while there is room for it twice over. */
const AMPLE_WAIT_MILLISECONDS = 3000
/** The processors of the largest urgent tasks, which are an eighth of the jobs. */
const LARGEST_MILLI = 6000
const LONGEST_HOLD_MILLISECONDS = 10_000

function getServedShare (jobs: readonly PlayedUrgentJob[], multiple: number): number {
  return jobs.filter(({ submittedAt, completedAt, objectiveMilliseconds }) =>
    completedAt !== null && completedAt - submittedAt <= multiple * objectiveMilliseconds).length / jobs.length
}

for (const longRunningLoad of [0.8, 1]) {
  // Smaller tasks and new long-running ones took each piece that became free: 0.37 and 0.25 of the
  // largest were served, 0.82 and 0.80 of all.
  test(`large urgent tasks are served on a site that is nearly full of long-running ones, load ${longRunningLoad}`, context => {
    const plays = SEEDS.map(seed =>
      playNearlyFullSite({ seed, longRunningLoad, protectsUrgentWork: true, playMilliseconds: 40_000 }))
    const urgent = plays.flatMap(play => play.urgent)
    const largest = urgent.filter(({ processorsMilli }) => processorsMilli === LARGEST_MILLI)
    const [all, large] = [urgent, largest].map(jobs => getServedShare(jobs, USEFUL_MULTIPLE))
    context.diagnostic(`in time ${getServedShare(urgent, 1).toFixed(2)} of ${urgent.length}, largest ` +
      `${getServedShare(largest, 1).toFixed(2)} of ${largest.length}; in time or late ${all.toFixed(2)}, ${large.toFixed(2)}`)
    assert.ok(large >= LEAST_SIZE_SHARE * all, `${large} of the largest are served, ${all} of all`)
    for (const { longestAmpleWaitMilliseconds } of plays.flatMap(play => play.longRunning)) {
      assert.ok(longestAmpleWaitMilliseconds < AMPLE_WAIT_MILLISECONDS, `waited ${longestAmpleWaitMilliseconds} ms with room`)
    }
  })
}

// Reservations for all urgent tasks that waited bypassed the shares of sizes: the worst band got 0.26 of the whole.
test('each band of sizes is served half as often as all jobs in an overload of urgent jobs', () => {
  const score = scoreKind(playOverload({
    seed: getTestSeed(),
    protectsUrgentWork: true,
    limit: 'reserved',
    kinds: [{ queueName: 'urgent', priority: 0, mix: createUniformMix(1, 40), load: 2 }],
    arrivalMilliseconds: 60_000
  }))
  for (const share of [score.worstBandInTime, score.worstBandUseful]) assert.ok(share >= LEAST_SIZE_SHARE, `${share}`)
})

const FULL_SITE = {
  seed: 1, workerCount: 4, capacity: { processorsMilli: 8000, memoryMegabytes: 64_000, accelerators: 0 }
}
const URGENT = { processorsMilli: 6000, estimateMilliseconds: 800 }

/** Creates a site that is full of long-running tasks except for one worker, which urgent tasks use now and then. */
function createSiteWithOnePiece (): PlannedSite {
  const site = PlannedSite.create({ ...FULL_SITE, protectsUrgentWork: true })
  site.submit('lasting', [{ taskCount: 3, processorsMilli: 8000, longRunning: true }], { priority: 1 })
  site.advance(200)
  return site
}

function getWaitingMilliseconds (site: PlannedSite, jobId: string, isRunning: () => boolean): number {
  const submittedAt = site.now
  while (!isRunning() && site.now - submittedAt < 30_000) site.advance(20)
  assert.ok(isRunning(), `${jobId} has never run`)
  return site.now - submittedAt
}

// The long-running task took the piece at once, and the urgent one waited until a long-running job was cancelled.
test('a new long-running task does not take the only piece that urgent tasks used a moment ago', () => {
  const site = createSiteWithOnePiece()
  site.submit('urgent', [URGENT])
  site.advance(1500)
  site.submit('later', [{ processorsMilli: 4000, longRunning: true }], { priority: 1 })
  site.advance(1000)
  const jobId = site.submit('urgent', [URGENT])
  site.advance(1500)
  assert.equal(site.engine.jobs.getState(jobId), 'completed')
})

test('a long-running task that has waited for 10 s takes the piece, and explains its wait before that', () => {
  const site = createSiteWithOnePiece()
  site.submit('urgent', [URGENT])
  site.advance(1500)
  const jobId = site.submit('later', [{ processorsMilli: 4000, longRunning: true }], { priority: 1 })
  site.advance(100, () => {})
  const [task] = [...site.engine.jobs.getJob(jobId)!.occurrences.values()][0].steps[0].tasks.getAllCreated()
  assert.equal(site.engine.explainWaiting(task, site.now).reason, 'urgent-headroom')
  const waited = getWaitingMilliseconds(site, jobId, () => site.startCounts.has('later'))
  assert.ok(waited <= LONGEST_HOLD_MILLISECONDS, `waited ${waited} ms`)
})

test('a long-running task that has run before is not held back', () => {
  const site = createSiteWithOnePiece()
  site.submit('urgent', [URGENT])
  site.advance(1500)
  site.removeWorker(site.workers.find(({ runs }) => runs.size > 0)!)
  site.advance(100)
  assert.deepEqual(site.getTasksAway('lasting'), [])
})

test('a long-running task starts at once before urgent work has been seen', () => {
  const site = createSiteWithOnePiece()
  site.submit('later', [{ processorsMilli: 4000, longRunning: true }], { priority: 1 })
  site.advance(100)
  assert.equal(site.startCounts.get('later'), 1)
})
