import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { getTestSeed } from '../shared/testSeed.js'
import type { PolicyCheckOptions } from './checkRules.js'
import { parsePolicy, parsePolicyBytes } from './parsePolicy.js'
import { formatPolicyFault } from './PolicyFault.js'

const validPolicyText = `
# A comment of the whole file.
urgent limit-check within 800 ms    # Hanh: counters wait for the answer
may-wait dossier-draft # Binh: drafts are read the next day
never-repeat permit-submission # Binh: an authority counts each submission
may-repeat limit-check # Hanh: a check changes nothing
undisturbed discharge-watcher # Lan: a gap in the series cannot be filled
apart limit-check from dossier-draft # Hanh: drafts fill the caches
together dossier-draft with dossier-renewal # Binh: both read the same index
team permits gets 40 processors, 96.5 GB, 2 accelerators # Binh: the share of the budget
`

function listFaults (text: string, options?: PolicyCheckOptions): string[] {
  const parsed = parsePolicy(text, options)
  return parsed.kind === 'ok' ? [] : parsed.failure.map(fault => formatPolicyFault(fault, 'p'))
}

test('each form of rule is compiled to what it says', () => {
  const parsed = parsePolicy(validPolicyText)
  assert.ok(parsed.kind === 'ok')
  const policy = parsed.value
  assert.equal(policy.getKindPolicy('limit-check').withinMilliseconds, 800)
  assert.equal(policy.getKindPolicy('limit-check').mayRepeat, true)
  assert.equal(policy.getKindPolicy('permit-submission').mayRepeat, false)
  assert.equal(policy.getKindPolicy('discharge-watcher').undisturbed, true)
  assert.deepEqual([...policy.getKindPolicy('dossier-draft').apartFrom], ['limit-check'])
  assert.deepEqual([...policy.getKindPolicy('dossier-renewal').togetherWith], ['dossier-draft'])
  assert.deepEqual(policy.getTeamQuota('permits'), {
    team: 'permits', processors: 40, memoryMegabytes: 98816, accelerators: 2
  })
  assert.deepEqual(policy.rules[0].who, 'Hanh')
  assert.deepEqual(policy.rules[0].line, 3)
})

const faultCases: Array<{ name: string, text: string, options?: PolicyCheckOptions, expected: string[] }> = [
  {
    name: 'an unknown rule gets the nearest rule as a suggestion',
    text: 'urgnet a within 5 ms # x: y',
    expected: ['p:1:1: "urgnet" is not a rule; expected a rule: urgent, may-wait, may-repeat, never-repeat, undisturbed, apart, together, team; did you mean "urgent"?']
  },
  {
    name: 'a unit without a space',
    text: 'urgent a within 5ms # x: y',
    expected: ['p:1:17: "5ms" is not a number; expected a deadline in milliseconds, as in "urgent KIND within N ms"; did you mean "5 ms"?']
  },
  {
    name: 'a rule that ends too early, without a comment, gives both faults',
    text: 'apart a form b\nurgent a within',
    expected: [
      'p:1:9: found "form"; expected "from", as in "apart KIND from KIND"; did you mean "from"?',
      'p:1:15: the rule does not say who asked for it and why; expected "# who: why" after the rule',
      'p:2:16: the rule ends too early; expected a deadline in milliseconds, as in "urgent KIND within N ms"',
      'p:2:16: the rule does not say who asked for it and why; expected "# who: why" after the rule'
    ]
  },
  {
    name: 'who without why',
    text: 'may-wait a # Binh:',
    expected: ['p:1:12: the comment does not name who asked and why; expected "# who: why" after the rule']
  },
  {
    name: 'contradictions name the earlier line',
    text: 'urgent a within 5 ms # x: y\nmay-wait a # z: y\nmay-repeat a # x: y\nnever-repeat a # x: y',
    expected: [
      'p:2:1: may-wait contradicts urgent of a in line 1; expected one of the two (line 1 is of x)',
      'p:4:1: never-repeat contradicts may-repeat of a in line 3; expected one of the two (line 3 is of x)'
    ]
  },
  {
    name: 'apart and together of the same pair in either order',
    text: 'apart a from b # x: y\ntogether b with a # x: y',
    expected: ['p:2:1: together contradicts apart of b and a in line 1; expected one of the two (line 1 is of x)']
  },
  {
    name: 'two deadlines and two quotas',
    text: 'urgent a within 5 ms # x: y\nurgent a within 6 ms # x: y\n' +
      'team t gets 1 processors, 1 GB, 0 accelerators # x: y\nteam t gets 1 processor, 1 GB, 0 accelerators # x: y',
    expected: [
      'p:2:1: a second deadline of a, after line 1; expected one such rule (line 1 is of x)',
      'p:4:1: a second quota of team t, after line 3; expected one such rule (line 3 is of x)'
    ]
  },
  {
    name: 'rules that apply to nothing',
    text: 'apart a from a # x: y\nmay-wait prrof # x: y\nteam t gets 0 processors, 1 GB, 0 accelerators # x: y',
    options: { knownKinds: ['a', 'proof'] },
    expected: [
      'p:1:1: a is paired with itself; expected two different kinds',
      'p:2:1: no work is of the kind prrof; expected a submitted kind; did you mean "proof"?',
      'p:3:1: team t could never start a task; expected more than 0 processors and 0 GB'
    ]
  },
  {
    name: 'a quota beyond all workers',
    text: 'team t gets 9 processors, 1 GB, 1 accelerators # x: y',
    options: { workerCapacities: [{ processors: 8, memoryMegabytes: 4096, accelerators: 0 }] },
    expected: [
      'p:1:1: team t gets 9 processors, but all workers together have 8; expected at most 8 processors; did you mean "8"?',
      'p:1:1: team t gets 1 accelerators, but all workers together have 0; expected at most 0 accelerators; did you mean "0"?'
    ]
  },
  {
    name: 'a deadline beyond what a timer takes',
    text: 'urgent a within 99999999999 ms # x: y',
    expected: ['p:1:17: "99999999999" is not from 1 to 2147483647; expected a deadline in milliseconds, as in "urgent KIND within N ms"']
  }
]

