import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PlannedSite, type PlannedSiteOptions } from '../../stand-ins/platform/PlannedSite.js'
import type { StepSpecification } from '../jobs/index.js'

/** A long-running task that does not run must run again within this time. */
const TASK_RESTART_MILLISECONDS = 6000
const SEEDS = [1, 2, 3, 4]
const SITE: Omit<PlannedSiteOptions, 'seed'> = {
  workerCount: 20, capacity: { processorsMilli: 16_000, memoryMegabytes: 64_000, accelerators: 0 }
}
const WATCH = { processorsMilli: 6400, memoryMegabytes: 2000, longRunning: true }
const URGENT = { processorsMilli: 1900, memoryMegabytes: 500, estimateMilliseconds: 1000 }
const BEST_EFFORT = { processorsMilli: 500, memoryMegabytes: 4000, estimateMilliseconds: 30_000, fills: true }
/** More tasks than all workers can run; two jobs of as many each wait or run at any time. */
const BACKLOG = 500

interface CrowdedOptions {
  seed: number
  watch?: Partial<StepSpecification>
  /** The steps of which more tasks wait than the workers can run. */
  backlog: Array<Partial<StepSpecification>>
  site?: Partial<PlannedSiteOptions>
  /** Returns whether the process of a worker ends; that of each second one does by default. */
  isLost? (index: number): boolean
}

/**
 * Plays a full site on which workers are lost, so that their long-running tasks need room on the other ones.
 * @param options The site and its work.
 * @returns The site and the longest time that a long-running task was away.
 */
function playCrowdedSite (options: CrowdedOptions) {
  const site = PlannedSite.create({ ...SITE, ...options.site, seed: options.seed })
  site.submit('watch', [{ ...WATCH, taskCount: 12, ...options.watch }])
  site.advance(1000)
  const keepBacklog = () => {
    const waiting = [...site.engine.jobs.getJobs()].filter(({ submission }) => submission.jobId.startsWith('other'))
    if (waiting.length < 2) site.submit('other', options.backlog.map(step => ({ taskCount: BACKLOG, ...step })))
  }
  // Short runs that start at different times also end at different times.
  site.advance(5000, keepBacklog)
  const isLost = options.isLost ?? (index => index % 2 === 0)
  for (const worker of site.workers.filter((_, index) => isLost(index))) site.removeWorker(worker)
  let longestMilliseconds = 0
  site.advance(20_000, () => {
    keepBacklog()
    for (const { milliseconds } of site.getTasksAway('watch')) {
      longestMilliseconds = Math.max(longestMilliseconds, milliseconds)
    }
  })
  return { site, longestMilliseconds }
}

/** Plays the site with each seed and checks how long its long-running tasks are away. */
function checkDowntimes (options: Omit<CrowdedOptions, 'seed'>): PlannedSite[] {
  const played = SEEDS.map(seed => playCrowdedSite({ ...options, seed }))
  const longest = played.map(({ longestMilliseconds }) => longestMilliseconds)
  assert.ok(Math.max(...longest) <= TASK_RESTART_MILLISECONDS, `tasks were away for ${longest.join(', ')} ms`)
  return played.map(({ site }) => site)
}

test('long-running tasks restart in time although smaller urgent tasks take each part that becomes free', () => {
  for (const site of checkDowntimes({ backlog: [URGENT] })) assert.deepEqual(site.stoppedNames, [])
})

test('many long-running tasks of a fifth of a worker restart in time beside urgent tasks of an eighth', () => {
  checkDowntimes({ backlog: [URGENT], watch: { taskCount: 30, processorsMilli: 3200 } })
})

test('a long-running task with a label restarts in time on one of the few workers that have it', () => {
  checkDowntimes({
    backlog: [URGENT],
    watch: { taskCount: 4, requiredLabel: 'b' },
    site: { getLabels: index => index < 4 ? ['b'] : ['a'] }
  })
})

test('long-running tasks of which a worker may run one restart in time', () => {
  checkDowntimes({ backlog: [URGENT], watch: { taskCount: 8, maximumPerWorker: 1 } })
})

test('the members of a long-running gang restart in time', () => {
  checkDowntimes({
    backlog: [URGENT],
    watch: { taskCount: 3, gang: true, maximumPerWorker: 1, processorsMilli: 9600 },
    isLost: index => index < 10
  })
})

test('long-running tasks restart in time although long best-effort runs take the memory', () => {
  const sites = checkDowntimes({
    backlog: [BEST_EFFORT], watch: { taskCount: 30, processorsMilli: 3200, memoryMegabytes: 12_000 }
  })
  for (const { stoppedNames } of sites) {
    assert.ok(stoppedNames.length > 0 && stoppedNames.every(name => name.startsWith('other')), stoppedNames.join())
  }
})

// A gang reserved what it could get, and best-effort runs were stopped there again and again.
test('a gang for which there are too few workers reserves none and stops no run', () => {
  const site = PlannedSite.create({ ...SITE, seed: 1, workerCount: 15 })
  site.submit('watch', [{ ...WATCH, processorsMilli: 9600, memoryMegabytes: 40_000, taskCount: 3, gang: true }])
  site.submit('fixed', [{ ...WATCH, processorsMilli: 9600, memoryMegabytes: 60_000, taskCount: 10 }])
  site.advance(1000)
  const isMember = (name: string) => name.startsWith('watch')
  const watching = site.workers.filter(({ runs }) => [...runs.values()].some(({ task }) => isMember(task.name)))
  site.submit('other', [{ ...BEST_EFFORT, taskCount: 1000 }])
  site.advance(1000)
  for (const worker of watching) site.removeWorker(worker)
  site.advance(20_000, () => {
    for (const { reservingTask } of site.workers) assert.equal(reservingTask, null)
  })
  assert.deepEqual(site.stoppedNames, [])
})
