import { z } from 'zod'
import { CompiledPolicy } from '../policy/CompiledPolicy.js'
import type { ResourceSize, TaskEnding, TaskRun, UsageReport } from '../workers/WorkerProtocol.js'
import { EvictionHolds } from './EvictionHolds.js'
import { InterferenceCost } from './InterferenceCost.js'
import { InterferenceMitigation } from './InterferenceMitigation.js'
import { exportedInterferenceSchema, InterferenceModel, type InterferenceGrouping } from './InterferenceModel.js'
import { JobSpread } from './JobSpread.js'
import { KindCatalog, type KindRecord } from './KindCatalog.js'
import type {
  InterferenceAction, NeverReason, PlacementDecision, PlacementEngine, PlacementRequest, WaitReason, WorkerDescription,
  WorkerHealth
} from './PlacementEngine.js'
import { PlacementSearch, type Demand } from './PlacementSearch.js'
import { isWithin, getMinimum, toDemand, toResourceSize, type ResourceVector } from './resourceVector.js'
import { exportedSizesSchema, SizeEstimator } from './SizeEstimator.js'
import { NO_SLOT } from './TaskTable.js'
import { TeamUsage } from './TeamUsage.js'
import { UsageLearner } from './UsageLearner.js'
import { VictimSelector } from './VictimSelector.js'
import { exportedHealthSchema, WorkerHealthTracker } from './WorkerHealthTracker.js'
import { WorkerLedger } from './WorkerLedger.js'
import type { PositionRange } from './WorkerTable.js'

const DEFAULT_SEED = 1

const learnedStateSchema = z.object({
  sizes: exportedSizesSchema,
  interference: exportedInterferenceSchema,
  health: exportedHealthSchema
})

/** How an engine is created. */
export interface ColocationOptions {
  /** The seed of the probes of the search. */
  seed?: number
  /** Which pairs of kinds the interference model tells apart; each pair unless a bench compares. */
  interferenceGrouping?: InterferenceGrouping
}

/**
 * Places urgent and batch work together: near-full packing on learned sizes, within capacity, rules, holdings and
 * data centre states.
 *
 * A wait gives the first of these reasons that holds: `data-centre-out` (every data centre where the task fits an
 * empty worker is out), `team-quota`, `apart-rule` (a worker has room, but a rule forbids it), `workers-unhealthy`
 * (a worker has room, but it is quarantined or being probed), `no-capacity`.
 */
export class ColocationPlacementEngine implements PlacementEngine {
  private readonly kinds = KindCatalog.create()
  private readonly teamUsage = TeamUsage.create()
  private readonly jobSpread = JobSpread.create()
  private readonly sizeEstimator = SizeEstimator.create()
  private readonly ledger: WorkerLedger
  private readonly holds: EvictionHolds
  private readonly search: PlacementSearch
  private readonly victimSelector: VictimSelector
  private readonly healthTracker: WorkerHealthTracker
  private readonly interferenceModel: InterferenceModel
  private readonly usageLearner: UsageLearner
  private readonly dataCentresOut = new Set<number>()
  private policy = CompiledPolicy.create([])

  private constructor (options: ColocationOptions) {
    this.ledger = WorkerLedger.create({
      getEvictionClass: kind => this.kinds.get(kind).evictionClass,
      isWorkerSchedulable: worker => this.isWorkerSchedulable(worker)
    })
    this.holds = EvictionHolds.create(this.ledger)
    this.healthTracker = WorkerHealthTracker.create({ onChange: workerId => this.refreshWorker(workerId) })
    this.interferenceModel = InterferenceModel.create({ grouping: options.interferenceGrouping })
    const dependencies = {
      ledger: this.ledger,
      model: this.interferenceModel,
      getKind: (kind: number) => this.kinds.get(kind)
    }
    this.usageLearner = UsageLearner.create({
      ...dependencies,
      sizes: this.sizeEstimator,
      mitigation: InterferenceMitigation.create(dependencies),
      health: this.healthTracker
    })
    const cost = InterferenceCost.create(dependencies)
    this.search = PlacementSearch.create({
      ledger: this.ledger,
      predictCost: (kind, worker, reserved) => cost.predict(kind, worker, reserved),
      seed: options.seed ?? DEFAULT_SEED
    })
    this.victimSelector = VictimSelector.create({
      ledger: this.ledger,
      getKind: kind => this.kinds.get(kind),
      getKindCount: () => this.kinds.count,
      violatesApartRule: (kind, worker) => this.search.violatesApartRule(kind, worker)
    })
  }

