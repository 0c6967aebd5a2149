import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { CompiledPolicy, type PolicyRule } from '../policy/CompiledPolicy.js'
import { getTestSeed } from '../shared/testSeed.js'
import type { ResourceSize } from '../workers/WorkerProtocol.js'
import { ColocationPlacementEngine } from './ColocationPlacementEngine.js'
import type { PlacementDecision, PlacementEngine, PlacementRequest, WorkerDescription } from './PlacementEngine.js'
import { toDemand, toResourceSize } from './resourceVector.js'
import { SizeEstimator } from './SizeEstimator.js'

const HOLD_MILLISECONDS = 10_000
const KINDS = ['check', 'draft', 'noisy', 'colour']
const TEAMS = ['permits', 'press', 'nobody']
const DATA_CENTRES = ['east', 'west', 'moon']

const origin = { who: 'test', why: 'test', line: 1 }
const rules: PolicyRule[] = [
  { ...origin, rule: 'urgent', kind: 'check', withinMilliseconds: 1000 },
  { ...origin, rule: 'undisturbed', kind: 'colour' },
  { ...origin, rule: 'apart', kind: 'noisy', otherKind: 'colour' },
  { ...origin, rule: 'apart', kind: 'noisy', otherKind: 'check' },
  { ...origin, rule: 'team', team: 'permits', processors: 12, memoryMegabytes: 12000, accelerators: 2 },
  { ...origin, rule: 'team', team: 'press', processors: 6, memoryMegabytes: 8000, accelerators: 0 }
]

const workers: WorkerDescription[] = Array.from({ length: 6 }, (_, index) => ({
  workerId: `worker-${index}`,
  dataCentre: index < 3 ? 'east' : 'west',
  rack: `rack-${index % 2}`,
  capacity: { processors: index === 5 ? 8 : 4, memoryMegabytes: 4000, accelerators: index === 0 ? 1 : 0 }
}))

interface Commitment {
  request: PlacementRequest
  workerId: string
  reserved: ResourceSize
  startedAt: number
}

interface Hold {
  request: PlacementRequest
  workerId: string
  reserved: ResourceSize
  victims: Commitment[]
  expiresAt: number
}

type Operation =
  | { kind: 'decide', work: string, team: string, size: ResourceSize, dataCentre: string | null }
  | { kind: 'again', pick: number }
  | { kind: 'release', pick: number }
  | { kind: 'restore', work: string, pick: number, size: ResourceSize }
  | { kind: 'usage', pick: number, share: number }
  | { kind: 'data-centre', pick: number, out: boolean }
  | { kind: 'health', pick: number, healthy: boolean }
  | { kind: 'workers', pick: number }
  | { kind: 'holding', team: string, processors: number }
  | { kind: 'advance', milliseconds: number }

const DIMENSIONS = ['processors', 'memoryMegabytes', 'accelerators'] as const

function sum (sizes: ResourceSize[]): ResourceSize {
  const total = sizes.map(toDemand).reduce(
    (left, right) => [left[0] + right[0], left[1] + right[1], left[2] + right[2]], [0, 0, 0] as const
  )
  return toResourceSize(total)
}

function fits (sizes: ResourceSize[], limit: ResourceSize): boolean {
  const total = sum(sizes)
  return DIMENSIONS.every(dimension => total[dimension] <= limit[dimension])
}

function getMinimum (left: ResourceSize, right: ResourceSize): ResourceSize {
  return {
    processors: Math.min(left.processors, right.processors),
    memoryMegabytes: Math.min(left.memoryMegabytes, right.memoryMegabytes),
    accelerators: Math.min(left.accelerators, right.accelerators)
  }
}

/** Recomputes the expected decision from plain lists for each operation, and compares it with that of the engine. */
class ReferenceModel {
  policy = CompiledPolicy.create(rules)
  commitments: Commitment[] = []
  waiting: PlacementRequest[] = []
  holds: Hold[] = []
  listed = workers
  dataCentresOut = new Set<string>()
  unhealthy = new Set<string>()
  holdings = new Map<string, ResourceSize>()
  sizes = SizeEstimator.create()
  reported = new Set<string>()
  throttled = new Set<string>()
  reportCount = 0
  now = 0
  taskCount = 0
  seenDecisions = new Set<string>()

  constructor (readonly engine: PlacementEngine) {
    engine.setPolicy(this.policy)
    engine.setWorkers(workers)
    for (const team of TEAMS) this.setHolding(team, 6)
  }

  setHolding (team: string, processors: number): void {
    const holding = { processors, memoryMegabytes: 8000, accelerators: 1 }
    this.holdings.set(team, holding)
    this.engine.setTeamHolding(team, holding)
  }

