import fastCheck from 'fast-check'
import { ColocationPlacementEngine } from '../../../src/placement/ColocationPlacementEngine.js'
import type { SchedulerRules } from '../../../src/scheduler/ShardManager.js'
import { createRandom } from '../../../stand-ins/shared/createRandom.js'
import { ClusterSimulation } from '../../simulation/ClusterSimulation.js'
import { createSchedules, runSchedule } from '../../simulation/faultSchedules.js'
import type { Figure } from '../Figure.js'
import { measureLearnedState } from '../recovery/measureLearnedState.js'

const MEASURED_TAKEOVERS = 12
const SHARDS = 15
const STARTS_PER_SECOND = 1200
/** A day has 35,000 jobs, so most tasks of a peak belong to large jobs; small jobs are the worse case. */
const TASKS_PER_JOB = 80
const TASKS_PER_SMALL_JOB = 8
const WARM_UP_MILLISECONDS = 15_000
const LOAD_MILLISECONDS = 5000
const OUTAGE_MILLISECONDS = 60_000
const FAULT_SCHEDULES = 150
const LEASE_MILLISECONDS = 6000
const POLICY = [
  'may-repeat check # bench: a check only reads',
  'team team gets 100000 processors, 1000000 GB, 0 accelerators # bench: more than all workers'
].join('\n')

/** The rules of a naive scheduler, which neither waits until leases expire nor reconciles starts of unknown outcome. */
const NAIVE_RULES: SchedulerRules = { owner: { waitForLeaseEnd: false, reconcileStarts: false } }

/**
 * Measures takeovers, store writes, a data centre outage and fault schedules under a virtual clock.
 * @param seed The seed of all random draws.
 * @returns The figures.
 */
export async function runBench (seed: number): Promise<Figure[]> {
  const takeover = await measureTakeover(seed)
  const writes = await measureWrites(seed, TASKS_PER_JOB)
  const smallJobs = await measureWrites(seed, TASKS_PER_SMALL_JOB)
  const outage = await measureOutage(seed, false)
  const naiveOutage = await measureOutage(seed, true)
  const violated = await countSchedulesWithViolations(seed, {})
  const naiveViolated = await countSchedulesWithViolations(seed, NAIVE_RULES)
  return [
    createFigure('takeover_time_worst', takeover.worst, 's beyond the lease, to a running owner', 'at most 2'),
    createFigure('takeover_time_median', takeover.median, 's beyond the lease, to a running owner', 'at most 2'),
    createFigure('store_writes_per_start', writes.all, 'writes with heartbeats and submissions', 'at most 0.1'),
    createFigure('journal_writes_per_start', writes.journal, 'journal batches', 'at most 0.1'),
    createFigure('store_writes_per_start_small_jobs', smallJobs.all,
      `writes with heartbeats and submissions, jobs of ${TASKS_PER_SMALL_JOB}`, 'at most 0.1'),
    createFigure('journal_writes_per_start_small_jobs', smallJobs.journal, 'journal batches', 'at most 0.1'),
    createFigure('starts_per_second_measured', writes.startsPerSecond, 'starts/s', `about ${STARTS_PER_SECOND}`),
    createFigure('work_completed_while_data_centre_out', outage.share, 'share of the capacity left', 'at least 0.9',
      naiveOutage.share),
    createFigure('double_runs', violated.doubleRuns, `schedules of ${FAULT_SCHEDULES} with faults`, '0', naiveViolated.doubleRuns),
    createFigure('lost_tasks', violated.lost + outage.open, 'tasks or schedules', '0', naiveViolated.lost),
    createFigure('overcommitted', violated.overCommitted + outage.overCommitments, 'starts or schedules', '0',
      naiveViolated.overCommitted),
    ...measureLearnedState(seed)
  ]
}

function createFigure (name: string, value: number, unit: string, target: string, naive: number | null = null): Figure {
  const round = (number: number) => Math.round(number * 10_000) / 10_000
  return { figure: name, value: round(value), unit, naive: naive === null ? null : round(naive), target }
}

/** Kills the owner of a shard at random moments and measures how long another scheduler takes to adopt all workers. */
async function measureTakeover (seed: number): Promise<{ worst: number, median: number }> {
  const random = createRandom(seed)
  const times: number[] = []
  for (let kill = 0; kill < MEASURED_TAKEOVERS; kill++) {
    const cluster = ClusterSimulation.create({
      seed: seed + kill, dataCentres: [{ name: 'dc-a', region: 'south', workers: 16, schedulers: 4 }]
    })
    await cluster.advance(2000)
    for (let job = 0; job < 10; job++) {
      cluster.submit({ key: `job-${job}`, count: 4, payload: { runMilliseconds: 60_000 } })
    }
    await cluster.advance(8000 + random() * 2000, 100)
    const owner = [...cluster.schedulers.values()].find(({ scheduler }) => scheduler.shards.getRunners().length > 0)!
    const leaseEnd = owner.scheduler.shards.getRunners()[0].lease.getRenewedAt() + LEASE_MILLISECONDS
    cluster.kill(owner.instance.instanceId)
    const isRunning = () => cluster.getShardOwners()
      .some(core => [...core.state.workers.values()].filter(worker => worker.isReconciled).length === 16)
    while (!isRunning() && cluster.clock.monotonicMilliseconds() < leaseEnd + 60_000) await cluster.advance(20, 20)
    times.push((cluster.clock.monotonicMilliseconds() - leaseEnd) / 1000)
    killAllSchedulers(cluster)
  }
  times.sort((left, right) => left - right)
  return { worst: times.at(-1)!, median: times[Math.floor(times.length / 2)] }
}

