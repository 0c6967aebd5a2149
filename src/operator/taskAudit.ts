import { AuditLog, type TaskAuditEntry } from '../audit/AuditLog.js'
import { failed, ok, type Outcome } from '../shared/Outcome.js'
import { describeUnavailable, type OperatorFailure } from './OperatorFailure.js'

/**
 * Records the request of a task command. The command calls the scheduler only after this record is durable.
 * @param log The audit log.
 * @param entry The content of the record.
 * @returns Success, or why the record is not known to be durable.
 */
export async function recordIntent (log: AuditLog, entry: TaskAuditEntry): Promise<Outcome<null, OperatorFailure>> {
  const written = await log.appendTaskRecord(entry)
  if (written.kind === 'ok') return ok(null)
  return failed(describeUnavailable('the table service', written.failure.reason))
}

/**
 * Records the result of a task command.
 * @param log The audit log.
 * @param entry The content of the record, with the result in its summary.
 * @returns Whether the record is known to be durable.
 */
export async function recordResult (log: AuditLog, entry: TaskAuditEntry): Promise<boolean> {
  const written = await log.appendTaskRecord(entry)
  return written.kind === 'ok'
}
