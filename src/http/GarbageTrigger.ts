import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import type { Clock } from '../shared/Clock.js'

/** Collects the objects of the young generation. */
export type CollectYoungObjects = () => void

/**
 * Collections are this far apart in multiples of the duration of the last one, so that they take a twentieth of the
 * processor at most.
 */
const INTERVAL_FACTOR = 20

/**
 * Collects garbage after a certain number of bytes has been received. Load addressed: bodies of crowds, whose buffers
 * lie outside the heap. V8 takes up to 64 MB for them before it collects them, which is too much on small machines.
 */
export class GarbageTrigger {
  private bytes = 0
  private earliestAt = -Infinity
  private isScheduled = false

  private constructor (
    private readonly clock: Clock, private readonly limitBytes: number, private readonly collect: CollectYoungObjects
  ) {}

  /**
   * Creates a trigger that has counted nothing.
   * @param clock The clock.
   * @param limitBytes The number of bytes after which garbage is collected.
   * @param collect Collects garbage.
   * @returns The trigger.
   */
  static create (clock: Clock, limitBytes: number, collect: CollectYoungObjects): GarbageTrigger {
    return new GarbageTrigger(clock, limitBytes, collect)
  }

  /**
   * Counts bytes that have become garbage, and collects it when they are many.
   * @param bytes The number of bytes.
   */
  add (bytes: number): void {
    this.bytes += bytes
    if (this.bytes < this.limitBytes || this.isScheduled) return
    this.isScheduled = true
    // Closed connections release their requests after the callbacks of the first `setImmediate`.
    setImmediate(() => setImmediate(() => this.run()))
  }

  private run (): void {
    this.isScheduled = false
    const startedAt = this.clock.monotonicMilliseconds()
    if (startedAt < this.earliestAt) return
    this.bytes = 0
    this.collect()
    const endedAt = this.clock.monotonicMilliseconds()
    this.earliestAt = endedAt + (endedAt - startedAt) * INTERVAL_FACTOR
  }
}

/**
 * Creates the function that collects the young generation; Node.js offers it only by a flag.
 * @returns The function.
 */
export function createYoungCollector (): CollectYoungObjects {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as (options: { type: 'minor' }) => void
  setFlagsFromString('--no-expose-gc')
  return () => collect({ type: 'minor' })
}
