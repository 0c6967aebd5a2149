import { createIdentifier } from '../shared/identifiers.js'
import type { InboxEntry, JournalRecord, QuotaRow } from './JournalRecord.js'

/** Minimum interval between the beginnings of two writes; 15 shards make at most 75 writes/s. */
export const JOURNAL_INTERVAL_MILLISECONDS = 200
/** Interval between retries of a batch, long enough not to add to the load of an overloaded store. */
const RETRY_INTERVAL_MILLISECONDS = 1000
/** Bounds the size of a transaction; at 1,200 starts/s over 15 shards, a batch has about 16 starts. */
const MAX_BATCH_RECORDS = 1000

/** A record that is not yet durable. */
export interface PendingRecord {
  /** Null for an entry that only waits until the records before it are durable. */
  record: JournalRecord | null
  /** Called once the record and all records before it are durable. */
  onDurable?: (now: number) => void
  /** Rows of other tables that change in the same transaction as the record. */
  rows?: RelatedRows
}

/** Changes of rows in other tables that must commit together with a record. */
export interface RelatedRows {
  /** The inbox row to remove; it must still have the version that was read. */
  inboxRow?: { key: string, version: number }
  /** The row to add to the inbox of another shard. */
  transfer?: { shardId: string, key: string, entry: InboxEntry }
  quotaChange?: QuotaChange
}

/** A change of a row `quotas/<team>` in the transaction of a batch. */
export interface QuotaChange {
  team: string
  /** The row version that was read, null when the row did not exist. */
  version: number | null
  value: QuotaRow
}

/** The contents of one journal transaction. */
export interface JournalBatch {
  sequence: number
  writeId: string
  entries: PendingRecord[]
  /** Whether the batch contains a start, so that it may commit only while the data centre is in service. */
  hasStarts: boolean
  /** When the first write that may have taken effect was sent. */
  sentAt: number
  mayHaveTakenEffect: boolean
}

/** Groups the journal records of one shard into batches, with at most one write in flight. */
export class JournalQueue {
  inFlight: JournalBatch | null = null
  readonly pending: PendingRecord[] = []
  private nextWriteAt = -Infinity
  private writing = false

  private constructor (private lastSequence: number) {}

  /**
   * Creates a queue.
   * @param options The sequence number of the last batch in the store, 0 if there is none.
   * @returns The queue.
   */
  static create (options: { lastSequence: number }): JournalQueue {
    return new JournalQueue(options.lastSequence)
  }

  getLastSequence (): number {
    return this.lastSequence
  }

  /** Returns the earliest time of the next write, Infinity while a write is in flight. */
  getNextWriteAt (): number {
    return this.writing ? Infinity : this.nextWriteAt
  }

  append (record: JournalRecord | null, onDurable?: (now: number) => void, rows?: RelatedRows): void {
    this.pending.push({ record, onDurable, rows })
  }

  /**
   * Begins a write of the next batch, or of the previous batch if that must be sent again.
   * @param now The monotonic time.
   * @returns The batch to write, or null when no record is pending or a write is not yet allowed.
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

  /** Records that the batch in flight is durable, and returns it. */
  commit (): JournalBatch {
    const batch = this.inFlight!
    this.lastSequence = batch.sequence
    this.inFlight = null
    this.writing = false
    return batch
  }

  /** Schedules the batch in flight to be sent again. */
  retry (now: number, mayHaveTakenEffect: boolean): void {
    this.writing = false
    this.inFlight!.mayHaveTakenEffect ||= mayHaveTakenEffect
    this.nextWriteAt = now + RETRY_INTERVAL_MILLISECONDS
  }

  /** Changes the content of the batch in flight, which did not and cannot take effect, and schedules it again. */
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