for (const { name, text, options, expected } of faultCases) {
  test(`fault: ${name}`, () => assert.deepEqual(listFaults(text, options), expected))
}

const fragments = fastCheck.constantFrom(
  'urgent', 'may-wait', 'may-repeat', 'never-repeat', 'undisturbed', 'apart', 'together', 'team', 'within', 'from',
  'with', 'gets', 'ms', 'GB', 'processors', 'accelerators', ',', '#', ':', 'a', 'b', '5', '0.5', '\n', '\r\n', '\t',
  '\u00a0', '\ud800', '__proto__', 'constructor', ' '
)

test('any text gives a policy or faults with a place in the text', () => {
  const texts = fastCheck.oneof(
    fastCheck.array(fragments, { maxLength: 60 }).map(parts => parts.join(' ')),
    fastCheck.string({ unit: 'binary' })
  )
  fastCheck.assert(fastCheck.property(texts, text => {
    const parsed = parsePolicy(text)
    if (parsed.kind === 'ok') return
    const lines = text.split('\n')
    assert.ok(parsed.failure.length > 0)
    for (const fault of parsed.failure) {
      assert.ok(fault.column >= 1 && fault.column <= lines[fault.line - 1].length + 1, JSON.stringify(fault))
    }
  }), { seed: getTestSeed(), numRuns: 2000 })
})

test('any bytes give a policy or faults with a place, never an exception', () => {
  fastCheck.assert(fastCheck.property(fastCheck.uint8Array({ maxLength: 200 }), bytes => {
    const parsed = parsePolicyBytes(bytes)
    if (parsed.kind === 'failed') {
      assert.ok(parsed.failure.length > 0)
      for (const fault of parsed.failure) assert.ok(fault.line >= 1 && fault.column >= 1)
    }
  }), { seed: getTestSeed(), numRuns: 2000 })
})

test('bytes that are not UTF-8 are reported with their place', () => {
  const parsed = parsePolicyBytes(Uint8Array.from([0x23, 0x0a, 0x61, 0xff]))
  assert.ok(parsed.kind === 'failed')
  assert.deepEqual(parsed.failure.map(fault => formatPolicyFault(fault, 'p')), [
    'p:2:2: the text is not UTF-8; expected a file saved as UTF-8'
  ])
})