  commitmentsOn (workerId: string): Commitment[] {
    return this.commitments.filter(commitment => commitment.workerId === workerId)
  }

  listHeldSizes (workerId: string): ResourceSize[] {
    return this.holds.filter(hold => hold.workerId === workerId).map(hold => hold.reserved)
  }

  isSchedulable (worker: WorkerDescription): boolean {
    return !this.dataCentresOut.has(worker.dataCentre) && !this.unhealthy.has(worker.workerId)
  }

  violatesApartRule (kind: string, others: Commitment[]): boolean {
    return others.some(other => this.policy.getKindPolicy(kind).apartFrom.has(other.request.kind))
  }

  hasFreeCapacity (worker: WorkerDescription, reserved: ResourceSize, evicted: Commitment[] = []): boolean {
    const remaining = this.commitmentsOn(worker.workerId).filter(commitment => !evicted.includes(commitment))
    return fits([...remaining.map(commitment => commitment.reserved), ...this.listHeldSizes(worker.workerId), reserved],
      worker.capacity)
  }

  getReserved (request: PlacementRequest): ResourceSize {
    const learned = toResourceSize(this.sizes.getReservation(request.kind, toDemand(request.size), this.now))
    const capacities = workers
      .filter(worker => request.dataCentre === null || worker.dataCentre === request.dataCentre)
      .filter(worker => fits([request.size], worker.capacity)).map(worker => worker.capacity)
    if (capacities.length === 0 || capacities.some(capacity => fits([learned], capacity))) return learned
    return getMinimum(
      learned, capacities.reduce((best, capacity) => capacity.memoryMegabytes > best.memoryMegabytes ? capacity : best))
  }

  getExpectedDecision (request: PlacementRequest): string {
    const allowed = workers.filter(worker => request.dataCentre === null || worker.dataCentre === request.dataCentre)
    if (allowed.length === 0) return 'never unknown-data-centre'
    const suitable = allowed.filter(worker => fits([request.size], worker.capacity))
    if (suitable.length === 0) return 'never larger-than-every-worker'
    const quota = this.policy.getTeamQuota(request.team)
    if (quota === undefined) return 'never team-without-quota'
    if (!fits([request.size], quota)) return 'never larger-than-quota'
    if (suitable.every(worker => this.dataCentresOut.has(worker.dataCentre))) return 'wait data-centre-out'
    const reserved = this.getReserved(request)
    const charge = getMinimum(reserved, request.size)
    const charges = this.commitments.filter(other => other.request.team === request.team)
      .map(other => getMinimum(other.reserved, other.request.size))
    const total = sum([...charges, charge])
    const holding = this.holdings.get(request.team) ?? { processors: 0, memoryMegabytes: 0, accelerators: 0 }
    if (DIMENSIONS.some(dimension => charge[dimension] > 0 && total[dimension] > holding[dimension])) {
      return 'wait team-quota'
    }
    const allowedAndListed = this.listed.filter(worker => allowed.includes(worker))
    const withFreeCapacity = allowedAndListed.filter(
      worker => this.isSchedulable(worker) && this.hasFreeCapacity(worker, reserved))
    if (withFreeCapacity.some(worker => !this.violatesApartRule(
      request.kind, this.commitmentsOn(worker.workerId)))) return 'placed'
    if (this.policy.getKindPolicy(request.kind).workClass === 'urgent') {
      for (const includeUndisturbed of [false, true]) {
        if (allowedAndListed.some(worker => this.canEvict(
          worker, request.kind, reserved, includeUndisturbed))) return `evict ${includeUndisturbed}`
      }
    }
    if (withFreeCapacity.length > 0) return 'wait apart-rule'
    const unhealthy = allowedAndListed.filter(worker => this.unhealthy.has(worker.workerId) &&
      !this.dataCentresOut.has(worker.dataCentre) &&
      fits([...this.commitmentsOn(worker.workerId).map(other => other.reserved), reserved], worker.capacity))
    if (unhealthy.some(worker => !this.violatesApartRule(
      request.kind, this.commitmentsOn(worker.workerId)))) return 'wait workers-unhealthy'
    return 'wait no-capacity'
  }

  canEvict (worker: WorkerDescription, kind: string, reserved: ResourceSize, includeUndisturbed: boolean): boolean {
    const victims = this.commitmentsOn(worker.workerId).filter(other => this.mayEvict(other, includeUndisturbed))
    return this.isSchedulable(worker) && !this.violatesApartRule(kind, this.commitmentsOn(worker.workerId)) &&
      this.hasFreeCapacity(worker, reserved, victims)
  }

