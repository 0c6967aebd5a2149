import type { ResourceSize } from '../workers/WorkerProtocol.js'
import type { PolicyRule } from './CompiledPolicy.js'
import type { PolicyFault, PolicyFaultKind } from './PolicyFault.js'
import { suggestClosest } from './parseRule.js'

/** A rule with its place. */
export interface LocatedRule {
  rule: PolicyRule
  column: number
}

/** What is known of the deployment; both are optional, as a file can be checked without it. */
export interface PolicyCheckOptions {
  /** The capacity of each worker. */
  workerCapacities?: readonly ResourceSize[]
  /** All kinds of work that callers submit. */
  knownKinds?: readonly string[]
}

type RuleName = PolicyRule['rule']

/** Rules of which a kind can have only one. */
const EXCLUSIVE_RULES: Partial<Record<RuleName, RuleName>> = {
  urgent: 'may-wait',
  'may-wait': 'urgent',
  'may-repeat': 'never-repeat',
  'never-repeat': 'may-repeat',
  apart: 'together',
  together: 'apart'
}

/**
 * Checks rules against each other and against the deployment.
 * @param rules The rules in the order of the file.
 * @param options What is known of the deployment.
 * @returns Every fault, in the order of the file.
 */
export function checkRules (rules: readonly LocatedRule[], options: PolicyCheckOptions = {}): PolicyFault[] {
  const rulesByName = new Map<RuleName, Map<string, PolicyRule>>()
  const knownKinds = options.knownKinds === undefined ? null : new Set(options.knownKinds)
  const total = options.workerCapacities === undefined ? null : sumCapacities(options.workerCapacities)
  const faults: PolicyFault[] = []
  for (const located of rules) {
    const { rule } = located
    const subjectKey = getSubjectKey(rule)
    const earlierBySubject = rulesByName.get(rule.rule) ?? new Map<string, PolicyRule>()
    rulesByName.set(rule.rule, earlierBySubject)
    const exclusiveName = EXCLUSIVE_RULES[rule.rule]
    const contradictedRule = exclusiveName === undefined ? undefined : rulesByName.get(exclusiveName)?.get(subjectKey)
    const duplicatedRule = earlierBySubject.get(subjectKey)
    if (contradictedRule !== undefined) faults.push(createContradictionFault(located, contradictedRule))
    if (duplicatedRule !== undefined) faults.push(createDuplicateFault(located, duplicatedRule))
    else earlierBySubject.set(subjectKey, rule)
    if (mayNeverMatch(rule, knownKinds)) faults.push(...findNeverMatchingFaults(located, knownKinds))
    if (rule.rule === 'team' && total !== null) faults.push(...findUnsatisfiableFaults(located, rule, total))
  }
  return faults
}

/** Names what a rule is about; the order of a pair does not matter. */
function getSubjectKey (rule: PolicyRule): string {
  if (rule.rule === 'team') return rule.team
  if (!('otherKind' in rule)) return rule.kind
  return rule.kind < rule.otherKind ? `${rule.kind} ${rule.otherKind}` : `${rule.otherKind} ${rule.kind}`
}

function describeSubject (rule: PolicyRule): string {
  if (rule.rule === 'team') return `team ${rule.team}`
  return 'otherKind' in rule ? `${rule.kind} and ${rule.otherKind}` : rule.kind
}

function createContradictionFault (located: LocatedRule, contradicted: PolicyRule): PolicyFault {
  const subject = describeSubject(located.rule)
  const problem = `${located.rule.rule} contradicts ${contradicted.rule} of ${subject} in line ${contradicted.line}`
  return createFault('contradiction', located, problem, `one of the two (line ${contradicted.line} is of ${contradicted.who})`)
}

function createDuplicateFault (located: LocatedRule, earlier: PolicyRule): PolicyFault {
  const { rule } = located
  const isDifferentValue = (rule.rule === 'urgent' && earlier.rule === 'urgent' &&
    rule.withinMilliseconds !== earlier.withinMilliseconds) || rule.rule === 'team'
  const problem = isDifferentValue
    ? `a second ${rule.rule === 'team' ? 'quota' : 'deadline'} of ${describeSubject(rule)}, after line ${earlier.line}`
    : `${rule.rule} of ${describeSubject(rule)} is in line ${earlier.line} already`
  return createFault('contradiction', located, problem, `one such rule (line ${earlier.line} is of ${earlier.who})`)
}

/** Decides without allocation for the great majority of rules, which have no such fault. */
function mayNeverMatch (rule: PolicyRule, knownKinds: ReadonlySet<string> | null): boolean {
  if (rule.rule === 'team') return rule.processors === 0 || rule.memoryMegabytes === 0
  return knownKinds !== null || ('otherKind' in rule && rule.kind === rule.otherKind)
}

function findNeverMatchingFaults (located: LocatedRule, knownKinds: ReadonlySet<string> | null): PolicyFault[] {
  const { rule } = located
  if (rule.rule === 'team') {
    const problem = `team ${rule.team} could never start a task`
    return [createFault('never-matches', located, problem, 'more than 0 processors and 0 GB')]
  }
  if ('otherKind' in rule && rule.kind === rule.otherKind) {
    return [createFault('never-matches', located, `${rule.kind} is paired with itself`, 'two different kinds')]
  }
  if (knownKinds === null) return []
  const kinds = 'otherKind' in rule ? [rule.kind, rule.otherKind] : [rule.kind]
  return kinds.filter(kind => !knownKinds.has(kind)).map(kind => {
    const suggestion = suggestClosest(kind, [...knownKinds])
    return createFault('never-matches', located, `no work is of the kind ${kind}`, 'a submitted kind', suggestion)
  })
}

function findUnsatisfiableFaults (
  located: LocatedRule,
  rule: PolicyRule & { rule: 'team' },
  total: ResourceSize
): PolicyFault[] {
  const resources: Array<[string, number, number]> = [
    ['processors', rule.processors, total.processors],
    ['MB of memory', rule.memoryMegabytes, total.memoryMegabytes],
    ['accelerators', rule.accelerators, total.accelerators]
  ]
  const exceeded = resources.filter(([, asked, available]) => asked > available)
  return exceeded.map(([resource, asked, available]) => createFault(
    'unsatisfiable',
    located,
    `team ${rule.team} gets ${asked} ${resource}, but all workers together have ${available}`,
    `at most ${available} ${resource}`,
    String(available)
  ))
}

function sumCapacities (capacities: readonly ResourceSize[]): ResourceSize {
  const total = { processors: 0, memoryMegabytes: 0, accelerators: 0 }
  for (const { processors, memoryMegabytes, accelerators } of capacities) {
    total.processors += processors
    total.memoryMegabytes += memoryMegabytes
    total.accelerators += accelerators
  }
  return total
}

function createFault (
  kind: PolicyFaultKind,
  located: LocatedRule,
  problem: string,
  expected: string,
  suggestion: string | null = null
): PolicyFault {
  return { kind, line: located.rule.line, column: located.column, problem, expected, suggestion }
}
