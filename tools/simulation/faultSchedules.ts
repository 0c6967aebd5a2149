import fastCheck from 'fast-check'
import { ColocationPlacementEngine } from '../../src/placement/ColocationPlacementEngine.js'
import { QUOTA_TABLE, type QuotaRow } from '../../src/tasks/JournalRecord.js'
import type { SchedulerRules } from '../../src/scheduler/ShardManager.js'
import { ClusterSimulation, STORE_DELAY_MILLISECONDS } from './ClusterSimulation.js'
import type { Violation } from './InvariantChecker.js'

/** An action of a schedule; `target`, modulo their number, selects the affected scheduler, worker or task. */
export type FaultAction =
  | { kind: 'kill' | 'restart', target: number }
  | { kind: 'freeze' | 'freeze-before-start' | 'freeze-before-write', target: number, milliseconds: number }
  | { kind: 'cut-worker' | 'worker-refuses' | 'worker-unreachable' | 'worker-frozen', target: number, milliseconds: number }
  | { kind: 'worker-dead', target: number }
  | { kind: 'cut-store' | 'cut-reads', target: number, milliseconds: number }
  | { kind: 'store-down' | 'store-slow' | 'store-lossy' | 'messages-lossy', milliseconds: number }
  | { kind: 'take-out', target: number, milliseconds: number }
  | { kind: 'submit', count: number, processors: number, runMilliseconds: number }
  | { kind: 'cancel' | 'evict', target: number }

/** A generated sequence of faults, submissions, cancellations and evictions. */
export interface FaultSchedule {
  seed: number
  /** Each action with the pause before it, in milliseconds. */
  actions: Array<{ pause: number, action: FaultAction }>
}

/** The relative frequency of each kind of action; a kind without a weight does not occur. */
export type ActionWeights = Partial<Record<FaultAction['kind'], number>>

const MAXIMUM_PAUSE_MILLISECONDS = 4000
/** Faults that last about as long as a shard lease coincide with changes of the shard's owner. */
const NEAR_LEASE_DURATION_MILLISECONDS = { min: 5500, max: 8000 }
/** Longer than the shard lease and the start window; the longest faults also outlast the worker lease. */
const MAXIMUM_FAULT_MILLISECONDS = 45_000
/** Allows for takeovers, for leases that expire and for all remaining tasks to run. */
const MAXIMUM_SETTLING_MILLISECONDS = 240_000
const SLOW_STORE_MILLISECONDS = 1500
const LOSS_SHARE = 0.4
/** Allows for the takeover of the last shard and the return of its unused quota. */
const MAXIMUM_QUOTA_RETURN_MILLISECONDS = 60_000
/** Schedules write few journal batches, so snapshots must be frequent for recovery to use them. */
const BATCHES_PER_SNAPSHOT = 4
/** Tasks with a shorter run time are submitted under an urgent kind. */
const MAXIMUM_URGENT_RUN_MILLISECONDS = 5000

/**
 * Creates a generator of schedules that have the given actions in the given order with varying pauses, for failures
 * that need a combination of faults.
 * @param actions The actions; fields that are left out are generated.
 * @returns The generator.
 */
export function createOrderedSchedules (
  actions: Array<Partial<FaultAction> & { kind: FaultAction['kind'] }>
): fastCheck.Arbitrary<FaultSchedule> {
  return fastCheck.record({
    seed: fastCheck.integer(),
    actions: fastCheck.tuple(...actions.map(action => fastCheck.record({
      pause: fastCheck.integer({ min: 0, max: MAXIMUM_PAUSE_MILLISECONDS }),
      action: createAction(action.kind).map(generated => ({ ...generated, ...action }) as FaultAction)
    })))
  })
}

/**
 * Creates a generator of schedules with random actions.
 * @param weights The kinds of action with their weights.
 * @param maximumLength The maximum number of actions.
 * @returns The generator.
 */
export function createSchedules (weights: ActionWeights, maximumLength = 12): fastCheck.Arbitrary<FaultSchedule> {
  const actions = (Object.entries(weights) as Array<[FaultAction['kind'], number]>)
    .map(([kind, weight]) => ({ weight, arbitrary: createAction(kind) }))
  return fastCheck.record({
    seed: fastCheck.integer(),
    actions: fastCheck.array(fastCheck.record({
      pause: fastCheck.integer({ min: 0, max: MAXIMUM_PAUSE_MILLISECONDS }),
      action: fastCheck.oneof(...actions)
    }), { minLength: 3, maxLength: maximumLength })
  })
}

