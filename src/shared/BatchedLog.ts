import type { CancelTimer, Clock } from './Clock.js'
import type { JsonValue } from './JsonValue.js'
import type { Logger } from './Logger.js'

/** Options of a batched log. */
export interface BatchedLogOptions {
  clock: Clock
  logger: Logger
  /** The message of each line. */
  message: string
}

/** Events of this time share a line: an owner of hundreds of workers has over a thousand in a second. */
const BATCH_MILLISECONDS = 100
/** Bounds the length of a line. */
const MAXIMUM_EVENTS = 100

/** Logs frequent events as lists, several in one line, because a line for each takes more time than the event. */
export class BatchedLog {
  private events: JsonValue[] = []
  private cancelTimer: CancelTimer | null = null

  private constructor (private readonly options: BatchedLogOptions) {}

  /**
   * Creates a log without events.
   * @param options The logger and the message.
   * @returns The log.
   */
  static create (options: BatchedLogOptions): BatchedLog {
    return new BatchedLog(options)
  }

  /**
   * Adds an event to the next line.
   * @param event The event, with the identifiers by which it is searched.
   */
  add (event: JsonValue): void {
    this.events.push(event)
    if (this.events.length >= MAXIMUM_EVENTS) this.flush()
    else this.cancelTimer ??= this.options.clock.setTimer(BATCH_MILLISECONDS, () => this.flush())
  }

  /** Logs the events that wait for the next line. */
  flush (): void {
    this.cancelTimer?.()
    this.cancelTimer = null
    if (this.events.length === 0) return
    const { events } = this
    this.events = []
    this.options.logger.info(this.options.message, { events })
  }
}
