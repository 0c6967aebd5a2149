import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { getTestSeed } from '../shared/testSeed.js'
import type { WorkerHealth } from './PlacementEngine.js'
import { WorkerHealthTracker } from './WorkerHealthTracker.js'

type Step =
  | [event: 'worked' | 'failed' | 'refused', workerId: string, kind: string]
  | [event: 'wait', milliseconds: number]
  | [event: 'probe', workerId: string]
  | [event: 'probe worked' | 'probe failed', workerId: string, kind: string]
  | [event: 'operator', workerId: string, health: WorkerHealth]

const run = { taskId: 'task', attempt: 1 }
const probe = { taskId: 'probe', attempt: 1 }
const kindsWorkElsewhere: Step[] = [['worked', 'other', 'draft'], ['worked', 'other', 'proof']]
const threeFailuresOfTwoKinds: Step[] = [['failed', 'w', 'draft'], ['failed', 'w', 'proof'], ['failed', 'w', 'draft']]
const quarantined: Step[] = [...kindsWorkElsewhere, ...threeFailuresOfTwoKinds]

const cases: { name: string, steps: Step[], expected: WorkerHealth }[] = [
  { name: 'two failures are too few', steps: [...kindsWorkElsewhere, ...threeFailuresOfTwoKinds.slice(0, 2)], expected: 'healthy' },
  { name: 'three failures of two kinds that work elsewhere quarantine', steps: quarantined, expected: 'quarantined' },
  {
    name: 'failures of one kind do not quarantine',
    steps: [...kindsWorkElsewhere, ['failed', 'w', 'draft'], ['failed', 'w', 'draft'], ['failed', 'w', 'draft']],
    expected: 'healthy'
  },
  {
    name: 'failures more than a minute apart do not quarantine',
    steps: [...kindsWorkElsewhere, ...threeFailuresOfTwoKinds.slice(0, 2), ['wait', 60_000], ['failed', 'w', 'draft']],
    expected: 'healthy'
  },
  { name: 'two kinds that never worked are too weak', steps: threeFailuresOfTwoKinds, expected: 'healthy' },
  {
    name: 'three kinds that never worked quarantine',
    steps: [...threeFailuresOfTwoKinds, ['failed', 'w', 'check']],
    expected: 'quarantined'
  },
  {
    name: 'kinds that fail on many workers do not quarantine',
    steps: [
      ...['a', 'b', 'c'].flatMap((other): Step[] => [['failed', other, 'draft'], ['failed', other, 'proof']]),
      ...threeFailuresOfTwoKinds, ['failed', 'w', 'proof']
    ],
    expected: 'healthy'
  },
  {
    name: 'refused starts of two kinds quarantine',
    steps: [['refused', 'w', 'draft'], ['refused', 'w', 'proof'], ['refused', 'w', 'draft']],
    expected: 'quarantined'
  },
  {
    name: 'a kind that works on the worker clears its failures',
    steps: [...kindsWorkElsewhere, ...threeFailuresOfTwoKinds.slice(0, 2), ['worked', 'w', 'draft'], ['failed', 'w', 'draft']],
    expected: 'healthy'
  },
  { name: 'a rested worker is probed', steps: [...quarantined, ['wait', 30_000]], expected: 'probing' },
  {
    name: 'a probe that works brings the worker back',
    steps: [...quarantined, ['wait', 30_000], ['probe', 'w'], ['probe worked', 'w', 'draft']],
    expected: 'healthy'
  },
  {
    name: 'a probe that fails quarantines again',
    steps: [...quarantined, ['wait', 30_000], ['probe', 'w'], ['probe failed', 'w', 'draft']],
    expected: 'quarantined'
  },
  {
    name: 'a failed probe doubles the rest',
    steps: [...quarantined, ['wait', 30_000], ['probe', 'w'], ['probe failed', 'w', 'draft'], ['wait', 59_000]],
    expected: 'quarantined'
  },
  {
    name: 'a probe of a bad kind proves nothing',
    steps: [
      ...quarantined, ['wait', 30_000], ['probe', 'w'],
      ['failed', 'a', 'bad'], ['failed', 'b', 'bad'], ['failed', 'c', 'bad'], ['probe failed', 'w', 'bad']
    ],
    expected: 'probing'
  },
  {
    name: 'an operator\'s quarantine stays',
    steps: [['operator', 'w', 'quarantined'], ['wait', 3_600_000]],
    expected: 'quarantined'
  },
  {
    name: 'an operator releases a worker',
    steps: [['operator', 'w', 'quarantined'], ['operator', 'w', 'healthy']],
    expected: 'healthy'
  }
]

for (const { name, steps, expected } of cases) {
  test(`health: ${name}`, () => {
    const tracker = WorkerHealthTracker.create({ onChange: () => {} })
    let now = 0
    for (const step of steps) {
      if (step[0] === 'wait') now += step[1]
      else if (step[0] === 'probe') tracker.startProbe(step[1], probe, now)
      else if (step[0] === 'operator') tracker.setHealth(step[1], step[2], now)
      else if (step[0] === 'probe worked') tracker.record(step[1], probe, step[2], 'worked', now)
      else if (step[0] === 'probe failed') tracker.record(step[1], probe, step[2], 'failed', now)
      else tracker.record(step[1], run, step[2], step[0], now)
      tracker.advance(now)
    }
    assert.equal(tracker.getHealth('w'), expected)
  })
}

/** On ten workers one or two fail everything, and one or two kinds fail everywhere; endings come in random order. */
function checkQuarantinedWorkers (failure: 'failed' | 'refused'): void {
  const endings = fc.array(fc.tuple(fc.nat(9), fc.nat(5)), { minLength: 400, maxLength: 400 })
  const oneOrTwo = fc.integer({ min: 1, max: 2 })
  fc.assert(fc.property(oneOrTwo, oneOrTwo, endings, (workers, kinds, list) => {
    const tracker = WorkerHealthTracker.create({ onChange: () => {} })
    const everQuarantined = new Set<number>()
    const isHealthy = (worker: number): boolean => tracker.getHealth(`w${worker}`) === 'healthy'
    // Good kinds first, so that they have worked somewhere before a bad worker is seen.
    for (let worker = 2; worker < 10; worker++) {
      for (let kind = 2; kind < 6; kind++) tracker.record(`w${worker}`, run, `kind-${kind}`, 'worked', 0)
    }
    list.forEach(([worker, kind], index) => {
      if (!isHealthy(worker)) return
      const failed = worker < workers || kind < kinds
      tracker.record(`w${worker}`, run, `kind-${kind}`, failed ? failure : 'worked', index * 20)
      if (!isHealthy(worker)) everQuarantined.add(worker)
    })
    const expected = workers === 2 ? [0, 1] : [0]
    assert.deepEqual([...everQuarantined].sort(), expected)
  }), { seed: getTestSeed(), endOnFailure: true })
}

test('bad workers are quarantined, and bad kinds quarantine no worker', () => {
  checkQuarantinedWorkers('failed')
})

test('the check of blame catches a tracker that holds every failure against the worker', () => {
  assert.throws(() => checkQuarantinedWorkers('refused'), /Property failed/)
})