function createAction (kind: FaultAction['kind']): fastCheck.Arbitrary<FaultAction> {
  const milliseconds = fastCheck.oneof(
    fastCheck.integer({ min: 500, max: 9000 }),
    fastCheck.integer(NEAR_LEASE_DURATION_MILLISECONDS),
    fastCheck.integer({ min: 9000, max: MAXIMUM_FAULT_MILLISECONDS })
  )
  return fastCheck.record({
    kind: fastCheck.constant(kind),
    target: fastCheck.nat({ max: 11 }),
    milliseconds,
    count: fastCheck.integer({ min: 1, max: 4 }),
    processors: fastCheck.integer({ min: 1, max: 3 }),
    runMilliseconds: fastCheck.integer({ min: 500, max: 20_000 })
  }) as unknown as fastCheck.Arbitrary<FaultAction>
}

/**
 * Runs a schedule on two data centres with two workers each and three schedulers in all, clears all faults, and waits
 * until the remaining tasks have ended.
 * @param schedule The schedule.
 * @param rules Safety rules of the scheduler to switch off, for variants that are known to be incorrect.
 * @param quotaProcessors The processor quota of the team, which the colocation placement engine enforces; null selects
 * the first-fit engine without a quota.
 * @returns The first violation of each kind; empty when all invariants held.
 */
export async function runSchedule (
  schedule: FaultSchedule,
  rules: SchedulerRules = {},
  quotaProcessors: number | null = null
): Promise<Violation[]> {
  const cluster = ClusterSimulation.create({
    seed: schedule.seed,
    dataCentres: [
      { name: 'dc-a', region: 'south', workers: 2, schedulers: 2 },
      { name: 'dc-b', region: 'south', workers: 2, schedulers: 1 }
    ],
    rules: { ...rules, owner: { batchesPerSnapshot: BATCHES_PER_SNAPSHOT, ...rules.owner } },
    createEngine: quotaProcessors === null ? undefined : () => ColocationPlacementEngine.create()
  })
  if (quotaProcessors !== null) {
    cluster.checker.quotaProcessors = quotaProcessors
    cluster.changeConfiguration({ kind: 'policy-apply', policyText: createPolicyText(quotaProcessors) })
  }
  const faultInjector = createFaultInjector(cluster)
  await cluster.advance(2000)
  faultInjector.inject({ kind: 'submit', count: 3, processors: 1, runMilliseconds: 12_000 })
  for (const { pause, action } of schedule.actions) {
    await cluster.advance(pause)
    faultInjector.inject(action)
    if (cluster.checker.violations.length > 0) return cluster.checker.violations
  }
  await cluster.advance(3000)
  cluster.clearFaults()
  faultInjector.bringBackDataCentres()
  for (let waitedMilliseconds = 0; waitedMilliseconds < MAXIMUM_SETTLING_MILLISECONDS; waitedMilliseconds += 2000) {
    await cluster.advance(2000, 500)
    if (cluster.getOpenTasks().length === 0) break
  }
  for (const { taskId, state } of cluster.getOpenTasks()) cluster.checker.addLostTask(taskId, state)
  if (quotaProcessors !== null) await checkQuotaReturned(cluster, quotaProcessors)
  if (!faultInjector.mayRepeatCompletions()) cluster.checker.checkCompletions()
  for (const { process } of cluster.schedulers.values()) process.kill()
  return cluster.checker.violations
}

function createPolicyText (quotaProcessors: number): string {
  return [
    'urgent check within 1000 ms # test: a caller waits',
    'may-repeat check # test: a check only reads',
    `team team gets ${quotaProcessors} processors, 100 GB, 0 accelerators # test: less than all workers`
  ].join('\n')
}

/** Checks that, once no task runs, all shards return the quota that they hold. */
async function checkQuotaReturned (cluster: ClusterSimulation, quotaProcessors: number): Promise<void> {
  let unallocated = quotaProcessors
  for (let waitedMilliseconds = 0; waitedMilliseconds < MAXIMUM_QUOTA_RETURN_MILLISECONDS; waitedMilliseconds += 2000) {
    const pending = cluster.store.read({ table: QUOTA_TABLE, key: 'team' })
    await cluster.advance(2000, 1000)
    const read = await pending
    if (read.kind === 'ok' && read.value === null) return
    if (read.kind === 'ok') unallocated = (read.value!.value as unknown as QuotaRow).unallocated.processors
    if (Math.abs(unallocated - quotaProcessors) < 1e-6) return
  }
  cluster.checker.addLostQuota(`${unallocated} of ${quotaProcessors} processors were returned`)
}

