import { deflateRawSync, inflateRawSync } from 'node:zlib'
import type { JobSubmission } from '../jobs/index.js'
import type { JsonValue } from '../shared/JsonValue.js'
import type { TableLimits } from '../table/TableLimits.js'
import type { Condition, Operation, Row } from '../table/TableService.js'
import { encodeSubmission, getSubmissionPartKey, getSubmissionPartOf, JOB_TABLE } from './jobRows.js'

/** The bytes of a row in JSON beside its piece of the text. */
const PIECE_OVERHEAD_BYTES = 64
/** A longer text is no submission: callers' bodies are far smaller. */
const LONGEST_TEXT_BYTES = 64 * 1024 * 1024

/** The value of a row of a submission that exceeds a row of the store. */
interface SubmissionPiece {
  /** A part of the compressed text in base64. */
  piece: string
  /** The number of rows. */
  parts: number
  /** The client account of the job, in the first row. */
  accountName?: string
}

/**
 * Creates the operations that store a submission. All of them must be in one transaction.
 * @param submission The submission.
 * @param limits The limits of the store.
 * @param condition The condition on the row of the job: by default, that there is none.
 * @returns One operation, or several for a submission that exceeds a row.
 */
export function createSubmissionOperations (
  submission: JobSubmission, limits: TableLimits, condition: Condition = { kind: 'absent' }
): Operation[] {
  const { jobId: key, accountName } = submission
  const value = encodeSubmission(submission)
  const text = JSON.stringify(value)
  if (Buffer.byteLength(text) <= limits.rowBytes) return [{ kind: 'put', table: JOB_TABLE, key, value, condition }]
  const compressed = deflateRawSync(text).toString('base64')
  const accountBytes = accountName === undefined ? 0 : Buffer.byteLength(JSON.stringify({ accountName }))
  const pieceBytes = limits.rowBytes - PIECE_OVERHEAD_BYTES - accountBytes
  const parts = Math.ceil(compressed.length / pieceBytes)
  return Array.from({ length: parts }, (_, part): Operation => ({
    kind: 'put',
    table: JOB_TABLE,
    key: getSubmissionPartKey(key, part),
    value: {
      piece: compressed.slice(part * pieceBytes, (part + 1) * pieceBytes),
      parts,
      ...part === 0 && accountName !== undefined && { accountName }
    },
    condition: part === 0 ? condition : { kind: 'any' }
  }))
}

/** Joins the rows of submissions that exceed a row of the store, which may be read in any order. */
export class SubmissionAssembler {
  private readonly incomplete = new Map<string, Array<string | undefined>>()

  private constructor () {}

  /**
   * Creates an assembler without rows.
   * @returns The assembler.
   */
  static create (): SubmissionAssembler {
    return new SubmissionAssembler()
  }

  /**
   * Adds a row of the job table.
   * @param row The row.
   * @returns The row with its whole submission; null while other rows of it are missing.
   * @throws When the text of the rows cannot be decompressed.
   */
  add (row: Row): Row | null {
    const piece = decodePiece(row.value)
    if (piece === null) return row
    const { jobId, part } = getSubmissionPartOf(row.key) ?? { jobId: row.key, part: 0 }
    const pieces = this.incomplete.get(jobId) ?? []
    this.incomplete.set(jobId, pieces)
    pieces[part] = piece.piece
    for (let index = 0; index < piece.parts; index++) if (pieces[index] === undefined) return null
    this.incomplete.delete(jobId)
    const bytes = Buffer.from(pieces.slice(0, piece.parts).join(''), 'base64')
    const text = inflateRawSync(bytes, { maxOutputLength: LONGEST_TEXT_BYTES }).toString()
    return { ...row, key: jobId, value: JSON.parse(text) as JsonValue }
  }
}

function decodePiece (value: JsonValue): SubmissionPiece | null {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return null
  const { piece, parts } = value
  return typeof piece === 'string' && typeof parts === 'number' ? { piece, parts } : null
}