  /**
   * Creates an engine without workers, with an empty policy.
   * @param options The options.
   * @returns The engine.
   */
  static create (options: ColocationOptions = {}): ColocationPlacementEngine {
    return new ColocationPlacementEngine(options)
  }

  setWorkers (workers: WorkerDescription[]): void {
    this.ledger.setWorkers(workers)
    this.usageLearner.pruneWorkers(workerId => this.ledger.workers.find(workerId) !== NO_SLOT)
  }

  setPolicy (policy: CompiledPolicy): void {
    this.policy = policy
    this.kinds.setPolicy(policy)
    this.ledger.recomputeEvictable()
  }

  setDataCentreState (dataCentre: string, state: 'in-service' | 'out'): void {
    const number = this.ledger.workers.dataCentres.intern(dataCentre)
    if (state === 'out') this.dataCentresOut.add(number)
    else this.dataCentresOut.delete(number)
    this.ledger.refreshAll()
  }

  setTeamHolding (team: string, holding: ResourceSize): void {
    this.teamUsage.setHolding(this.teamUsage.names.intern(team), toDemand(holding))
  }

  decide (request: PlacementRequest, now: number): PlacementDecision {
    this.holds.expire(now)
    this.healthTracker.advance(now)
    const existing = this.ledger.find(request)
    if (existing !== NO_SLOT) return this.describePlaced(existing)
    const declared = toDemand(request.size)
    const neverReason = this.findNeverReason(request, declared)
    if (neverReason !== undefined) return { kind: 'never', reason: neverReason }
    const kind = this.kinds.getByName(request.kind)
    const reserved = this.getReservation(request, kind, declared, now)
    const hold = this.holds.remove(request)
    if (!this.isAnyDataCentreInService(request, declared)) return { kind: 'wait', reason: 'data-centre-out' }
    const team = this.teamUsage.names.intern(request.team)
    if (!this.teamUsage.canCharge(team, getMinimum(reserved, declared))) return { kind: 'wait', reason: 'team-quota' }
    const range = this.getRange(request)
    const demand: Demand = { kind, reserved, getRackShare: this.jobSpread.createRackShareLookup(request.jobId) }
    const workerToProbe = this.findWorkerToProbe(demand, range, now)
    if (workerToProbe !== NO_SLOT) {
      this.healthTracker.startProbe(this.ledger.workers.workerIds[workerToProbe], request, now)
      return this.describePlaced(this.commit(request, workerToProbe, reserved, now, false))
    }
    const found = this.search.find(demand, range)
    if (found.worker !== NO_SLOT) return this.describePlaced(this.commit(request, found.worker, reserved, now, false))
    if (kind.policy.workClass === 'urgent') {
      const eviction = this.planEviction(request, demand, range, hold, now)
      if (eviction !== undefined) return eviction
    }
    return { kind: 'wait', reason: this.findWaitReason(demand, range, found.blockedByApartRule) }
  }

  restore (request: PlacementRequest, workerId: string, reserved: ResourceSize, now: number): void {
    this.release(request)
    const known = this.ledger.workers.find(workerId)
    const worker = known === NO_SLOT ? this.ledger.workers.addUnlisted(workerId) : known
    this.commit(request, worker, toDemand(reserved), now, true)
  }

  release (run: TaskRun): void {
    this.holds.remove(run)
    const slot = this.ledger.find(run)
    if (slot === NO_SLOT) return
    this.healthTracker.releaseProbe(this.ledger.workers.workerIds[this.ledger.tasks.worker[slot]], run)
    const { tasks } = this.ledger
    this.teamUsage.change(tasks.team[slot], tasks.charged, slot * 3, -1)
    this.jobSpread.remove(tasks.job[slot], tasks.rack[slot])
    this.ledger.release(slot)
  }

  recordUsage (workerId: string, report: UsageReport, now: number, workerTime?: number): InterferenceAction[] {
    return this.usageLearner.record(workerId, report, now, workerTime)
  }

