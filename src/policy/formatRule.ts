import type { PolicyRule } from './CompiledPolicy.js'

/**
 * Formats a rule in the syntax of the policy file, without its comment.
 * @param rule The rule.
 * @returns The text of the rule.
 */
export function formatRule (rule: PolicyRule): string {
  switch (rule.rule) {
    case 'urgent': return `urgent ${rule.kind} within ${rule.withinMilliseconds} ms`
    case 'apart': return `apart ${rule.kind} from ${rule.otherKind}`
    case 'together': return `together ${rule.kind} with ${rule.otherKind}`
    case 'team': return `team ${rule.team} gets ${formatQuota(rule)}`
    default: return `${rule.rule} ${rule.kind}`
  }
}

/**
 * Formats a quota in the syntax of the policy file.
 * @param quota The quota.
 * @returns For example `4 processors, 16 GB, 0 accelerators`.
 */
export function formatQuota (quota: { processors: number, memoryMegabytes: number, accelerators: number }): string {
  return `${quota.processors} processors, ${quota.memoryMegabytes / 1024} GB, ${quota.accelerators} accelerators`
}

/**
 * Lists the kinds that a rule names.
 * @param rule The rule.
 * @returns One kind, two for a pair, none for a team.
 */
export function getKindsOfRule (rule: PolicyRule): string[] {
  if (rule.rule === 'team') return []
  return 'otherKind' in rule ? [rule.kind, rule.otherKind] : [rule.kind]
}
