import type { CompiledPolicy, KindPolicy, PolicyRule } from './CompiledPolicy.js'
import { formatRule, getKindsOfRule } from './formatRule.js'

/** A rule that applies to a kind, with what follows from it. */
export interface AppliedRule {
  line: number
  rule: string
  who: string
  why: string
  follows: string
}

/** Why a kind of work is treated as it is. */
export interface KindExplanation {
  kind: string
  /** The rules in the order in which they apply: what it is first, then repetition, then neighbours. */
  rules: AppliedRule[]
  /** What holds although no rule says it. */
  defaults: string[]
}

/** The order in which decisions look at the rules of a kind. */
const RULE_ORDER: ReadonlyArray<PolicyRule['rule']> =
  ['urgent', 'may-wait', 'undisturbed', 'never-repeat', 'may-repeat', 'apart', 'together']

/**
 * Explains how a kind of work is treated.
 * @param policy The policy.
 * @param kind The kind of work.
 * @returns The rules that apply, in which order, and what follows.
 */
export function explainKind (policy: CompiledPolicy, kind: string): KindExplanation {
  const rules = policy.rules
    .filter(rule => getKindsOfRule(rule).includes(kind))
    .sort((left, right) => RULE_ORDER.indexOf(left.rule) - RULE_ORDER.indexOf(right.rule) || left.line - right.line)
  return {
    kind,
    rules: rules.map(rule => ({
      line: rule.line, rule: formatRule(rule), who: rule.who, why: rule.why, follows: describeEffect(rule, kind)
    })),
    defaults: listDefaults(policy.getKindPolicy(kind), new Set(rules.map(rule => rule.rule)))
  }
}

/**
 * Lists the kinds that a policy names.
 * @param policy The policy.
 * @returns The kinds in alphabetical order.
 */
export function listKinds (policy: CompiledPolicy): string[] {
  return [...new Set(policy.rules.flatMap(getKindsOfRule))].sort()
}

/**
 * Formats an explanation as text.
 * @param explanation The explanation.
 * @returns One line for each rule with its reason and effect, then the defaults.
 */
export function formatKindExplanation (explanation: KindExplanation): string {
  const rules = explanation.rules.flatMap((applied, position) => [
    `${position + 1}. ${applied.rule} (line ${applied.line}, ${applied.who}: ${applied.why})`,
    `   so ${applied.follows}`
  ])
  const none = rules.length === 0 ? ['No rule names this kind.'] : []
  const defaults = explanation.defaults.map(text => `By default ${text}.`)
  return [explanation.kind, ...rules, ...none, ...defaults].join('\n')
}

function describeEffect (rule: PolicyRule, kind: string): string {
  switch (rule.rule) {
    case 'urgent':
      return `its work is placed before all work that may wait, which is evicted for it if need be, and is answered or started within ${rule.withinMilliseconds} ms`
    case 'may-wait':
      return 'its work starts when there is room and is evicted, with a checkpoint, when urgent work needs the room'
    case 'may-repeat':
      return 'a request is sent again when its outcome is unknown'
    case 'never-repeat':
      return 'a request is sent at most once, and the caller is told "unknown" when its outcome is'
    case 'undisturbed':
      return 'its tasks are evicted or moved only when no other victim will do'
    case 'apart':
      return `no instance runs it together with ${getOtherKind(rule, kind)}`
    case 'together':
      return `it is placed beside ${getOtherKind(rule, kind)} where there is room`
    case 'team':
      return `the team uses at most ${formatRule(rule)} at one time`
  }
}

function getOtherKind (rule: { kind: string, otherKind: string }, kind: string): string {
  return rule.kind === kind ? rule.otherKind : rule.kind
}

function listDefaults (policy: KindPolicy, statedRules: ReadonlySet<PolicyRule['rule']>): string[] {
  const defaults: string[] = []
  if (!statedRules.has('urgent') && !statedRules.has('may-wait')) defaults.push('it may wait')
  if (!statedRules.has('may-repeat') && !statedRules.has('never-repeat')) defaults.push('it is not repeated')
  if (!policy.undisturbed) defaults.push('it may be moved')
  if (policy.apartFrom.size === 0) defaults.push('it may share an instance with any kind')
  return defaults
}
