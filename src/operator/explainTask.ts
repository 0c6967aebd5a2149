import type { AuditRecord } from '../audit/AuditRecord.js'
import type { Configuration } from '../configuration/Configuration.js'
import { explainKind, formatKindExplanation, type KindExplanation } from '../policy/explainKind.js'
import { formatQuota } from '../policy/formatRule.js'
import type { NeverReason, WaitReason } from '../placement/PlacementEngine.js'
import type { TaskReport, TaskState } from '../scheduler/SchedulerApi.js'
import { compileStoredPolicy } from './compileStoredPolicy.js'

/** Why a task is where it is. */
export interface TaskExplanation {
  taskId: string
  state: TaskState
  /** Why it waits, runs where it runs, or was moved; one sentence each. */
  because: string[]
  /** What an operator can do about it, if anything. */
  next: string | null
  /** The rules of its kind; null when the configuration could not be read. */
  kind: KindExplanation | null
}

const REASON_DESCRIPTIONS: Record<WaitReason | NeverReason, { because: string, next: string | null }> = {
  'no-capacity': { because: 'no worker has room for it', next: 'see the room with "papayamoor worker list"' },
  'team-quota': { because: 'its team uses all of its quota', next: 'wait for other tasks of the team, or change the quota in the policy' },
  'apart-rule': { because: 'each worker with room runs a kind that it must be apart from', next: null },
  'data-centre-out': { because: 'the data centre that it asks for is out of service', next: 'bring the data centre back, or submit without it' },
  'workers-unhealthy': { because: 'each worker with room is quarantined or probed', next: 'see why with "papayamoor worker list --unhealthy"' },
  'larger-than-every-worker': { because: 'it is larger than every worker, so it can never run', next: 'cancel it and submit a smaller one' },
  'larger-than-quota': { because: 'it is larger than the quota of its team, so it can never run', next: 'cancel it, or raise the quota in the policy' },
  'team-without-quota': { because: 'the policy gives its team no quota, so it can never run', next: 'add a team rule to the policy' },
  'unknown-data-centre': { because: 'the data centre that it asks for does not exist, so it can never run', next: 'cancel it and submit it with the right name' }
}

/** What is said of a move whose reason the scheduler did not keep. */
const UNRECORDED_MOVE_REASON = 'the reason was not kept, and no change of an operator explains it; urgent work needed the ' +
  'room, or the worker failed or was overloaded'

/** How long before a move the change of an operator may have caused it, in milliseconds. */
export const CAUSE_WINDOW_MILLISECONDS = 120_000

/**
 * Describes why a task waits or was not run.
 * @param reason The reason as a scheduler gives it.
 * @returns What it means and what to do about it, or null when it is not one of the known reasons.
 */
export function describeReason (reason: string): { because: string, next: string | null } | null {
  return Object.hasOwn(REASON_DESCRIPTIONS, reason) ? REASON_DESCRIPTIONS[reason as WaitReason | NeverReason] : null
}

/**
 * Explains a task from its report and the configuration in force.
 * @param task The report.
 * @param configuration The configuration, null when it could not be read.
 * @param changes What operators changed, in the order of the versions.
 * @returns The explanation.
 */
export function explainTask (
  task: TaskReport,
  configuration: Configuration | null,
  changes: readonly AuditRecord[] = []
): TaskExplanation {
  const reason = task.reason === null ? null : REASON_DESCRIPTIONS[task.reason]
  const because = [describeState(task, reason?.because ?? null), ...describeMoves(task, changes)]
  if (configuration !== null) because.push(...describeConfigurationEffects(task, configuration))
  return {
    taskId: task.taskId,
    state: task.state,
    because,
    next: reason?.next ?? null,
    kind: configuration === null ? null : explainKind(compileStoredPolicy(configuration.policyText), task.kind)
  }
}

/**
 * Formats an explanation as text.
 * @param explanation The explanation.
 * @returns The lines.
 */
export function formatTaskExplanation (explanation: TaskExplanation): string {
  const { because, next, kind } = explanation
  const lines = [`${explanation.taskId} (${explanation.state})`, ...because.map(text => `- ${text}`)]
  if (next !== null) lines.push(`Next: ${next}`)
  lines.push('', kind === null ? 'The rules of its kind cannot be read now.' : formatKindExplanation(kind))
  return lines.join('\n')
}

