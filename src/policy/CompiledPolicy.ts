import type { ResourceSize } from '../workers/WorkerProtocol.js'

/** Whether a kind of work must answer or start quickly or may wait. */
export type WorkClass = 'urgent' | 'may-wait'

/** What the policy says of one kind of work. */
export interface KindPolicy {
  kind: string
  workClass: WorkClass
  /** The deadline of urgent work in milliseconds, null for work that may wait. */
  withinMilliseconds: number | null
  /** Whether the work may be repeated when its outcome is unknown; false unless a rule allows it. */
  mayRepeat: boolean
  /** Standing work that is evicted only when no other victim will do. */
  undisturbed: boolean
  /** Kinds that must not share an instance with this kind. */
  apartFrom: ReadonlySet<string>
  /** Kinds that are placed on the same instance where possible. */
  togetherWith: ReadonlySet<string>
}

/** What a team may use at one time, over all data centres. */
export interface TeamQuota extends ResourceSize {
  team: string
}

/** Who asked for a rule and why, from the comment of its line. */
export interface RuleOrigin {
  who: string
  why: string
  /** The line of the rule in the file, from 1. */
  line: number
}

/** One rule of the policy file. */
export type PolicyRule = RuleOrigin & (
  | { rule: 'urgent', kind: string, withinMilliseconds: number }
  | { rule: 'may-wait', kind: string }
  | { rule: 'may-repeat', kind: string }
  | { rule: 'never-repeat', kind: string }
  | { rule: 'undisturbed', kind: string }
  | { rule: 'apart', kind: string, otherKind: string }
  | { rule: 'together', kind: string, otherKind: string }
  | { rule: 'team', team: string, processors: number, memoryMegabytes: number, accelerators: number }
)

/** The policy in a form that decisions look up in constant time. */
export class CompiledPolicy {
  private constructor (
    readonly rules: readonly PolicyRule[],
    private readonly kinds: ReadonlyMap<string, KindPolicy>,
    private readonly quotas: ReadonlyMap<string, TeamQuota>
  ) {}

  /**
   * Compiles checked rules.
   * @param rules The rules, free of contradictions.
   * @returns The policy.
   */
  static create (rules: readonly PolicyRule[]): CompiledPolicy {
    const kinds = new Map<string, KindPolicy>()
    const quotas = new Map<string, TeamQuota>()
    for (const rule of rules) {
      if (rule.rule === 'team') {
        const { team, processors, memoryMegabytes, accelerators } = rule
        quotas.set(team, { team, processors, memoryMegabytes, accelerators })
      } else {
        applyRule(kinds, rule)
      }
    }
    return new CompiledPolicy(rules, kinds, quotas)
  }

  /**
   * Looks up a kind of work; a kind without rules may wait and must not be repeated.
   * @param kind The kind of work.
   * @returns What the policy says of it.
   */
  getKindPolicy (kind: string): KindPolicy {
    return this.kinds.get(kind) ?? createDefaultKindPolicy(kind)
  }

  /**
   * Looks up the quota of a team.
   * @param team The team.
   * @returns The quota, or undefined when the policy names none; such a team may not start work.
   */
  getTeamQuota (team: string): TeamQuota | undefined {
    return this.quotas.get(team)
  }

  /**
   * Lists the quotas of all teams.
   * @returns The quotas in the order of the file.
   */
  getTeamQuotas (): TeamQuota[] {
    return [...this.quotas.values()]
  }
}

type KindRule = Exclude<PolicyRule, { rule: 'team' }>

/** Updates the kind in place: nobody else has it before the policy is complete, and copies cost most of the time. */
function applyRule (kinds: Map<string, KindPolicy>, rule: KindRule): void {
  const policy = getOrAddKind(kinds, rule.kind)
  switch (rule.rule) {
    case 'urgent':
      policy.workClass = 'urgent'
      policy.withinMilliseconds = rule.withinMilliseconds
      break
    case 'may-wait':
      policy.workClass = 'may-wait'
      policy.withinMilliseconds = null
      break
    case 'may-repeat':
      policy.mayRepeat = true
      break
    case 'never-repeat':
      policy.mayRepeat = false
      break
    case 'undisturbed':
      policy.undisturbed = true
      break
    case 'apart':
      addRelatedKind(policy.apartFrom, rule.otherKind)
      addRelatedKind(getOrAddKind(kinds, rule.otherKind).apartFrom, rule.kind)
      break
    case 'together':
      addRelatedKind(policy.togetherWith, rule.otherKind)
      addRelatedKind(getOrAddKind(kinds, rule.otherKind).togetherWith, rule.kind)
      break
  }
}

function getOrAddKind (kinds: Map<string, KindPolicy>, kind: string): KindPolicy {
  const existing = kinds.get(kind)
  if (existing !== undefined) return existing
  const policy = createDefaultKindPolicy(kind)
  kinds.set(kind, policy)
  return policy
}

function addRelatedKind (related: ReadonlySet<string>, kind: string): void {
  const set = related as Set<string>
  set.add(kind)
}

function createDefaultKindPolicy (kind: string): KindPolicy {
  return {
    kind,
    workClass: 'may-wait',
    withinMilliseconds: null,
    mayRepeat: false,
    undisturbed: false,
    apartFrom: new Set(),
    togetherWith: new Set()
  }
}
