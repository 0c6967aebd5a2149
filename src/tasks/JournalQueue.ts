import { createIdentifier } from '../shared/identifiers.js'
import type { InboxEntry, JournalRecord, QuotaRow } from './JournalRecord.js'

/** How long after the begin of a write the next one begins; with 15 shards this is at most 75 writes/s. */
export const JOURNAL_INTERVAL_MILLISECONDS = 200
/** Retries of a batch while the store refuses it must not add to the load that it refuses. */
const RETRY_INTERVAL_MILLISECONDS = 1000
/** Bounds the size of a transaction; at 1,200 starts/s over 15 shards a batch has about 16 starts. */
const MAX_BATCH_RECORDS = 1000

/** A record on its way into the journal, with what to do when it is durable. */
export interface PendingRecord {
  /** Null for a step that must only wait for the records before it. */
  record: JournalRecord | null
  onDurable?: (now: number) => void
  /** Rows of other tables that change in the same transaction as the record. */
  rows?: RelatedRows
}

/** Changes of other tables that belong to a record. */
export interface RelatedRows {
  /** The inbox row to remove; it must still have the version that was read. */
  inboxRow?: { key: string, version: number }
  /** A row for the inbox of another shard. */
  transfer?: { shardId: string, key: string, entry: InboxEntry }
  quotaChange?: QuotaChange
}

/** A change of a quota row in the transaction of a batch. */
export interface QuotaChange {
  team: string
  /** The row version that was read, null when the row did not exist. */
  version: number | null
  value: QuotaRow
}

/** Everything that one transaction writes. */
export interface JournalBatch {
  sequence: number
  writeId: string
  entries: PendingRecord[]
  /** Whether the batch has a start and so depends on the data centre being in service. */
  hasStarts: boolean
  /** When the first send that may have taken effect began. */
  sentAt: number
  mayHaveTakenEffect: boolean
}

/** The batches of one shard: at most one write in flight, the next at least an interval after the last began. */
export class JournalQueue {
  inFlight: JournalBatch | null = null
  readonly pending: PendingRecord[] = []
  private nextWriteAt = -Infinity
  private writing = false

  private constructor (private lastSequence: number) {}

  /**
   * Creates a queue.
   * @param options The sequence of the last batch in the store, 0 when there is none.
   * @returns The queue.
   */
  static create (options: { lastSequence: number }): JournalQueue {
    return new JournalQueue(options.lastSequence)
  }

  getLastSequence (): number {
    return this.lastSequence
  }

  /** Returns the earliest time of the next write, Infinity while one is in flight. */
  getNextWriteAt (): number {
    return this.writing ? Infinity : this.nextWriteAt
  }

  append (record: JournalRecord | null, onDurable?: (now: number) => void, rows?: RelatedRows): void {
    this.pending.push({ record, onDurable, rows })
  }

  /**
   * Forms the next batch, or returns the one that was not settled yet.
   * @param now The monotonic time.
   * @returns The batch to write, or null when there is nothing to write or it is too early.
   */
  beginWrite (now: number): JournalBatch | null {
    if (this.writing || now < this.nextWriteAt) return null
    if (this.inFlight === null) {
      if (this.pending.every(entry => entry.record === null)) {
        for (const entry of this.pending.splice(0)) entry.onDurable?.(now)
        if (this.pending.length === 0) return null
      }
      const entries = this.pending.splice(0, MAX_BATCH_RECORDS)
      this.inFlight = {
        sequence: this.lastSequence + 1,
        writeId: createIdentifier(),
        entries,
        hasStarts: entries.some(entry => entry.record?.type === 'start'),
        sentAt: now,
        mayHaveTakenEffect: false
      }
    }
    if (!this.inFlight.mayHaveTakenEffect) this.inFlight.sentAt = now
    this.writing = true
    this.nextWriteAt = now + JOURNAL_INTERVAL_MILLISECONDS
    return this.inFlight
  }

  /** Takes note that the batch in flight is durable, and returns it. */
  commit (): JournalBatch {
    const batch = this.inFlight!
    this.lastSequence = batch.sequence
    this.inFlight = null
    this.writing = false
    return batch
  }

  /** Takes note that the batch in flight has to be sent again. */
  retry (now: number, mayHaveTakenEffect: boolean): void {
    this.writing = false
    this.inFlight!.mayHaveTakenEffect ||= mayHaveTakenEffect
    this.nextWriteAt = now + RETRY_INTERVAL_MILLISECONDS
  }

  /** Takes note that the batch certainly did not and will not take effect, and changes its content. */
  amend (now: number, change: (batch: JournalBatch) => void): void {
    const batch = this.inFlight!
    this.writing = false
    change(batch)
    batch.writeId = createIdentifier()
    batch.mayHaveTakenEffect = false
    batch.hasStarts = batch.entries.some(entry => entry.record?.type === 'start')
    this.nextWriteAt = now
  }
}