  mayEvict (commitment: Commitment, includeUndisturbed: boolean): boolean {
    const policy = this.policy.getKindPolicy(commitment.request.kind)
    return policy.workClass === 'may-wait' && (includeUndisturbed || !policy.undisturbed)
  }

  /** Returns the victims of the previous decision if evicting them still suffices; the engine must repeat them. */
  getReusableVictims (hold: Hold, request: PlacementRequest): Commitment[] {
    const worker = this.listed.find(other => other.workerId === hold.workerId)
    const victims = hold.victims.filter(victim => this.commitments.includes(victim))
    if (worker === undefined || !this.isSchedulable(worker)) return []
    return this.hasFreeCapacity(worker, this.getReserved(request), victims) ? victims : []
  }

  decide (request: PlacementRequest): void {
    this.holds = this.holds.filter(hold => hold.expiresAt > this.now)
    const hold = this.holds.find(other => other.request.taskId === request.taskId)
    this.holds = this.holds.filter(other => other !== hold)
    const expected = this.getExpectedDecision(request)
    if (hold !== undefined && expected.startsWith('evict')) {
      const kept = this.getReusableVictims(hold, request)
      if (kept.length > 0) return this.checkReusedPlan({ ...hold, victims: kept, reserved: this.getReserved(request) })
    }
    const decision = this.engine.decide(request, this.now)
    this.waiting = this.waiting.filter(other => other.taskId !== request.taskId)
    if (decision.kind !== 'placed') this.waiting.push(request)
    assert.equal(this.describe(decision), expected)
    this.seenDecisions.add(expected)
    if (decision.kind === 'placed') this.checkPlaced(request, decision)
    if (decision.kind === 'evict-first') this.checkVictims(request, decision.victims)
  }

  checkReusedPlan (hold: Hold): void {
    const decision = this.engine.decide(hold.request, this.now)
    const reported = decision.kind === 'evict-first' ? decision.victims.map(victim => victim.taskId) : decision
    assert.deepEqual(reported, hold.victims.map(victim => victim.request.taskId))
    this.seenDecisions.add('evict again')
    this.holds.push({ ...hold, expiresAt: this.now + HOLD_MILLISECONDS })
  }

  describe (decision: PlacementDecision): string {
    if (decision.kind === 'placed') return 'placed'
    if (decision.kind !== 'evict-first') return `${decision.kind} ${decision.reason}`
    const kinds = decision.victims.map(victim =>
      this.commitments.find(other => other.request.taskId === victim.taskId)?.request.kind)
    return `evict ${kinds.includes('colour')}`
  }

  checkPlaced (request: PlacementRequest, placed: { workerId: string, reserved: ResourceSize }): void {
    const worker = this.listed.find(other => other.workerId === placed.workerId)
    assert.ok(worker !== undefined && this.isSchedulable(worker))
    assert.ok(request.dataCentre === null || worker.dataCentre === request.dataCentre)
    assert.ok(this.hasFreeCapacity(worker, placed.reserved) &&
      !this.violatesApartRule(request.kind, this.commitmentsOn(worker.workerId)))
    assert.deepEqual(placed.reserved, this.getReserved(request))
    this.commitments.push({ request, workerId: worker.workerId, reserved: placed.reserved, startedAt: this.now })
  }

  checkVictims (request: PlacementRequest, reported: { taskId: string, workerId: string }[]): void {
    const victims = reported.map(victim => this.commitments.find(other => other.request.taskId === victim.taskId))
    const worker = workers.find(other => other.workerId === reported[0].workerId)
    const reserved = this.getReserved(request)
    assert.ok(worker !== undefined && this.isSchedulable(worker))
    const known = victims as Commitment[]
    assert.ok(victims.every(victim => victim?.workerId === worker.workerId && this.mayEvict(victim, true)))
    if (this.holds.length === 0) {
      assert.ok(this.hasFreeCapacity(worker, reserved, known))
      for (const omitted of known) {
        assert.ok(!this.hasFreeCapacity(worker, reserved, known.filter(other => other !== omitted)),
          'a victim is evicted unnecessarily')
      }
    }
    this.holds.push({
      request, workerId: worker.workerId, reserved, victims: known, expiresAt: this.now + HOLD_MILLISECONDS
    })
  }

  checkCommitted (): void {
    for (const worker of workers) {
      const committed = this.engine.getCommitted(worker.workerId)
      if (committed === undefined) continue
      assert.deepEqual(committed, sum(this.commitmentsOn(worker.workerId).map(other => other.reserved)))
    }
  }

