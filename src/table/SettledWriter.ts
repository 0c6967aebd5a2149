import type { Clock } from '../shared/Clock.js'
import type { RowKey, TableService, Transaction, TransactionOutcome } from './TableService.js'

/** An immutable row written by the transaction, by which a lost answer is settled. */
export interface Marker extends RowKey {
  /** The identifier that the writer put into the row's `writeId` field. */
  writeId: string
}

/** Options of a settled write. */
export interface SettleOptions {
  /** How long to try, in milliseconds. */
  deadlineMilliseconds: number
}

/** Waits between tries; a store in an outage must not get a load of retries. */
const RETRY_DELAY_MILLISECONDS = 100
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 2000

/**
 * Runs conditional transactions and settles answers that were lost, by reading back a marker row.
 *
 * The transaction must put the marker row on condition that it is absent, with its `writeId`. Sending
 * the same transaction again is then safe: it can take effect at most once.
 */
export class SettledWriter {
  private constructor (
    private readonly tableService: TableService,
    private readonly clock: Clock
  ) {}

  /**
   * Creates a writer.
   * @param options The table service and the clock.
   * @returns The writer.
   */
  static create (options: { tableService: TableService, clock: Clock }): SettledWriter {
    return new SettledWriter(options.tableService, options.clock)
  }

  /**
   * Runs the transaction until its outcome is certain or the deadline has passed.
   * @param transaction The transaction, which puts the marker row if it is absent.
   * @param marker The row and identifier by which the outcome is recognised.
   * @param options The deadline.
   * @returns The outcome; `unknown` only when the deadline passed first. The versions of a transaction
   * that was settled by read-back are empty.
   */
  async transactAndSettle (
    transaction: Transaction,
    marker: Marker,
    options: SettleOptions
  ): Promise<TransactionOutcome> {
    const deadline = this.clock.monotonicMilliseconds() + options.deadlineMilliseconds
    let delay = RETRY_DELAY_MILLISECONDS
    let mayHaveTakenEffect = false
    for (;;) {
      const outcome = await this.tableService.transact(transaction)
      if (outcome.kind === 'committed') return outcome
      if (outcome.kind === 'conflict') return await this.settleConflict(outcome, marker, mayHaveTakenEffect, deadline)
      mayHaveTakenEffect ||= outcome.kind === 'unknown'
      if (outcome.kind === 'unknown') {
        const written = await this.isMarkerWritten(marker)
        if (written === true) return { kind: 'committed', versions: [] }
      }
      if (this.clock.monotonicMilliseconds() + delay >= deadline) {
        return mayHaveTakenEffect ? { kind: 'unknown', reason: outcome.reason } : outcome
      }
      await this.wait(delay)
      delay = Math.min(delay * 2, MAXIMUM_RETRY_DELAY_MILLISECONDS)
    }
  }

  /** A conflict after a lost answer may be the conflict with one's own earlier write. */
  private async settleConflict (
    conflict: TransactionOutcome,
    marker: Marker,
    mayHaveTakenEffect: boolean,
    deadline: number
  ): Promise<TransactionOutcome> {
    if (!mayHaveTakenEffect) return conflict
    for (;;) {
      const written = await this.isMarkerWritten(marker)
      if (written !== undefined) return written ? { kind: 'committed', versions: [] } : conflict
      if (this.clock.monotonicMilliseconds() >= deadline) return { kind: 'unknown', reason: 'the marker row cannot be read' }
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
