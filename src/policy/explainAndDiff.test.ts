import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { getTestSeed } from '../shared/testSeed.js'
import type { CompiledPolicy } from './CompiledPolicy.js'
import { diffPolicies, formatPolicyDifference } from './diffPolicies.js'
import { explainKind, formatKindExplanation, listKinds } from './explainKind.js'
import { formatRule } from './formatRule.js'
import { parsePolicy, parsePolicyBytes } from './parsePolicy.js'

function parse (text: string): CompiledPolicy {
  const parsed = parsePolicy(text)
  assert.ok(parsed.kind === 'ok', JSON.stringify(parsed))
  return parsed.value
}

const deployments = [
  {
    file: 'thuan-phat',
    worker: { processors: 16, memoryMegabytes: 60 * 1024, accelerators: 0 },
    workers: 33,
    kinds: ['discharge-watcher', 'dossier-draft', 'dossier-renewal', 'limit-check', 'permit-submission']
  },
  {
    file: 'growthmark',
    worker: { processors: 32, memoryMegabytes: 125 * 1024, accelerators: 0 },
    workers: 45,
    kinds: ['chart-order', 'colour-match', 'print-run', 'proof']
  }
]

for (const { file, worker, workers, kinds } of deployments) {
  test(`examples/${file}.policy has no faults for its deployment and names every kind`, () => {
    const bytes = readFileSync(new URL(`../../../examples/${file}.policy`, import.meta.url))
    const workerCapacities = Array.from({ length: workers }, () => worker)
    const parsed = parsePolicyBytes(bytes, { workerCapacities, knownKinds: kinds })
    assert.ok(parsed.kind === 'ok', JSON.stringify(parsed))
    assert.deepEqual(listKinds(parsed.value.policy), kinds)
    const processors = parsed.value.policy.getTeamQuotas().reduce((sum, quota) => sum + quota.processors, 0)
    assert.ok(processors * 100 <= 85 * workers * worker.processors, `${processors} processors`)
  })
}

test('an explanation lists the rules of a kind in the order in which they apply, then the defaults', () => {
  const policy = parse('apart a from b # x: noise\nmay-wait c # x: y\nurgent a within 5 ms # z: counter')
  assert.deepEqual(formatKindExplanation(explainKind(policy, 'a')).split('\n'), [
    'a',
    '1. urgent a within 5 ms (line 3, z: counter)',
    '   so its work is placed before all work that may wait, evicts such work if necessary, and is answered or started within 5 ms',
    '2. apart a from b (line 1, x: noise)',
    '   so no instance runs it together with b',
    'By default it is not repeated.',
    'By default it may be moved.'
  ])
  assert.match(formatKindExplanation(explainKind(policy, 'd')), /No rule names this kind/)
})

const diffCases = [
  {
    name: 'rules in a different order are the same policy',
    before: 'may-wait a # x: y\nmay-wait b # x: y',
    after: 'may-wait b # x: y\n\nmay-wait a # x: y',
    expected: 'The policies are the same.'
  },
  {
    name: 'a rule that states the default has no effect',
    before: '',
    after: 'may-wait a # x: y',
    expected: 'no effect: may-wait a is new but holds by default'
  },
  {
    name: 'a class, a deadline and a quota change',
    before: 'urgent a within 5 ms # x: y\nteam t gets 4 processors, 8 GB, 0 accelerators # x: y',
    after: 'urgent b within 5 ms # x: y\nteam t gets 4 processors, 4 GB, 1 accelerators # x: y',
    expected: [
      'a: urgent within 5 ms -> may wait',
      '  its work loses its precedence and can be evicted for urgent work',
      'b: may wait -> urgent within 5 ms',
      '  its work takes precedence and evicts work that may wait',
      'team t: 4 processors, 8 GB, 0 accelerators -> 4 processors, 4 GB, 1 accelerators',
      '  its running tasks go on, and none start until it uses less than the new quota'
    ].join('\n')
  },
  {
    name: 'a changed reason has no effect',
    before: 'may-repeat a # x: y',
    after: 'may-repeat a # z: w',
    expected: 'no effect: may-repeat a now has the reason "z: w"'
  }
]

for (const { name, before, after, expected } of diffCases) {
  test(`diff: ${name}`, () => assert.equal(formatPolicyDifference(diffPolicies(parse(before), parse(after))), expected))
}

const kinds = fastCheck.constantFrom('a', 'b', 'c', 'd')
const rules = fastCheck.oneof(
  fastCheck.tuple(kinds, fastCheck.integer({ min: 1, max: 9 })).map(([kind, number]) => `urgent ${kind} within ${number} ms`),
  fastCheck.tuple(fastCheck.constantFrom('may-wait', 'may-repeat', 'never-repeat', 'undisturbed'), kinds)
    .map(([rule, kind]) => `${rule} ${kind}`),
  fastCheck.tuple(kinds, kinds).map(([kind, other]) => `apart ${kind} from ${other}`),
  fastCheck.tuple(kinds, fastCheck.integer({ min: 1, max: 9 }))
    .map(([team, number]) => `team ${team} gets ${number} processors, ${number / 2} GB, 0 accelerators`)
)
const policies = fastCheck.array(rules, { maxLength: 8 })
  .map(lines => lines.map(line => `${line} # x: y`).join('\n'))
  .map(text => parsePolicy(text))
  .filter(parsed => parsed.kind === 'ok')
  .map(parsed => parsed.value)

test('a difference has no effects exactly when all kind policies and team quotas are equal', () => {
  fastCheck.assert(fastCheck.property(policies, policies, (before, after) => {
    const same = ['a', 'b', 'c', 'd'].every(name =>
      serializeWithSortedSets(before.getKindPolicy(name)) === serializeWithSortedSets(after.getKindPolicy(name)) &&
      JSON.stringify(before.getTeamQuota(name)) === JSON.stringify(after.getTeamQuota(name)))
    assert.equal(diffPolicies(before, after).effects.length === 0, same)
  }), { seed: getTestSeed(), numRuns: 2000 })
})

test('formatting and parsing a rule returns the same rule', () => {
  fastCheck.assert(fastCheck.property(policies, policy => {
    const reparsed = parse(policy.rules.map(rule => `${formatRule(rule)} # ${rule.who}: ${rule.why}`).join('\n'))
    assert.deepEqual(reparsed.rules, policy.rules)
  }), { seed: getTestSeed(), numRuns: 500 })
})

function serializeWithSortedSets (value: unknown): string {
  return JSON.stringify(value, (_name, part) => part instanceof Set ? [...part].sort() : part)
}