function createFaultInjector (cluster: ClusterSimulation) {
  const { clock, store, workers, workerIds } = cluster
  const takenOut = new Set<string>()
  let nextJob = 0
  let hasLostWorkers = false
  const runAfter = (milliseconds: number, action: () => void) => { clock.setTimer(milliseconds, action) }
  const bringBackDataCentres = async () => {
    for (const dataCentre of takenOut) await cluster.changeConfiguration({ kind: 'data-centre-bring-back', dataCentre })
  }
  const setStoreFaults = (faults: Partial<typeof store.faults>, milliseconds: number) => {
    const normal = { down: false, delayMilliseconds: STORE_DELAY_MILLISECONDS, lostAnswerShare: 0, lostRequestShare: 0 }
    const names = Object.keys(faults) as Array<keyof typeof normal>
    const normalValues = Object.fromEntries(names.map(name => [name, normal[name]]))
    Object.assign(store.faults, faults)
    runAfter(milliseconds, () => Object.assign(store.faults, normalValues))
  }
  const inject = (action: FaultAction): void => {
    const schedulers = [...cluster.schedulers.values()]
    const scheduler = 'target' in action ? schedulers[action.target % schedulers.length] : schedulers[0]
    const workerId = 'target' in action ? workerIds[action.target % workerIds.length] : workerIds[0]
    const taskIds = [...cluster.acceptedTaskIds]
    switch (action.kind) {
      case 'kill': return cluster.kill(scheduler.instance.instanceId)
      case 'restart': return cluster.restart(scheduler.instance.instanceId)
      case 'freeze': return scheduler.process.freeze(action.milliseconds)
      case 'freeze-before-start':
        scheduler.process.freezeBeforeStartMilliseconds = action.milliseconds
        return
      case 'freeze-before-write':
        scheduler.process.freezeBeforeWriteMilliseconds = action.milliseconds
        return
      case 'cut-worker':
        hasLostWorkers ||= action.milliseconds > 25_000
        scheduler.process.unreachableWorkers.add(workerId)
        return runAfter(action.milliseconds, () => { scheduler.process.unreachableWorkers.delete(workerId) })
      case 'worker-refuses':
        hasLostWorkers ||= action.milliseconds > 25_000
        for (const { process } of schedulers) process.refusingWorkers.add(workerId)
        return runAfter(action.milliseconds, () => {
          for (const { process } of schedulers) process.refusingWorkers.delete(workerId)
        })
      case 'worker-unreachable':
      case 'worker-frozen':
        hasLostWorkers ||= action.milliseconds > 25_000
        workers.setFault(workerId, action.kind === 'worker-frozen' ? 'frozen' : 'unreachable')
        return runAfter(action.milliseconds, () => { workers.setFault(workerId, 'none') })
      case 'worker-dead':
        hasLostWorkers = true
        workers.setFault(workerId, 'dead')
        return
      case 'cut-store':
        scheduler.process.isStoreUnreachable = true
        return runAfter(action.milliseconds, () => { scheduler.process.isStoreUnreachable = false })
      case 'cut-reads':
        scheduler.process.areStoreReadsFailing = true
        return runAfter(action.milliseconds, () => { scheduler.process.areStoreReadsFailing = false })
      case 'store-down': return setStoreFaults({ down: true }, action.milliseconds)
      case 'store-slow': return setStoreFaults({ delayMilliseconds: SLOW_STORE_MILLISECONDS }, action.milliseconds)
      case 'store-lossy':
        for (const { process } of schedulers) process.faults.lateWriteShare = LOSS_SHARE / 2
        runAfter(action.milliseconds, () => { for (const { process } of schedulers) process.faults.lateWriteShare = 0 })
        return setStoreFaults({ lostAnswerShare: LOSS_SHARE, lostRequestShare: LOSS_SHARE / 2 }, action.milliseconds)
      case 'messages-lossy': {
        const lossy = { duplicateShare: LOSS_SHARE, lateShare: LOSS_SHARE / 2, lostAnswerShare: LOSS_SHARE / 2 }
        for (const { process } of schedulers) Object.assign(process.faults, lossy)
        return runAfter(action.milliseconds, () => {
          for (const { process } of schedulers) {
            Object.assign(process.faults, { duplicateShare: 0, lateShare: 0, lostAnswerShare: 0 })
          }
        })
      }
      case 'take-out': {
        const dataCentre = action.target % 2 === 0 ? 'dc-a' : 'dc-b'
        takenOut.add(dataCentre)
        cluster.changeConfiguration({ kind: 'data-centre-take-out', dataCentre, lost: false })
        return runAfter(action.milliseconds, () => {
          cluster.changeConfiguration({ kind: 'data-centre-bring-back', dataCentre })
        })
      }
      case 'submit':
        cluster.submit({
          key: `job-${nextJob++}`,
          count: action.count,
          kind: action.runMilliseconds < MAXIMUM_URGENT_RUN_MILLISECONDS ? 'check' : 'draft',
          size: { processors: action.processors, memoryMegabytes: 1000, accelerators: 0 },
          payload: { runMilliseconds: action.runMilliseconds }
        })
        return
      case 'cancel':
        if (taskIds.length > 0) cluster.cancel(taskIds[action.target % taskIds.length])
        return
      case 'evict':
        for (const core of cluster.getShardOwners()) {
          const task = core.state.tasks.get(taskIds[action.target % Math.max(1, taskIds.length)])
          if (task !== undefined) core.evict(task, clock.monotonicMilliseconds())
        }
    }
  }
  return { inject, bringBackDataCentres, mayRepeatCompletions: () => hasLostWorkers }
}