  recordOutcome (run: TaskRun, ending: TaskEnding | 'refused', now: number): void {
    const slot = this.ledger.find(run)
    if (slot === NO_SLOT || ending === 'stopped') return
    const { tasks, workers } = this.ledger
    const result = ending === 'completed' ? 'worked' : ending
    this.healthTracker.record(workers.workerIds[tasks.worker[slot]], run, this.kinds.get(tasks.kind[slot]).name, result, now)
  }

  setWorkerHealth (workerId: string, health: WorkerHealth, now: number): void {
    this.healthTracker.setHealth(workerId, health, now)
  }

  getWorkerHealth (workerId: string): WorkerHealth | undefined {
    if (this.ledger.workers.find(workerId) === NO_SLOT) return undefined
    return this.healthTracker.getHealth(workerId)
  }

  getCommitted (workerId: string): ResourceSize | undefined {
    const worker = this.ledger.workers.find(workerId)
    if (worker === NO_SLOT) return undefined
    return toResourceSize(this.ledger.workers.committed.subarray(worker * 3, worker * 3 + 3))
  }

  exportLearned (): unknown {
    return {
      sizes: this.sizeEstimator.export(),
      interference: this.interferenceModel.export(kind => this.kinds.get(kind).name),
      health: this.healthTracker.export()
    }
  }

  /** Ignores state of another form, for example of an older version; it is learned anew. */
  importLearned (learned: unknown): void {
    const checked = learnedStateSchema.safeParse(learned)
    if (!checked.success) return
    this.sizeEstimator.import(checked.data.sizes)
    this.interferenceModel.import(checked.data.interference, name => this.kinds.getByName(name).number)
    this.healthTracker.import(checked.data.health)
  }

  private isWorkerSchedulable (worker: number): boolean {
    const { workers } = this.ledger
    if (workers.listed[worker] === 0 || this.dataCentresOut.has(workers.dataCentre[worker])) return false
    return this.healthTracker.getHealth(workers.workerIds[worker]) === 'healthy'
  }

  private findNeverReason (request: PlacementRequest, declared: ResourceVector): NeverReason | undefined {
    const dataCentres = this.getDataCentres(request)
    if (dataCentres === undefined) return 'unknown-data-centre'
    const capacities = dataCentres.flatMap(dataCentre => this.ledger.workers.getKnownCapacities(dataCentre))
    if (capacities.length > 0 && !capacities.some(capacity => isWithin(declared, capacity))) return 'larger-than-every-worker'
    const quota = this.policy.getTeamQuota(request.team)
    if (quota === undefined) return 'team-without-quota'
    return isWithin(declared, toDemand(quota)) ? undefined : 'larger-than-quota'
  }

  /** Returns the data centres that a request allows, undefined when it names one that is not known. */
  private getDataCentres (request: PlacementRequest): number[] | undefined {
    const { dataCentres } = this.ledger.workers
    if (request.dataCentre === null) return Array.from({ length: dataCentres.count }, (_, number) => number)
    const number = dataCentres.getNumber(request.dataCentre)
    return number === undefined ? undefined : [number]
  }

  private isAnyDataCentreInService (request: PlacementRequest, declared: ResourceVector): boolean {
    const suitable = (this.getDataCentres(request) ?? []).filter(dataCentre =>
      this.ledger.workers.getKnownCapacities(dataCentre).some(capacity => isWithin(declared, capacity)))
    return suitable.length === 0 || suitable.some(dataCentre => !this.dataCentresOut.has(dataCentre))
  }

  private getRange (request: PlacementRequest): PositionRange {
    const { workers } = this.ledger
    if (request.dataCentre === null) return { start: 0, end: workers.slotAt.length }
    return workers.getRange(workers.dataCentres.intern(request.dataCentre))
  }

  /**
   * Returns what a task reserves. A learned size that no worker could hold is cut to the largest worker that can hold
   * the declared size, because otherwise the task could never start.
   */
  private getReservation (
    request: PlacementRequest, kind: KindRecord, declared: ResourceVector, now: number
  ): ResourceVector {
    const learned = this.sizeEstimator.getReservation(kind.name, declared, now)
    const capacities = (this.getDataCentres(request) ?? [])
      .flatMap(dataCentre => this.ledger.workers.getKnownCapacities(dataCentre))
      .filter(shape => isWithin(declared, shape))
    if (capacities.length === 0 || capacities.some(capacity => isWithin(learned, capacity))) return learned
    const largest = capacities.reduce((best, shape) => shape[1] > best[1] ? shape : best)
    return getMinimum(learned, largest)
  }