/** Starts 1,200 tasks per second, distributed over 15 shards, and counts the store's writes per start. */
async function measureWrites (
  seed: number,
  tasksPerJob: number
): Promise<{ all: number, journal: number, startsPerSecond: number }> {
  const cluster = ClusterSimulation.create({
    seed,
    processorsPerWorker: 32,
    createEngine: () => ColocationPlacementEngine.create(),
    dataCentres: Array.from({ length: SHARDS }, (_, index) => ({
      name: `dc-${index}`, region: 'south', workers: 10, schedulers: index < 8 ? 1 : 0
    }))
  })
  cluster.changeConfiguration({ kind: 'policy-apply', policyText: POLICY })
  await cluster.advance(WARM_UP_MILLISECONDS, 1000)
  const size = { processors: 1, memoryMegabytes: 1000, accelerators: 0 }
  let jobs = 0
  const load = async (durationMilliseconds: number) => {
    const interval = 1000 * tasksPerJob / STARTS_PER_SECOND
    for (let passed = 0; passed < durationMilliseconds; passed += interval) {
      cluster.submit({
        key: `job-${jobs}`,
        kind: 'check',
        count: tasksPerJob,
        size,
        dataCentre: `dc-${jobs++ % SHARDS}`,
        payload: { runMilliseconds: 500 }
      })
      await cluster.advance(interval, interval)
    }
  }
  // During the first seconds the shards acquire quota, which is not part of the steady state.
  await load(LOAD_MILLISECONDS)
  const count = () => cluster.getShardOwners().reduce((sums, { counters }) => ({
    starts: sums.starts + counters.starts, batches: sums.batches + counters.batches
  }), { starts: 0, batches: 0 })
  const before = { ...count(), writes: cluster.store.counters.writes }
  await load(LOAD_MILLISECONDS)
  const after = { ...count(), writes: cluster.store.counters.writes }
  killAllSchedulers(cluster)
  const starts = after.starts - before.starts
  return {
    all: (after.writes - before.writes) / starts,
    journal: (after.batches - before.batches) / starts,
    startsPerSecond: starts / (LOAD_MILLISECONDS / 1000)
  }
}

/** Takes one of three data centres out of service while work exceeds capacity, and measures the work that is kept. */
async function measureOutage (
  seed: number,
  withoutCheckpoints: boolean
): Promise<{ share: number, open: number, overCommitments: number }> {
  const cluster = ClusterSimulation.create({
    seed,
    withoutCheckpoints,
    processorsPerWorker: 8,
    createEngine: () => ColocationPlacementEngine.create(),
    dataCentres: ['dc-a', 'dc-b', 'dc-c'].map(name => ({ name, region: 'south', workers: 4, schedulers: 1 }))
  })
  cluster.changeConfiguration({ kind: 'policy-apply', policyText: POLICY })
  await cluster.advance(12_000)
  for (let job = 0; job < 45; job++) {
    cluster.submit({ key: `job-${job}`, count: 10, payload: { runMilliseconds: 40_000 } })
    await cluster.advance(100, 100)
  }
  await cluster.advance(20_000)
  cluster.changeConfiguration({ kind: 'data-centre-take-out', dataCentre: 'dc-b', lost: false })
  const from = cluster.clock.monotonicMilliseconds()
  await cluster.advance(OUTAGE_MILLISECONDS)
  const to = cluster.clock.monotonicMilliseconds()
  let keptWork = 0
  for (const run of cluster.workers.runLog.getReport().runs) {
    const end = run.endedAt ?? to
    const inWindow = Math.max(0, Math.min(end, to) - Math.max(run.startedAt, from))
    // Without checkpoints, all work of a stopped run is lost, including its work before the measured window.
    const isLost = run.ending === 'stopped' && withoutCheckpoints
    keptWork += run.size.processors * (isLost ? -Math.max(0, Math.min(end, from) - run.startedAt) : inWindow)
  }
  cluster.changeConfiguration({ kind: 'data-centre-bring-back', dataCentre: 'dc-b' })
  for (let waited = 0; waited < 400_000 && cluster.getOpenTasks().length > 0; waited += 5000) {
    await cluster.advance(5000, 1000)
  }
  const open = cluster.getOpenTasks().length
  const { overCommitments } = cluster.workers.runLog.getReport()
  killAllSchedulers(cluster)
  return { share: keptWork / (2 * 4 * 8 * OUTAGE_MILLISECONDS), open, overCommitments }
}

/** Runs fault schedules and counts those that violated an invariant, by the kind of violation. */
async function countSchedulesWithViolations (
  seed: number,
  rules: SchedulerRules
): Promise<{ doubleRuns: number, lost: number, overCommitted: number }> {
  const schedules = fastCheck.sample(createSchedules({
    submit: 4,
    kill: 1,
    freeze: 1,
    'cut-worker': 2,
    'worker-unreachable': 1,
    'messages-lossy': 2,
    'store-lossy': 1,
    'take-out': 1,
    evict: 1
  }), { seed, numRuns: FAULT_SCHEDULES })
  const counts = { doubleRuns: 0, lost: 0, overCommitted: 0 }
  for (const schedule of schedules) {
    const kinds = new Set((await runSchedule(schedule, rules)).map(violation => violation.kind))
    if (kinds.has('two-places') || kinds.has('run-repeated')) counts.doubleRuns++
    if (kinds.has('task-lost')) counts.lost++
    if (kinds.has('over-capacity')) counts.overCommitted++
  }
  return counts
}

function killAllSchedulers (cluster: ClusterSimulation): void {
  for (const instanceId of cluster.schedulers.keys()) cluster.kill(instanceId)
}
