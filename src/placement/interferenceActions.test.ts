import assert from 'node:assert/strict'
import { test } from 'node:test'
import snap from '@matteo.collina/snap'
import fc from 'fast-check'
import { CompiledPolicy, type PolicyRule } from '../policy/CompiledPolicy.js'
import { getTestSeed } from '../shared/testSeed.js'
import { ColocationPlacementEngine } from './ColocationPlacementEngine.js'
import type { InterferenceAction, PlacementEngine } from './PlacementEngine.js'

const matchSnapshot = snap(import.meta.url)

const origin = { who: 'test', why: 'test', line: 1 }
const rules: PolicyRule[] = [
  { ...origin, rule: 'urgent', kind: 'check', withinMilliseconds: 1000 },
  { ...origin, rule: 'undisturbed', kind: 'colour' },
  { ...origin, rule: 'team', team: 'permits', processors: 100, memoryMegabytes: 100000, accelerators: 0 }
]
const capacity = { processors: 16, memoryMegabytes: 16000, accelerators: 0 }

function createEngine (kinds: string[], processors = 2): ColocationPlacementEngine {
  const engine = ColocationPlacementEngine.create()
  engine.setPolicy(CompiledPolicy.create(rules))
  engine.setWorkers([{ workerId: 'w', dataCentre: 'south-a', rack: 'r', capacity }])
  engine.setTeamHolding('permits', { processors: 100, memoryMegabytes: 100000, accelerators: 0 })
  kinds.forEach((kind, index) => {
    const size = { processors, memoryMegabytes: 2000, accelerators: 0 }
    const request = { taskId: `${kind}-${index}`, attempt: 1, kind, team: 'permits', size, dataCentre: null, jobId: 'j' }
    assert.equal(engine.decide(request, 0).kind, 'placed')
  })
  return engine
}

function report (
  engine: PlacementEngine, kinds: string[], slowdown: number, measuredAt: number, now: number, workerTime: number
): InterferenceAction[] {
  const tasks = kinds.map((kind, index) => ({
    taskId: `${kind}-${index}`,
    attempt: 1,
    processors: 1.5 + index / 10,
    memoryMegabytes: 1500,
    slowdown: kind === 'check' ? slowdown : 1
  }))
  return engine.recordUsage('w', { measuredAt, tasks }, now, workerTime)
}

test('throttles batch tasks while they slow down an urgent task, and unthrottles them afterwards', async () => {
  const kinds = ['check', 'noisy', 'draft', 'colour']
  const engine = createEngine(kinds)
  const shares = new Map([['check-0', 1], ['noisy-1', 1], ['draft-2', 1], ['colour-3', 1]])
  const trace: unknown[] = []
  for (let second = 0; second < 240; second += 5) {
    const isNoisy = second < 120
    const slowdown = 1 + (isNoisy ? 2 * (shares.get('noisy-1') ?? 0) : 0)
    const tasks = [...shares].map(([taskId, share]) => ({
      taskId, attempt: 1, processors: 1.8 * share, memoryMegabytes: 1500, slowdown: taskId === 'check-0' ? slowdown : 1
    }))
    const now = second * 1000 + 3000
    for (const action of engine.recordUsage('w', { measuredAt: second * 1000, tasks }, now, now)) {
      trace.push({ second, slowdown, ...action })
      if (action.action !== 'move') shares.set(action.taskId, action.action === 'throttle' ? action.share : 1)
      else if (shares.delete(action.taskId)) engine.release(action)
    }
  }
  assert.deepEqual(trace, await matchSnapshot(trace))
})

const actionCases = [
  { name: 'takes no action while the slowdown is low', kinds: ['check', 'noisy'], slowdown: 1.2, expected: [] },
  { name: 'takes no action without batch tasks', kinds: ['check', 'check'], slowdown: 3, expected: [] },
  { name: 'throttles a batch task first', kinds: ['check', 'noisy'], slowdown: 3, expected: ['noisy-1 throttle'] },
  {
    name: 'throttles an ordinary task before an undisturbed one',
    kinds: ['check', 'draft', 'colour'],
    slowdown: 3,
    expected: ['draft-1 throttle']
  },
  {
    name: 'throttles an undisturbed task when it is the only batch task',
    kinds: ['check', 'colour'],
    slowdown: 3,
    expected: ['colour-1 throttle']
  }
]

