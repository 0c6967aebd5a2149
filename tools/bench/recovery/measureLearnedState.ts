import { ColocationPlacementEngine } from '../../../src/placement/ColocationPlacementEngine.js'
import { CompiledPolicy } from '../../../src/policy/CompiledPolicy.js'
import { createRandom } from '../../../stand-ins/shared/createRandom.js'
import type { Figure } from '../Figure.js'

const KINDS = 300
const TASKS_PER_KIND = 5
/** The number of kinds that report usage between two snapshots; the learned state of the others does not change. */
const ACTIVE_KINDS = 30
const SNAPSHOTS = 50
/** The incremental form writes the full state once in this many parts, which bounds the parts that recovery reads. */
const PARTS_PER_FULL_SNAPSHOT = 10
const REPORT_INTERVAL_MILLISECONDS = 5000
const DECLARED_SIZE = { processors: 4, memoryMegabytes: 8000, accelerators: 0 }
const UNLIMITED_SIZE = { processors: 1e6, memoryMegabytes: 1e9, accelerators: 0 }

type LearnedState = Record<string, Record<string, unknown>>

/**
 * Compares three ways to keep learned state across a restart: in full in each snapshot, as increments, or not at all.
 * @param seed The seed of the reported usage.
 * @returns The figures; `naive` is the incremental form, or an empty state for the time after a restart.
 */
export function measureLearnedState (seed: number): Figure[] {
  const random = createRandom(seed)
  const engine = createEngine()
  let now = 0
  const reportRounds = (kinds: number[], rounds: number) => {
    for (let index = 0; index < rounds; index++) {
      now += REPORT_INTERVAL_MILLISECONDS
      reportUsage(engine, kinds, now, random)
    }
  }
  reportRounds(Array.from({ length: KINDS }, (_, kind) => kind), 24)
  const bytes = { full: 0, incremental: 0 }
  let previous = engine.exportLearned() as LearnedState
  for (let snapshot = 0; snapshot < SNAPSHOTS; snapshot++) {
    const first = Math.floor(random() * (KINDS - ACTIVE_KINDS))
    reportRounds(Array.from({ length: ACTIVE_KINDS }, (_, index) => first + index), 8)
    const learned = engine.exportLearned() as LearnedState
    const fullBytes = Buffer.byteLength(JSON.stringify(learned))
    bytes.full += fullBytes
    bytes.incremental += snapshot % PARTS_PER_FULL_SNAPSHOT === 0 ? fullBytes : countChangedBytes(previous, learned)
    previous = learned
  }
  const text = JSON.stringify(previous)
  const restored = createEngine()
  const startedAt = performance.now()
  restored.importLearned(JSON.parse(text))
  const importMilliseconds = performance.now() - startedAt
  return [
    createFigure('learned_bytes_per_snapshot', bytes.full / SNAPSHOTS, 'bytes whole; naive: only what changed',
      bytes.incremental / SNAPSHOTS),
    createFigure('learned_writes_per_snapshot', 0, 'writes beyond the snapshot; naive: one part each', 1),
    createFigure('learned_reads_at_recovery', 0, 'reads beyond the snapshot; naive: the parts, at worst', PARTS_PER_FULL_SNAPSHOT),
    createFigure('learned_import_time', importMilliseconds, 'ms of processor time', null),
    createFigure('learned_time_after_restart', 0, 's until learned sizes are used; naive: empty start',
      measureEmptyStart(random) / 1000)
  ]
}

function createFigure (name: string, value: number, unit: string, naive: number | null): Figure {
  return { figure: name, value: Math.round(value * 100) / 100, unit, naive, target: 'the smaller is kept' }
}

function createEngine (): ColocationPlacementEngine {
  const engine = ColocationPlacementEngine.create()
  engine.setPolicy(CompiledPolicy.create([{ rule: 'team', team: 'team', ...UNLIMITED_SIZE, who: 'bench', why: 'bench', line: 1 }]))
  engine.setTeamHolding('team', UNLIMITED_SIZE)
  engine.setWorkers([{ workerId: 'w', dataCentre: 'dc', rack: 'r', capacity: UNLIMITED_SIZE }])
  for (let kind = 0; kind < KINDS; kind++) {
    for (let task = 0; task < TASKS_PER_KIND; task++) engine.restore(createRequest(kind, task), 'w', DECLARED_SIZE, 0)
  }
  return engine
}

function createRequest (kind: number, task: number) {
  const taskId = `${kind}-${task}`
  return { taskId, attempt: 1, kind: `kind-${kind}`, team: 'team', size: DECLARED_SIZE, dataCentre: null, jobId: `${kind}` }
}

function reportUsage (engine: ColocationPlacementEngine, kinds: number[], now: number, random: () => number): void {
  const tasks = kinds.flatMap(kind => Array.from({ length: TASKS_PER_KIND }, (_, task) => ({
    taskId: `${kind}-${task}`,
    attempt: 1,
    processors: 1 + (kind % 10) / 10 + random() / 2,
    memoryMegabytes: 2000 + kind + 500 * random(),
    slowdown: 1
  })))
  engine.recordUsage('w', { measuredAt: now, tasks }, now)
}

/** Counts the bytes of the entries that differ from those of the previous snapshot. */
function countChangedBytes (before: LearnedState, after: LearnedState): number {
  const changed: LearnedState = {}
  for (const [part, entries] of Object.entries(after)) {
    changed[part] = Object.fromEntries(Object.entries(entries).filter(([name, entry]) =>
      JSON.stringify(before[part]?.[name]) !== JSON.stringify(entry)))
  }
  return Buffer.byteLength(JSON.stringify(changed))
}

/** Returns how long, from an empty state, the tasks of a kind that runs continuously reserve their declared size. */
function measureEmptyStart (random: () => number): number {
  const engine = createEngine()
  for (let now = REPORT_INTERVAL_MILLISECONDS; now < 3_600_000; now += REPORT_INTERVAL_MILLISECONDS) {
    reportUsage(engine, [0], now, random)
    const decision = engine.decide({ ...createRequest(0, 0), taskId: `probe-${now}` }, now)
    if (decision.kind === 'placed' && decision.reserved.processors < DECLARED_SIZE.processors) return now
  }
  return Infinity
}
