import { Args } from '@oclif/core'
import { AuditLog, type TaskAuditEntry } from '../../audit/AuditLog.js'
import type { CancelOutcome } from '../../scheduler/SchedulerApi.js'
import type { Outcome } from '../../shared/Outcome.js'
import { OperatorCommand, reasonFlag } from '../OperatorCommand.js'
import type { OperatorFailure } from '../OperatorFailure.js'
import { SchedulerClient, type SchedulerFailure } from '../SchedulerClient.js'
import { recordIntent, recordResult } from '../taskAudit.js'

/** Cancels a task. */
export class TaskCancel extends OperatorCommand {
  static override summary = 'Cancel a task.'
  static override description = 'A waiting task never starts; a running one is stopped. Cancelling twice does no harm. Exit codes: 0 accepted, 4 not found or ended already, 6 scheduler or store not reachable, 7 outcome unknown.'
  static override examples = ['<%= config.bin %> <%= command.id %> 5f0c-1 --reason "submitted for the wrong dossier"']
  static override args = { task: Args.string({ description: 'the task', required: true }) }
  static override flags = { reason: reasonFlag }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(TaskCancel)
    const settings = this.requireSettings(flags, ['schedulerUrl', 'operator'])
    const tableService = this.openTableService(flags)
    const log = AuditLog.create({ tableService, clock: this.clock })
    const entry: TaskAuditEntry = {
      operator: settings.operator,
      reason: flags.reason,
      kind: 'task-cancel',
      version: (await this.readHead(tableService)).version,
      summary: `cancel ${args.task}`,
      subject: args.task
    }
    this.unwrap(await recordIntent(log, entry))
    const outcome = await SchedulerClient.create(settings.schedulerUrl).cancelTask(args.task)
    const result = outcome.kind === 'ok' ? outcome.value.kind : outcome.failure.kind
    const audited = await recordResult(log, { ...entry, summary: `${entry.summary}: ${result}` })
    this.unwrap(interpretOutcome(outcome, args.task))
    this.log(`the cancellation of ${args.task} is accepted`)
    if (!audited) this.warn('the cancellation is audited, but its result is not, as the table service stopped answering')
    return { taskId: args.task, audited }
  }
}

function interpretOutcome (
  outcome: Outcome<CancelOutcome, SchedulerFailure>,
  taskId: string
): Outcome<null, OperatorFailure> {
  const fail = (code: OperatorFailure['code'], message: string, next: string): Outcome<null, OperatorFailure> =>
    ({ kind: 'failed', failure: { code, message, next } })
  if (outcome.kind === 'failed') {
    const { kind, reason } = outcome.failure
    if (kind === 'unavailable') {
      return fail('unavailable', `the scheduler cannot be reached (${reason}); nothing was cancelled`, 'try another scheduler')
    }
    if (kind === 'rejected') return fail('refused', `the scheduler refused: ${reason}`, 'check the identifier of the task')
    return fail('unknown', `it is not known whether ${taskId} was cancelled (${reason})`, 'run the command again; that does no harm')
  }
  if (outcome.value.kind === 'accepted') return { kind: 'ok', value: null }
  if (outcome.value.kind === 'not-found') {
    return fail('refused', `there is no task ${taskId}`, 'list tasks with "papayamoor task list"')
  }
  return fail('refused', `${taskId} has ended already: ${outcome.value.state}`, 'nothing to do')
}