  recordUsage (commitment: Commitment, share: number): void {
    const { request, workerId } = commitment
    const worker = workers.find(other => other.workerId === workerId)
    const used = {
      processors: Math.round(request.size.processors * share * 1000) / 1000,
      memoryMegabytes: Math.round(request.size.memoryMegabytes * share)
    }
    const isFirst = !this.reported.has(request.taskId)
    const isThrottled = this.throttled.has(request.taskId)
    if (!isThrottled) this.sizes.record(request.kind, toDemand({ ...used, accelerators: 0 }), isFirst, this.now)
    this.reported.add(request.taskId)
    const { taskId, attempt } = request
    const tasks = [{ taskId, attempt, ...used, slowdown: 1 }]
    for (const action of this.engine.recordUsage(workerId, { measuredAt: ++this.reportCount, tasks }, this.now)) {
      if (action.action === 'throttle') this.throttled.add(action.taskId)
      else this.throttled.delete(action.taskId)
    }
    const committed = sum(this.commitmentsOn(workerId).map(other => other.reserved))
    const reserved = { ...commitment.reserved }
    for (const dimension of ['processors', 'memoryMegabytes'] as const) {
      const freeCapacity = toDemand({ ...committed, [dimension]: worker!.capacity[dimension] - committed[dimension] })
      const limit = reserved[dimension] + toResourceSize(freeCapacity)[dimension]
      reserved[dimension] = Math.max(reserved[dimension], Math.min(used[dimension], limit))
    }
    commitment.reserved = toResourceSize(toDemand(reserved))
  }

  run (operation: Operation): void {
    switch (operation.kind) {
      case 'decide': {
        const { work, team, size, dataCentre } = operation
        const taskId = `task-${this.taskCount++}`
        this.decide({ taskId, attempt: 1, kind: work, team, size, dataCentre, jobId: `job-${work}` })
        break
      }
      case 'again':
        if (this.waiting.length === 0) return
        this.decide(this.waiting.at(-1 - operation.pick % Math.min(3, this.waiting.length))!)
        break
      case 'release': {
        if (this.commitments.length === 0) return
        const [released] = this.commitments.splice(operation.pick % this.commitments.length, 1)
        this.engine.release(released.request)
        break
      }
      case 'restore': {
        const worker = this.listed[operation.pick % this.listed.length]
        const taskId = `task-${this.taskCount++}`
        const { work, size } = operation
        const place = { team: 'press', dataCentre: null, jobId: 'restored' }
        const request = { taskId, attempt: 1, kind: work, size, ...place }
        this.engine.restore(request, worker.workerId, operation.size, this.now)
        this.commitments.push({ request, workerId: worker.workerId, reserved: operation.size, startedAt: this.now })
        break
      }
      case 'usage':
        if (this.commitments.length > 0) {
          this.recordUsage(this.commitments[operation.pick % this.commitments.length], operation.share)
        }
        break
      case 'data-centre': {
        const dataCentre = DATA_CENTRES[operation.pick % 2]
        if (operation.out) this.dataCentresOut.add(dataCentre)
        else this.dataCentresOut.delete(dataCentre)
        this.engine.setDataCentreState(dataCentre, operation.out ? 'out' : 'in-service')
        break
      }
      case 'health': {
        const { workerId } = workers[operation.pick % workers.length]
        if (operation.healthy) this.unhealthy.delete(workerId)
        else this.unhealthy.add(workerId)
        this.engine.setWorkerHealth(workerId, operation.healthy ? 'healthy' : 'quarantined', this.now)
        break
      }
      case 'workers':
        this.listed = workers.filter((_, index) => index !== operation.pick)
        this.engine.setWorkers(this.listed)
        break
      case 'holding':
        this.setHolding(operation.team, operation.processors)
        break
      case 'advance':
        this.now += operation.milliseconds
        break
    }
    this.checkCommitted()
  }
}