function describeState (task: TaskReport, reason: string | null): string {
  const place = `${task.workerId ?? 'a worker'} in ${task.dataCentre ?? 'a data centre that is not known'}`
  switch (task.state) {
    case 'waiting':
      return `it waits because ${reason ?? 'its shard has not placed it yet'}`
    case 'starting':
      return `it was placed on ${place}, and the worker has not confirmed the start`
    case 'running':
      return `it runs on ${place}: ${findRecordedReason(task, 'running') ?? 'it had room there, and the rules of its kind allow it'}`
    case 'evicting':
      return `it is being stopped on ${place}, to resume elsewhere: ${findRecordedReason(task, 'evicting') ?? 'no reason was kept'}`
    case 'cancelling':
      return `it is being stopped on ${place}, as it was cancelled`
    case 'transferred':
      return `another shard has it now: ${findRecordedReason(task, 'transferred') ?? 'no reason was kept'}`
    case 'completed':
    case 'failed':
    case 'cancelled':
      return `it has ended (${task.state}): ${findRecordedReason(task, task.state) ?? reason ?? 'no reason was kept'}`
  }
}

function describeMoves (task: TaskReport, changes: readonly AuditRecord[]): string[] {
  const moves = task.history.filter(transition => transition.state === 'evicting' || transition.state === 'transferred')
  const described = moves.map(move => {
    const causes = findOperatorCauses(changes, move.at)
    const reason = move.reason !== '' ? move.reason : causes.length > 0 ? causes.join('; ') : UNRECORDED_MOVE_REASON
    return `it was moved at ${move.at}: ${reason}`
  })
  // A shard that took the task over knows only that earlier attempts were made.
  if (moves.length === 0 && task.attempt > 1) {
    const arrivedAt = task.history[0]?.at
    const causes = arrivedAt === undefined ? [] : findOperatorCauses(changes, arrivedAt)
    const reason = causes.length > 0 ? causes.join('; ') : UNRECORDED_MOVE_REASON
    described.push(`this is attempt ${task.attempt}; it was moved here at ${arrivedAt ?? 'a time not kept'}: ${reason}`)
  }
  return described
}

function findOperatorCauses (changes: readonly AuditRecord[], at: string): string[] {
  const movedAt = Date.parse(at)
  return changes
    .filter(change => change.kind === 'data-centre-take-out' || change.kind === 'worker-declare-lost')
    .filter(change => {
      const age = movedAt - Date.parse(change.at)
      return age >= 0 && age <= CAUSE_WINDOW_MILLISECONDS
    })
    .map(change => `${change.summary} at ${change.at} (${change.operator}: ${change.reason})`)
}

function describeConfigurationEffects (task: TaskReport, configuration: Configuration): string[] {
  const circumstances: string[] = []
  const setting = configuration.dataCentres.find(dataCentre => dataCentre.name === task.dataCentre)
  if (setting?.state === 'out') circumstances.push(`${setting.name} is out of service, so its tasks are moved`)
  if (task.workerId !== null && configuration.quarantinedWorkers.includes(task.workerId)) {
    circumstances.push(`an operator quarantined ${task.workerId}; running tasks stay there`)
  }
  if (task.reason === 'team-quota' || task.reason === 'larger-than-quota') {
    const quota = compileStoredPolicy(configuration.policyText).getTeamQuota(task.team)
    if (quota !== undefined) circumstances.push(`team ${task.team} gets ${formatQuota(quota)}`)
  }
  return circumstances
}

function findRecordedReason (task: TaskReport, state: TaskState): string | null {
  const reason = task.history.findLast(transition => transition.state === state)?.reason ?? ''
  if (!Object.hasOwn(REASON_DESCRIPTIONS, reason)) return reason === '' ? null : reason
  // Schedulers note the last reason to wait with the latest transition; it does not explain a start.
  return state === 'failed' || state === 'cancelled' ? REASON_DESCRIPTIONS[reason as WaitReason | NeverReason].because : null
}