  private commit (
    request: PlacementRequest, worker: number, reserved: ResourceVector, now: number, alreadyRuns: boolean
  ): number {
    const rack = this.ledger.workers.rack[worker]
    const entry = {
      taskId: request.taskId,
      attempt: request.attempt,
      worker,
      kind: this.kinds.getByName(request.kind).number,
      team: this.teamUsage.names.intern(request.team),
      job: this.jobSpread.add(request.jobId, rack),
      rack,
      startedAt: now,
      reserved,
      charged: getMinimum(reserved, toDemand(request.size))
    }
    this.teamUsage.change(entry.team, entry.charged, 0, 1)
    return alreadyRuns ? this.ledger.restore(entry) : this.ledger.commitOrThrow(entry)
  }

  private describePlaced (slot: number): PlacementDecision {
    const { tasks, workers } = this.ledger
    const reserved = toResourceSize(tasks.reserved.subarray(slot * 3, slot * 3 + 3))
    return { kind: 'placed', workerId: workers.workerIds[tasks.worker[slot]], reserved }
  }

  /** Plans evictions anew, or repeats the victims of the last decision while they suffice: they are being evicted. */
  private planEviction (
    request: PlacementRequest, demand: Demand, range: PositionRange,
    hold: { worker: number, victims: TaskRun[] } | undefined, now: number
  ): PlacementDecision | undefined {
    let worker = hold?.worker ?? NO_SLOT
    let victims = hold?.victims ?? []
    const reusesPlan = victims.length > 0 && this.isWorkerSchedulable(worker) &&
      this.victimSelector.fitsAfterEvicting(worker, victims, demand.reserved)
    if (!reusesPlan) {
      const from = range.start + this.search.drawInteger(Math.max(1, range.end - range.start))
      const plan = this.victimSelector.select(demand.kind, demand.reserved, range, from, now)
      if (plan === undefined) return undefined
      worker = plan.worker
      victims = plan.victims.map(slot => this.ledger.tasks.getRun(slot))
    }
    this.holds.add(request, worker, demand.reserved, victims, now)
    return { kind: 'evict-first', victims: this.holds.toVictims(worker, victims) }
  }

  /** Finds a worker that the task may probe: only work that may wait and is not standing does. */
  private findWorkerToProbe (demand: Demand, range: PositionRange, now: number): number {
    const { kind, reserved } = demand
    if (kind.evictionClass !== 'ordinary') return NO_SLOT
    return this.healthTracker.listProbeable(kind.policy.mayRepeat, kind.name, now)
      .map(workerId => this.ledger.workers.find(workerId))
      .find(worker => this.isInServiceWithin(worker, range) && this.canPlace(worker, demand, reserved)) ?? NO_SLOT
  }

  private canPlace (worker: number, demand: Demand, reserved: ResourceVector): boolean {
    return this.ledger.fits(worker, reserved) && !this.search.violatesApartRule(demand.kind, worker)
  }

  private isInServiceWithin (worker: number, range: PositionRange): boolean {
    const { workers } = this.ledger
    if (worker === NO_SLOT || workers.listed[worker] === 0) return false
    const position = workers.position[worker]
    return position >= range.start && position < range.end && !this.dataCentresOut.has(workers.dataCentre[worker])
  }

  private refreshWorker (workerId: string): void {
    const worker = this.ledger.workers.find(workerId)
    if (worker !== NO_SLOT) this.ledger.refreshWorker(worker)
  }

  private findWaitReason (demand: Demand, range: PositionRange, blockedByRule: boolean): WaitReason {
    if (blockedByRule) return 'apart-rule'
    const fitsUnhealthyWorker = this.healthTracker.listUnhealthy().map(workerId => this.ledger.workers.find(workerId))
      .some(worker => this.isInServiceWithin(worker, range) && this.canPlace(worker, demand, demand.reserved))
    if (fitsUnhealthyWorker) return 'workers-unhealthy'
    return 'no-capacity'
  }
}