const sizes = fc.record({
  processors: fc.constantFrom(0.1, 0.3, 1, 1.5, 2, 4, 7, 9, 13),
  memoryMegabytes: fc.constantFrom(0, 100, 1000, 2500, 4000, 4001),
  accelerators: fc.constantFrom(0, 0, 0, 0, 1, 3)
})
const small = fc.record({
  processors: fc.constantFrom(0.5, 1, 1.5, 2),
  memoryMegabytes: fc.constantFrom(100, 500, 1000),
  accelerators: fc.constantFrom(0, 0, 0, 0, 1)
})
const pick = fc.nat(1000)
const work = fc.constantFrom(...KINDS)
const decide = (size: fc.Arbitrary<ResourceSize>): fc.Arbitrary<Operation> => fc.record({
  kind: fc.constant('decide' as const),
  work,
  team: fc.constantFrom('permits', 'permits', ...TEAMS),
  size,
  dataCentre: fc.constantFrom(null, null, null, ...DATA_CENTRES)
})
const operations: fc.Arbitrary<Operation[]> = fc.array(fc.oneof(
  { weight: 30, arbitrary: decide(small) },
  { weight: 5, arbitrary: decide(sizes) },
  { weight: 14, arbitrary: fc.record({ kind: fc.constant('again' as const), pick }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('release' as const), pick }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('restore' as const), work, pick, size: small }) },
  {
    weight: 10,
    arbitrary: fc.record({ kind: fc.constant('usage' as const), pick, share: fc.constantFrom(0.1, 0.5, 1.7) })
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('data-centre' as const), pick, out: fc.boolean() }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('health' as const), pick, healthy: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('workers' as const), pick: fc.nat(8) }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('holding' as const), team: fc.constantFrom(...TEAMS), processors: fc.constantFrom(2, 6, 100)
    })
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('advance' as const), milliseconds: fc.constantFrom(100, 5000) }) }
), { minLength: 20, maxLength: 120, size: 'max' })

/** Runs generated operations against an engine; throws when a decision differs from the reference model. */
function checkDecisions (
  createEngine: () => PlacementEngine, numRuns: number, endOnFailure = false
): Set<string> {
  const seen = new Set<string>()
  fc.assert(fc.property(operations, list => {
    const model = new ReferenceModel(createEngine())
    for (const operation of list) model.run(operation)
    for (const expected of model.seenDecisions) seen.add(expected)
  }), { seed: getTestSeed(), numRuns, endOnFailure, includeErrorInReport: true })
  return seen
}

/** A search ends with the first difference, so that a high bound costs time only when it fails. */
const MAXIMUM_SEARCH_RUNS = 5000

/** Each variant withholds one kind of information from the engine, to simulate an engine that ignores it. */
const brokenVariants: Record<string, (engine: ColocationPlacementEngine) => void> = {
  'that ignores capacity': engine => {
    const setWorkers = engine.setWorkers.bind(engine)
    engine.setWorkers = list => setWorkers(list.map(worker => ({
      ...worker, capacity: { ...worker.capacity, memoryMegabytes: worker.capacity.memoryMegabytes + 1 }
    })))
  },
  'that ignores apart rules': engine => {
    const setPolicy = engine.setPolicy.bind(engine)
    engine.setPolicy = policy => setPolicy(CompiledPolicy.create(policy.rules.filter(rule => rule.rule !== 'apart')))
  },
  'that evicts undisturbed tasks like ordinary tasks': engine => {
    const setPolicy = engine.setPolicy.bind(engine)
    engine.setPolicy = policy => {
      setPolicy(CompiledPolicy.create(policy.rules.filter(rule => rule.rule !== 'undisturbed')))
    }
  },
  'that ignores data centre states': engine => { engine.setDataCentreState = () => {} },
  'that ignores holdings': engine => {
    const setTeamHolding = engine.setTeamHolding.bind(engine)
    engine.setTeamHolding = team =>
      setTeamHolding(team, { processors: 1000, memoryMegabytes: 1000000, accelerators: 1000 })
  },
  'that ignores health': engine => { engine.setWorkerHealth = () => {} },
  'that ignores releases': engine => { engine.release = () => {} },
  'that ignores restored commitments': engine => { engine.restore = () => {} },
  'that ignores usage': engine => { engine.recordUsage = () => [] },
  'that keeps removed workers': engine => {
    const setWorkers = engine.setWorkers.bind(engine)
    engine.setWorkers = () => setWorkers(workers)
  }
}

test('every decision agrees with the reference model', () => {
  const seen = checkDecisions(() => ColocationPlacementEngine.create(), 600)
  assert.deepEqual([...seen].sort(), [
    'evict again', 'evict false', 'evict true', 'never larger-than-every-worker', 'never larger-than-quota', 'never team-without-quota',
    'never unknown-data-centre', 'placed', 'wait apart-rule', 'wait data-centre-out', 'wait no-capacity',
    'wait team-quota', 'wait workers-unhealthy'
  ])
})

for (const [name, breakEngine] of Object.entries(brokenVariants)) {
  test(`the reference model detects an engine ${name}`, () => {
    assert.throws(() => checkDecisions(() => {
      const engine = ColocationPlacementEngine.create()
      breakEngine(engine)
      return engine
    }, MAXIMUM_SEARCH_RUNS, true), /Property failed/)
  })
}
