import type { CompiledPolicy, KindPolicy, TeamQuota } from './CompiledPolicy.js'
import { listKinds } from './explainKind.js'
import { formatQuota, formatRule } from './formatRule.js'

/** One effect of a change of the policy. */
export interface PolicyEffect {
  /** What it is about: a kind or a team. */
  subject: string
  before: string
  after: string
  /** What operators will see after the change. */
  consequence: string
}

/** The difference between two policies. */
export interface PolicyDifference {
  effects: PolicyEffect[]
  /** Rules whose who or why changed, or which say what holds by default: nothing is decided differently. */
  withoutEffect: string[]
}

/**
 * Compares what two policies decide, not their texts.
 * @param before The policy in force.
 * @param after The policy to come.
 * @returns The effects, sorted by subject, and the changed rules that have none.
 */
export function diffPolicies (before: CompiledPolicy, after: CompiledPolicy): PolicyDifference {
  const kinds = [...new Set([...listKinds(before), ...listKinds(after)])].sort()
  const kindEffects = kinds.flatMap(kind => diffKind(before.getKindPolicy(kind), after.getKindPolicy(kind)))
  const quotas = [before, after].map(policy => policy.getTeamQuotas().map(quota => quota.team))
  const teams = [...new Set(quotas.flat())].sort()
  const teamEffects = teams.flatMap(team => diffQuota(team, before.getTeamQuota(team), after.getTeamQuota(team)))
  const effects = [...kindEffects, ...teamEffects]
  return { effects, withoutEffect: listChangesWithoutEffect(before, after, effects) }
}

/**
 * Formats a difference as text.
 * @param difference The difference.
 * @returns One line for each effect and its consequence.
 */
export function formatPolicyDifference (difference: PolicyDifference): string {
  if (difference.effects.length === 0 && difference.withoutEffect.length === 0) return 'The policies are the same.'
  const effects = difference.effects.flatMap(effect => [
    `${effect.subject}: ${effect.before} -> ${effect.after}`, `  ${effect.consequence}`
  ])
  const rest = difference.withoutEffect.map(text => `no effect: ${text}`)
  return [...effects, ...rest].join('\n')
}

function diffKind (before: KindPolicy, after: KindPolicy): PolicyEffect[] {
  const effects: PolicyEffect[] = []
  const add = (first: string, second: string, consequence: string): void => {
    if (first !== second) effects.push({ subject: before.kind, before: first, after: second, consequence })
  }
  add(describeClass(before), describeClass(after), describeClassChange(before, after))
  add(describeRepeat(before), describeRepeat(after), after.mayRepeat
    ? 'requests with an unknown outcome will be sent again; be sure that a second run does no harm'
    : 'callers will be told "unknown" instead of getting a second try')
  add(describeUndisturbed(before), describeUndisturbed(after), after.undisturbed
    ? 'its running tasks will be the last to be evicted'
    : 'its running tasks can be evicted as any others')
  add(describeRelatedKinds('apart from', before.apartFrom), describeRelatedKinds('apart from', after.apartFrom),
    'running tasks stay where they are; the next placements follow the new rule')
  add(describeRelatedKinds('together with', before.togetherWith), describeRelatedKinds('together with', after.togetherWith),
    'running tasks stay where they are; the next placements prefer the new neighbours')
  return effects
}

function diffQuota (team: string, before: TeamQuota | undefined, after: TeamQuota | undefined): PolicyEffect[] {
  const describe = (quota: TeamQuota | undefined): string => quota === undefined ? 'no quota' : formatQuota(quota)
  if (describe(before) === describe(after)) return []
  const isReduced = before !== undefined && after !== undefined && (after.processors < before.processors ||
    after.memoryMegabytes < before.memoryMegabytes || after.accelerators < before.accelerators)
  const consequence = after === undefined
    ? 'its running tasks go on, and it may start no others'
    : isReduced
      ? 'its running tasks go on, and none start until it uses less than the new quota'
      : 'it may start more tasks at once'
  return [{ subject: `team ${team}`, before: describe(before), after: describe(after), consequence }]
}

function listChangesWithoutEffect (
  before: CompiledPolicy,
  after: CompiledPolicy,
  effects: readonly PolicyEffect[]
): string[] {
  const rulesBefore = new Map(before.rules.map(rule => [formatRule(rule), rule]))
  const rulesAfter = new Map(after.rules.map(rule => [formatRule(rule), rule]))
  const subjects = new Set(effects.map(effect => effect.subject))
  const descriptions: string[] = []
  for (const [text, rule] of rulesAfter) {
    const previousRule = rulesBefore.get(text)
    if (previousRule === undefined) {
      if (rule.rule !== 'team' && !subjects.has(rule.kind)) descriptions.push(`${text} is new but holds by default`)
    } else if (previousRule.who !== rule.who || previousRule.why !== rule.why) {
      descriptions.push(`${text} now has the reason "${rule.who}: ${rule.why}"`)
    }
  }
  for (const [text, rule] of rulesBefore) {
    if (rulesAfter.has(text) || rule.rule === 'team' || subjects.has(rule.kind)) continue
    descriptions.push(`${text} is gone but still holds by default`)
  }
  return descriptions
}

function describeClass (policy: KindPolicy): string {
  return policy.workClass === 'urgent' ? `urgent within ${policy.withinMilliseconds} ms` : 'may wait'
}

function describeClassChange (before: KindPolicy, after: KindPolicy): string {
  if (after.workClass === 'may-wait') return 'its work loses its precedence and can be evicted for urgent work'
  if (before.workClass === 'may-wait') return 'its work takes precedence and evicts work that may wait'
  return after.withinMilliseconds! < before.withinMilliseconds!
    ? 'its work is given up sooner and is hedged earlier'
    : 'its work is waited for longer'
}

function describeRepeat (policy: KindPolicy): string {
  return policy.mayRepeat ? 'may be repeated' : 'is not repeated'
}

function describeUndisturbed (policy: KindPolicy): string {
  return policy.undisturbed ? 'undisturbed' : 'may be moved'
}

function describeRelatedKinds (relation: string, names: ReadonlySet<string>): string {
  return names.size === 0 ? `${relation} nothing` : `${relation} ${[...names].sort().join(', ')}`
}
