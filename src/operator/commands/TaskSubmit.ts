import { Errors, Flags } from '@oclif/core'
import { AuditLog, type TaskAuditEntry } from '../../audit/AuditLog.js'
import type { JobSubmission, SubmissionOutcome } from '../../scheduler/SchedulerApi.js'
import { createIdentifier } from '../../shared/identifiers.js'
import type { Outcome } from '../../shared/Outcome.js'
import { describeReason } from '../explainTask.js'
import { OperatorCommand, reasonFlag } from '../OperatorCommand.js'
import type { OperatorFailure } from '../OperatorFailure.js'
import { SchedulerClient, type SchedulerFailure } from '../SchedulerClient.js'
import { recordIntent, recordResult } from '../taskAudit.js'

const MEGABYTES_PER_GIGABYTE = 1024
const MAXIMUM_TASK_COUNT = 1000

const createNumberFlag = (description: string, standard: string) => Flags.string({
  description,
  default: standard,
  parse: async text => {
    if (!/^\d+(\.\d+)?$/.test(text)) throw new Errors.CLIError(`${JSON.stringify(text)} is not a number`)
    return text
  }
})

/** Submits a job. */
export class TaskSubmit extends OperatorCommand {
  static override summary = 'Submit a job of one or more tasks.'
  static override description = 'The job is identified by team and key: a second submission with the same two is the same job and runs nothing twice. The submission is audited; the payload is not written into the audit record. Exit codes: 0 accepted, 4 not run, 6 scheduler or store not reachable, 7 outcome unknown.'
  static override examples = [
    '<%= config.bin %> <%= command.id %> --team dossiers --kind dossier-draft --processors 2 --memory 4 --reason "draft again after a correction"',
    '<%= config.bin %> <%= command.id %> --team press-room --kind print-run --count 12 --key night-41 --data-centre lahore-press --reason "late order"'
  ]

  static override flags = {
    team: Flags.string({ description: 'the team whose quota is used', required: true }),
    kind: Flags.string({ description: 'the kind of work', required: true }),
    count: Flags.integer({ description: 'the number of tasks', default: 1, min: 1, max: MAXIMUM_TASK_COUNT }),
    processors: createNumberFlag('processors of each task', '1'),
    memory: createNumberFlag('memory of each task in GB', '1'),
    accelerators: Flags.integer({ description: 'accelerators of each task', default: 0, min: 0 }),
    'data-centre': Flags.string({ description: 'only this data centre' }),
    payload: Flags.string({ description: 'JSON for the work itself', default: 'null' }),
    key: Flags.string({ description: 'the idempotency key; without it one is made up and printed' }),
    reason: reasonFlag
  }

  async run (): Promise<unknown> {
    const { flags } = await this.parse(TaskSubmit)
    const settings = this.requireSettings(flags, ['schedulerUrl', 'operator'])
    const tableService = this.openTableService(flags)
    const key = flags.key ?? createIdentifier()
    const submission: JobSubmission = {
      team: flags.team,
      key,
      kind: flags.kind,
      count: flags.count,
      size: {
        processors: Number(flags.processors),
        memoryMegabytes: Math.round(Number(flags.memory) * MEGABYTES_PER_GIGABYTE),
        accelerators: flags.accelerators
      },
      dataCentre: flags['data-centre'] ?? null,
      payload: parsePayload(flags.payload)
    }
    const log = AuditLog.create({ tableService, clock: this.clock })
    const { payload, ...subject } = submission
    const entry: TaskAuditEntry = {
      operator: settings.operator,
      reason: flags.reason,
      kind: 'task-submit',
      version: (await this.readHead(tableService)).version,
      summary: `submit ${submission.count} ${submission.kind} of team ${submission.team}`,
      subject: { ...subject, size: { ...submission.size } }
    }
    this.unwrap(await recordIntent(log, entry))
    const outcome = await SchedulerClient.create(settings.schedulerUrl).submitJob(submission)
    const audited = await recordResult(log, { ...entry, summary: `${entry.summary}: ${describeResult(outcome)}` })
    const accepted = this.unwrap(interpretOutcome(outcome, key))
    this.log(`job ${accepted.jobId} ${accepted.repeated ? 'was accepted before' : 'accepted'} with key ${key}`)
    for (const taskId of accepted.taskIds) this.log(taskId)
    if (!audited) this.warn('the submission is audited, but its result is not, as the table service stopped answering')
    return { ...accepted, key, audited }
  }
}

function parsePayload (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    // The payload may hold secrets, so it is not repeated.
    throw new Errors.CLIError('--payload is not JSON')
  }
}

function describeResult (outcome: Outcome<SubmissionOutcome, SchedulerFailure>): string {
  if (outcome.kind === 'failed') return outcome.failure.kind === 'unknown' ? 'unknown' : 'not run'
  return outcome.value.kind === 'not-run' ? 'not run' : outcome.value.kind
}

function interpretOutcome (
  outcome: Outcome<SubmissionOutcome, SchedulerFailure>,
  key: string
): Outcome<SubmissionOutcome & { kind: 'accepted' }, OperatorFailure> {
  const retryAdvice = `run the command again with --key ${key}; it cannot run twice`
  if (outcome.kind === 'failed') {
    const { kind, reason } = outcome.failure
    if (kind === 'unknown') return createFailure('unknown', `it is not known whether the job was accepted (${reason})`, retryAdvice)
    if (kind === 'rejected') return createFailure('refused', `not run: ${reason}`, 'correct the flags and run it again')
    return createFailure('unavailable', `not run: the scheduler cannot be reached (${reason})`, retryAdvice)
  }
  const { value } = outcome
  if (value.kind === 'accepted') return { kind: 'ok', value }
  if (value.kind === 'not-run') {
    const described = describeReason(value.reason)
    const next = described?.next ?? 'remove the cause and run it again'
    return createFailure('refused', `not run: ${described?.because ?? value.reason}`, next)
  }
  return createFailure('unknown', `it is not known whether job ${value.jobId} was accepted (${value.reason})`, retryAdvice)
}

function createFailure (
  code: OperatorFailure['code'],
  message: string,
  next: string
): Outcome<never, OperatorFailure> {
  return { kind: 'failed', failure: { code, message, next } }
}
