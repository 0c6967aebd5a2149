import type { Clock } from '../shared/Clock.js'
import { getTransferMilliseconds } from '../shared/getTransferMilliseconds.js'
import { RepeatBudget } from '../shared/RepeatBudget.js'
import { repeatCall } from '../shared/repeatCall.js'
import { ResponseTimeEstimate } from '../shared/ResponseTimeEstimate.js'
import type { Transaction, TransactionOutcome } from './TableService.js'

/** What a repeated transaction writes. */
export type RepeatedWrite = 'renewal' | 'takeover' | 'progress' | 'registration' | 'submission' | 'cancellation'

/** Options of a repeater. */
export interface TransactionRepeaterOptions {
  clock: Clock
  /** The number of repeats per second that the store and this process can bear. */
  repeatsPerSecond: number
  /** Returns whether this process is short of processor time, so that missing responses may be waiting to be read. */
  isOverloaded (): boolean
  /** Called for each repeat. */
  onRepeat (write: RepeatedWrite): void
}

/** A transaction that is safe to send more than once. */
export interface RepeatedTransaction {
  write: RepeatedWrite
  /** The transaction of the first send, by whose size the time until a repeat is extended. */
  transaction: Transaction
  /**
   * Sends the transaction once.
   * @param sendIndex The number of earlier sends.
   */
  send (sendIndex: number): Promise<TransactionOutcome>
  /** Returns whether a further send is still wanted. */
  mayRepeat (): boolean
  /** How long after the first send the last one may begin; `REPEAT_LIMIT_MILLISECONDS` by default. */
  limitMilliseconds?: number
}

/** The outcome of a transaction that may have been sent more than once. */
export interface RepeatedOutcome {
  outcome: TransactionOutcome
  /** Whether a send without a response may have taken effect, or may still do so. */
  hasUnansweredSend: boolean
}

/** A transaction that got no response for this long is left to its caller, which may do something else. */
const REPEAT_LIMIT_MILLISECONDS = 2000
const INITIAL_RESPONSE_MILLISECONDS = 150
const SHORTEST_RESPONSE_MILLISECONDS = 40
const LONGEST_RESPONSE_MILLISECONDS = 400
/** A transaction is repeated when its response takes this many times as long as is usual. */
const OVERDUE_FACTOR = 1.5
/** The size of a row in base64, relative to its JSON. */
const ENCODING_FACTOR = 4 / 3

/** Repeats transactions without a response beside their earlier sends, within one budget for all of them. */
export class TransactionRepeater {
  private readonly budget: RepeatBudget
  private readonly estimate = ResponseTimeEstimate.create({
    initialMilliseconds: INITIAL_RESPONSE_MILLISECONDS,
    shortestMilliseconds: SHORTEST_RESPONSE_MILLISECONDS,
    longestMilliseconds: LONGEST_RESPONSE_MILLISECONDS
  })

  private constructor (private readonly options: TransactionRepeaterOptions) {
    const { clock, repeatsPerSecond, isOverloaded } = options
    this.budget = RepeatBudget.create({ clock, repeatsPerSecond, reserve: repeatsPerSecond, isOverloaded })
  }

  /**
   * Creates a repeater with a full budget.
   * @param options The clock, the budget and the observer.
   * @returns The repeater.
   */
  static create (options: TransactionRepeaterOptions): TransactionRepeater {
    return new TransactionRepeater(options)
  }

  /**
   * Sends a transaction, and sends it again while its response is overdue. A refusal ends the repeats.
   * @param repeated The transaction, which must be safe to repeat.
   * @returns The outcome of the first send that was applied or has conflicted; otherwise `unavailable` when all sends
   * were refused, and `unknown` when some got no response.
   */
  async transact (repeated: RepeatedTransaction): Promise<RepeatedOutcome> {
    const { write, transaction, mayRepeat, limitMilliseconds = REPEAT_LIMIT_MILLISECONDS } = repeated
    const { clock, onRepeat } = this.options
    const bytes = Buffer.byteLength(JSON.stringify(transaction)) * ENCODING_FACTOR
    const transferMilliseconds = getTransferMilliseconds(bytes)
    const endAt = clock.monotonicMilliseconds() + limitMilliseconds
    let unansweredCount = 0
    let isRefused = false
    const outcome = await repeatCall({
      clock,
      send: async sendIndex => {
        if (sendIndex > 0) onRepeat(write)
        const sentAt = clock.monotonicMilliseconds()
        unansweredCount++
        const outcome = await repeated.send(sendIndex)
        if (outcome.kind === 'unknown') return outcome
        unansweredCount--
        if (outcome.kind === 'unavailable') isRefused = true
        else this.estimate.record(Math.max(0, clock.monotonicMilliseconds() - sentAt - transferMilliseconds))
        return outcome
      },
      isSettled,
      getDelayMilliseconds: () => this.estimate.milliseconds * OVERDUE_FACTOR + transferMilliseconds,
      mayRepeat: () => !isRefused && clock.monotonicMilliseconds() < endAt && mayRepeat() && this.budget.tryWithdraw(),
      sendLimit: Infinity
    })
    const hasUnansweredSend = unansweredCount > 0
    const isUncertain = hasUnansweredSend && outcome.kind === 'unavailable' && outcome.isPermanent !== true
    return { outcome: isUncertain ? { kind: 'unknown', reason: outcome.reason } : outcome, hasUnansweredSend }
  }
}

/** Returns whether an outcome is final; after a refusal, an earlier send may still be answered. */
function isSettled (outcome: TransactionOutcome): boolean {
  return outcome.kind === 'unavailable' ? outcome.isPermanent === true : outcome.kind !== 'unknown'
}