for (const { name, kinds, slowdown, expected } of actionCases) {
  test(`interference action: ${name}`, () => {
    const engine = createEngine(kinds)
    const actions = [1000, 2000].flatMap(time => report(engine, kinds, slowdown, time, time, time))
    assert.deepEqual(actions.map(action => `${action.taskId} ${action.action}`), expected)
  })
}

test('throttles a task that exceeds the free processors, and moves one that exceeds the free memory', () => {
  const kinds = ['draft', 'draft', 'draft', 'draft']
  const engine = createEngine(kinds, 4)
  const reportUse = (processors: number, memoryMegabytes: number, time: number) => engine.recordUsage('w', {
    measuredAt: time, tasks: [{ taskId: 'draft-0', attempt: 1, processors, memoryMegabytes, slowdown: 1 }]
  }, time, time)
  assert.deepEqual(reportUse(8, 1000, 1000), [
    { taskId: 'draft-0', attempt: 1, action: 'throttle', workerId: 'w', share: 0.5 }
  ])
  assert.deepEqual(reportUse(4, 20000, 20_000), [{ taskId: 'draft-0', attempt: 1, action: 'move', workerId: 'w' }])
  assert.deepEqual(engine.getCommitted('w'), capacity)
})

test('moves and throttles no restored task for overuse before its worker is listed, and does so afterwards', () => {
  const engine = ColocationPlacementEngine.create()
  engine.setPolicy(CompiledPolicy.create(rules))
  const size = { processors: 2, memoryMegabytes: 2000, accelerators: 0 }
  const run = { taskId: 'draft-0', attempt: 1 }
  engine.restore({ ...run, kind: 'draft', team: 'permits', size, dataCentre: null, jobId: 'j' }, 'w', size, 0)
  const reportUse = (processors: number, memoryMegabytes: number, time: number) => engine.recordUsage('w', {
    measuredAt: time, tasks: [{ ...run, processors, memoryMegabytes, slowdown: 1 }]
  }, time, time)
  assert.deepEqual(reportUse(2, 2100, 1000), [])
  assert.deepEqual(reportUse(3, 2000, 2000), [])
  engine.setWorkers([{ workerId: 'w', dataCentre: 'south-a', rack: 'r', capacity }])
  assert.deepEqual(reportUse(3, 2100, 3000), [])
  assert.deepEqual(engine.getCommitted('w'), { processors: 3, memoryMegabytes: 2100, accelerators: 0 })
  assert.deepEqual(reportUse(3, 20_000, 4000), [{ ...run, action: 'move', workerId: 'w' }])
})

/** Checks that actions are at least 10 s apart, and that none follows a report measured before the last action. */
function checkActionSpacing (getWorkerTime: (measuredAt: number, arrivedAt: number) => number): void {
  const kinds = ['check', 'noisy', 'draft']
  const reports = fc.array(fc.record({
    gap: fc.integer({ min: 100, max: 8000 }),
    lag: fc.integer({ min: 0, max: 15_000 }),
    slowdown: fc.constantFrom(1, 1.2, 1.5, 4)
  }), { minLength: 30, maxLength: 60 })
  fc.assert(fc.property(reports, list => {
    const engine = createEngine(kinds)
    let now = 100_000
    let lastActionAt = -Infinity
    let previousMeasuredAt = 0
    for (const { gap, lag, slowdown } of list) {
      now += gap
      const measuredAt = Math.max(previousMeasuredAt + 1, now - lag)
      previousMeasuredAt = measuredAt
      const actions = report(engine, kinds, slowdown, measuredAt, now, getWorkerTime(measuredAt, now))
      assert.ok(actions.length <= 1)
      if (actions.length === 0) continue
      assert.ok(now - lastActionAt >= 10_000, `action after ${now - lastActionAt} ms`)
      assert.ok(measuredAt > lastActionAt, 'an action on a report older than the previous action')
      lastActionAt = now
    }
  }), { seed: getTestSeed(), endOnFailure: true })
}

test('spaces actions however late reports arrive', () => {
  checkActionSpacing((_measuredAt, arrivedAt) => arrivedAt)
})

test('the check of action spacing detects an engine that treats every report as current', () => {
  assert.throws(() => checkActionSpacing(measuredAt => measuredAt), /Property failed/)
})
