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
  /** The invariants of which the first violation found must be one. */
  caughtBy: Violation['kind'][]
  /** Consequences of the same fault; a schedule that shows only these does not end the search. */
  otherConsequences?: Violation['kind'][]
  schedules: fastCheck.Arbitrary<FaultSchedule>
}

/** A search ends with the first schedule that shows the violation, so a high bound costs time only when it fails. */
const MAXIMUM_SCHEDULES = 5000

/** Variants of the scheduler with one safety rule switched off, whose violations the invariant checker must detect. */
const VARIANTS: Variant[] = [
  {
    name: 'journal batches do not check the fence',
    rules: { journal: { checkFence: false } },
    caughtBy: ['deposed-write'],
    schedules: createSchedules({ submit: 5, 'freeze-before-write': 3, freeze: 1 })
  },
  {
    name: 'a write without a response counts as committed',
    rules: { journal: { readBack: false } },
    caughtBy: ['two-places', 'run-repeated', 'task-lost'],
    // A run that was never journalled may end before a successor starts the task again.
    otherConsequences: ['completed-twice'],
    schedules: createSchedules({ submit: 4, 'store-lossy': 2, restart: 2 })
  },
  {
    name: 'journal batches do not check the data centre',
    rules: { journal: { checkDataCentre: false } },
    caughtBy: ['start-after-take-out'],
    // Tasks wait in the shard when its owner loses its reads, and start as others end after the take-out.
    schedules: createOrderedSchedules([
      { kind: 'submit', count: 4, processors: 3 },
      { kind: 'submit', count: 4, processors: 3 },
      { kind: 'submit', count: 4, processors: 3 },
      { kind: 'cut-reads', target: 0, milliseconds: 45_000 },
      { kind: 'cut-reads', target: 1, milliseconds: 45_000 },
      { kind: 'cut-reads', target: 2, milliseconds: 45_000 },
      { kind: 'take-out', milliseconds: 45_000 },
      { kind: 'submit' },
      { kind: 'submit' },
      { kind: 'submit' },
      { kind: 'submit' }
    ])
  },
  {
    name: 'a takeover does not check the heartbeat',
    rules: { lease: { checkHeartbeat: false } },
    caughtBy: ['two-owners'],
    schedules: createSchedules({ freeze: 1 }, 20)
  },
  {
    name: 'a successor waits for less than the lease duration',
    rules: { lease: { takeoverWaitMilliseconds: 1500 } },
    caughtBy: ['two-owners'],
    schedules: createSchedules({ submit: 1, freeze: 2 })
  },
  {
    name: 'tasks restart before the lease of their worker has expired',
    rules: { owner: { waitForLeaseEnd: false } },
    caughtBy: ['two-places'],
    // The earlier run may end before the next one starts, and until then uses capacity that counts as free.
    otherConsequences: ['completed-twice', 'over-capacity'],
    schedules: createSchedules({ submit: 4, 'cut-worker': 3, 'worker-unreachable': 1 })
  },
  {
    name: 'a start without a response counts as not run',
    rules: { owner: { reconcileStarts: false } },
    caughtBy: ['two-places', 'over-capacity'],
    // The run that counts as not run may end before the next attempt starts.
    otherConsequences: ['completed-twice'],
    schedules: createSchedules({ submit: 5, 'messages-lossy': 2 })
  },
  {
    name: 'a journalled start is sent regardless of its age',
    rules: { owner: { limitStartProof: false } },
    caughtBy: ['start-after-take-out'],
    // Workers refuse connections from before the start is journalled until some seconds after the take-out.
    schedules: createOrderedSchedules([
      { kind: 'worker-refuses', target: 0, milliseconds: 15_000 },
      { kind: 'worker-refuses', target: 1, milliseconds: 15_000 },
      { kind: 'submit' },
      { kind: 'submit' },
      { kind: 'cut-reads', target: 0, milliseconds: 45_000 },
      { kind: 'cut-reads', target: 1, milliseconds: 45_000 },
      { kind: 'cut-reads', target: 2, milliseconds: 45_000 },
      { kind: 'take-out', target: 0, milliseconds: 45_000 },
      { kind: 'submit' },
      { kind: 'submit' },
      { kind: 'submit' },
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

for (const { name, rules, caughtBy, otherConsequences = [], schedules } of VARIANTS) {
  test(`invariant violation detected: ${name}`, async context => {
    const found: Violation[] = []
    const property = fastCheck.asyncProperty(schedules, async schedule => {
      const violations = await runSchedule(schedule, rules)
      found.push(...violations.filter(({ kind }) => !otherConsequences.includes(kind)))
      return found.length === 0
    })
    // The first failing schedule is sufficient proof, so the test does not shrink it.
    const details = await fastCheck.check(property, {
      seed: getTestSeed(), numRuns: MAXIMUM_SCHEDULES, endOnFailure: true
    })
    context.diagnostic(`${details.numRuns} schedules; ${found.map(({ kind, detail }) => `${kind}: ${detail}`).join('; ')}`)
    assert.equal(details.failed, true)
    assert.ok(caughtBy.includes(found[0].kind), `caught by ${found[0].kind}, expected ${caughtBy.join(' or ')}`)
  })
}
