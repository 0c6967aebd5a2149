import type { JsonValue } from '../shared/JsonValue.js'

/** The table of the audit records; its rows are immutable and never deleted. */
export const AUDIT_TABLE = 'audit'

/** Digits of a version in a key; zeros pad it, so that scans, which return keys in text order, follow the versions. */
const VERSION_DIGITS = 12

/** The kind of an operator's action. */
export type AuditKind =
  | 'policy-apply'
  | 'data-centre-take-out'
  | 'data-centre-bring-back'
  | 'worker-quarantine'
  | 'worker-release'
  | 'worker-declare-lost'
  | 'task-submit'
  | 'task-cancel'

/** One record of an operator's change; a change of the configuration has `toVersion` one above `fromVersion`. */
export interface AuditRecord {
  /** Identifies the write, so that its outcome can be determined after a lost response. */
  writeId: string
  operator: string
  /** The wall time of the operator's machine, in ISO 8601. */
  at: string
  kind: AuditKind
  reason: string
  fromVersion: number
  /** The same as `fromVersion` for task commands, which do not change the configuration. */
  toVersion: number
  /** The version in which the same section changed before, 0 when never; absent for task commands. */
  sectionVersionBefore?: number
  /** The change in one sentence. */
  summary: string
  /** The object of the change, such as a data centre or a task. */
  subject: JsonValue
}

/**
 * Returns the key of the record of a configuration change.
 * @param version The version that the change created.
 * @returns The key, which sorts by version.
 */
export function formatAuditKey (version: number): string {
  return String(version).padStart(VERSION_DIGITS, '0')
}

/**
 * Returns the key of the record of a task command, which sorts after the change that created the version.
 * @param version The version of the configuration at the time.
 * @param at The wall time in ISO 8601.
 * @param writeId The identifier of the write.
 * @returns The key.
 */
export function formatTaskAuditKey (version: number, at: string, writeId: string): string {
  return `${formatAuditKey(version)}+${at}+${writeId}`
}
