import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import type { Violation } from '../../tools/simulation/InvariantChecker.js'
import {
  createOrderedSchedules, createSchedules, runSchedule, type FaultSchedule
} from '../../tools/simulation/faultSchedules.js'
import { getTestSeed } from '../shared/testSeed.js'
import type { SchedulerRules } from './ShardManager.js'

interface Variant {
  name: string
  rules: SchedulerRules
  /** The promise that is broken without the rule. */
  caughtBy: Violation['kind'][]
  schedules: fastCheck.Arbitrary<FaultSchedule>
}

/** Each variant leaves one rule out; a check that passes on it would prove nothing. */
const VARIANTS: Variant[] = [
  {
    name: 'journal batches do not check the fence',
    rules: { journal: { checkFence: false } },
    caughtBy: ['deposed-write'],
    schedules: createSchedules({ submit: 5, 'freeze-before-write': 3, freeze: 1 })
  },
  {
    name: 'a write without an answer counts as committed',
    rules: { journal: { readBack: false } },
    caughtBy: ['two-places', 'run-repeated', 'task-lost'],
    schedules: createSchedules({ submit: 4, 'store-lossy': 2, restart: 2 })
  },
  {
    name: 'journal batches do not check the data centre',
    rules: { journal: { checkDataCentre: false } },
    caughtBy: ['start-after-take-out'],
    schedules: createSchedules({ submit: 5, 'take-out': 2, 'cut-reads': 3 })
  },
  {
    name: 'a takeover does not check the heartbeat',
    rules: { lease: { checkHeartbeat: false } },
    caughtBy: ['two-owners'],
    schedules: createSchedules({ submit: 1, freeze: 4 })
  },
  {
    name: 'a successor waits less than the lease',
    rules: { lease: { takeoverWaitMilliseconds: 1500 } },
    caughtBy: ['two-owners'],
    schedules: createSchedules({ submit: 1, freeze: 2 })
  },
  {
    name: 'tasks restart before the lease of their worker has certainly ended',
    rules: { owner: { waitForLeaseEnd: false } },
    caughtBy: ['two-places'],
    schedules: createSchedules({ submit: 4, 'cut-worker': 3, 'worker-unreachable': 1 })
  },
  {
    name: 'a start without an answer counts as not run',
    rules: { owner: { reconcileStarts: false } },
    caughtBy: ['two-places', 'over-capacity'],
    schedules: createSchedules({ submit: 5, 'messages-lossy': 2 })
  },
  {
    name: 'a durable start is sent however late',
    rules: { owner: { limitStartProof: false } },
    caughtBy: ['start-after-take-out'],
    schedules: createOrderedSchedules([
      { kind: 'cut-reads', target: 0, milliseconds: 45_000 },
      { kind: 'cut-reads', target: 1, milliseconds: 45_000 },
      { kind: 'cut-reads', target: 2, milliseconds: 45_000 },
      { kind: 'worker-refuses', target: 0 },
      { kind: 'worker-refuses', target: 1 },
      { kind: 'submit' },
      { kind: 'take-out', target: 0, milliseconds: 45_000 },
      { kind: 'freeze', target: 0, milliseconds: 1000 },
      { kind: 'submit' }
    ])
  },
  {
    name: 'a resumed task keeps its attempt number',
    rules: { owner: { countAttempts: false } },
    caughtBy: ['run-repeated', 'task-lost'],
    schedules: createSchedules({ submit: 4, evict: 3 })
  }
]

for (const { name, rules, caughtBy, schedules } of VARIANTS) {
  test(`caught: ${name}`, async context => {
    const found: Violation[] = []
    const property = fastCheck.asyncProperty(schedules, async schedule => {
      const violations = await runSchedule(schedule, rules)
      found.push(...violations)
      return violations.length === 0
    })
    // Shrinking would only repeat what is known: the first schedule that breaks the promise is enough.
    const details = await fastCheck.check(property, { seed: getTestSeed(), numRuns: 200, endOnFailure: true })
    context.diagnostic(`${details.numRuns} schedules; ${found.map(({ kind, detail }) => `${kind}: ${detail}`).join('; ')}`)
    assert.equal(details.failed, true)
    assert.ok(caughtBy.includes(found[0].kind), `caught by ${found[0].kind}, expected ${caughtBy.join(' or ')}`)
  })
}
