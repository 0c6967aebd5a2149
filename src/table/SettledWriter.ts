import type { Clock } from '../shared/Clock.js'
import type { RowKey, TableService, Transaction, TransactionOutcome } from './TableService.js'
import type { RepeatedOutcome, RepeatedWrite, TransactionRepeater } from './TransactionRepeater.js'

/** An immutable row that the transaction writes; reading it back shows whether the transaction took effect. */
export interface Marker extends RowKey {
  /** The identifier that the writer puts into the `writeId` field of the row. */
  writeId: string
}

/** Options of a writer. */
export interface SettledWriterOptions {
  tableService: TableService
  clock: Clock
  /** Repeats transactions while their responses are overdue; each is sent once at a time by default. */
  repeats?: { repeater: TransactionRepeater, write: RepeatedWrite }
}

/** Options of a settled write. */
export interface SettleOptions {
  /** How long to retry, in milliseconds. */
  deadlineMilliseconds: number
}

/** The first and the longest delay between attempts; the delay doubles to limit the retry load during an outage. */
const RETRY_DELAY_MILLISECONDS = 100
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 2000

/**
 * Runs conditional transactions, and settles the outcome of one whose response was lost by reading back a marker row.
 *
 * The transaction must put the marker row with its `writeId`, under the condition that the row is absent. Retrying
 * the same transaction is then safe, because it can take effect at most once.
 */
export class SettledWriter {
  private readonly tableService: TableService
  private readonly clock: Clock

  private constructor (private readonly options: SettledWriterOptions) {
    this.tableService = options.tableService
    this.clock = options.clock
  }

  /**
   * Creates a writer.
   * @param options The table service, the clock, and how overdue transactions are repeated.
   * @returns The writer.
   */
  static create (options: SettledWriterOptions): SettledWriter {
    return new SettledWriter(options)
  }

  /**
   * Runs the transaction until its outcome is certain or the deadline has passed.
   * @param transaction The transaction, which puts the marker row if it is absent.
   * @param marker The marker row and its identifier.
   * @param options The deadline.
   * @returns The outcome; `unknown` only when the deadline passed first. `versions` is empty when the outcome
   * was settled by reading the marker row.
   */
  async transactAndSettle (
    transaction: Transaction,
    marker: Marker,
    options: SettleOptions
  ): Promise<TransactionOutcome> {
    const endAt = this.clock.monotonicMilliseconds() + options.deadlineMilliseconds
    let delay = RETRY_DELAY_MILLISECONDS
    let mayHaveTakenEffect = false
    for (;;) {
      const { outcome, hasUnansweredSend } = await this.send(transaction, endAt)
      mayHaveTakenEffect ||= hasUnansweredSend
      if (outcome.kind === 'committed') return outcome
      if (outcome.kind === 'unavailable' && outcome.isPermanent === true) return outcome
      if (outcome.kind === 'conflict') return await this.settleConflict(outcome, marker, mayHaveTakenEffect, endAt)
      if (outcome.kind === 'unknown') {
        const written = await this.isMarkerWritten(marker)
        if (written === true) return { kind: 'committed', versions: [] }
      }
      if (this.clock.monotonicMilliseconds() + delay >= endAt) {
        return mayHaveTakenEffect ? { kind: 'unknown', reason: outcome.reason } : outcome
      }
      await this.wait(delay)
      delay = Math.min(delay * 2, MAXIMUM_RETRY_DELAY_MILLISECONDS)
    }
  }

  private async send (transaction: Transaction, endAt: number): Promise<RepeatedOutcome> {
    const { repeats } = this.options
    const send = async () => await this.tableService.transact(transaction)
    if (repeats === undefined) {
      const outcome = await send()
      return { outcome, hasUnansweredSend: outcome.kind === 'unknown' }
    }
    return await repeats.repeater.transact({
      write: repeats.write,
      transaction,
      send,
      mayRepeat: () => this.clock.monotonicMilliseconds() < endAt
    })
  }

  /** After a lost response, a conflict may be caused by an earlier attempt of the same transaction. */
  private async settleConflict (
    conflict: TransactionOutcome,
    marker: Marker,
    mayHaveTakenEffect: boolean,
    endAt: number
  ): Promise<TransactionOutcome> {
    if (!mayHaveTakenEffect) return conflict
    for (;;) {
      const written = await this.isMarkerWritten(marker)
      if (written !== undefined) return written ? { kind: 'committed', versions: [] } : conflict
      if (this.clock.monotonicMilliseconds() >= endAt) return { kind: 'unknown', reason: 'the marker row cannot be read' }
      await this.wait(RETRY_DELAY_MILLISECONDS)
    }
  }

  private async isMarkerWritten (marker: Marker): Promise<boolean | undefined> {
    const read = await this.tableService.read({ table: marker.table, key: marker.key })
    if (read.kind !== 'ok') return undefined
    const value = read.value?.value
    return typeof value === 'object' && value !== null && !Array.isArray(value) && value.writeId === marker.writeId
  }

  private wait (delayMilliseconds: number): Promise<void> {
    return new Promise(resolve => { this.clock.setTimer(delayMilliseconds, resolve) })
  }
}
