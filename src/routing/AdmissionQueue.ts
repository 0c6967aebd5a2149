import type { WorkClass } from '../policy/CompiledPolicy.js'

/** A request that waits for a slot. */
export interface QueuedRequest {
  service: string
  caller: string
  workClass: WorkClass
  mayRepeat: boolean
  /** By the monotonic clock, in milliseconds. */
  deadlineAt: number
  /** How long the work is expected to take, in milliseconds. */
  expectedMilliseconds: number
}

/** Requests that one entry instance keeps waiting for a service; about 4 MB with their bodies. */
const MAXIMUM_LENGTH = 2000

type CallerQueues<Entry> = Map<string, Entry[]>

/**
 * The requests of one service that wait for a slot: urgent ones first, and callers of a class by turns, so that
 * one caller cannot starve the rest.
 */
export class AdmissionQueue<Entry extends QueuedRequest> {
  private readonly classes: Record<WorkClass, CallerQueues<Entry>> = { urgent: new Map(), 'may-wait': new Map() }
  private length = 0

  private constructor (private readonly maximumLength: number) {}

  /**
   * Creates an empty queue.
   * @param options The greatest number of requests.
   * @returns The queue.
   */
  static create<Entry extends QueuedRequest> (options: { maximumLength?: number } = {}): AdmissionQueue<Entry> {
    return new AdmissionQueue<Entry>(options.maximumLength ?? MAXIMUM_LENGTH)
  }

  /**
   * Returns how many requests wait.
   * @returns The number of all classes and callers.
   */
  getLength (): number {
    return this.length
  }

  /**
   * Counts the requests that would be served before a new one of this caller.
   * @param workClass The class of the new request.
   * @param caller The caller of the new request.
   * @returns The number of requests ahead.
   */
  countAhead (workClass: WorkClass, caller: string): number {
    const own = this.classes[workClass].get(caller)?.length ?? 0
    let ahead = workClass === 'may-wait' ? countEntries(this.classes.urgent) : 0
    for (const entries of this.classes[workClass].values()) ahead += Math.min(entries.length, own + 1)
    return ahead
  }

  /**
   * Adds a request. When the queue is full, the newest request of the caller with the most waiting is shed,
   * work that may wait before urgent work.
   * @param entry The request.
   * @returns The request that was shed, which may be the new one, or null.
   */
  push (entry: Entry): Entry | null {
    const queues = this.classes[entry.workClass]
    const entries = queues.get(entry.caller)
    if (entries === undefined) queues.set(entry.caller, [entry])
    else entries.push(entry)
    this.length++
    return this.length > this.maximumLength ? this.shed() : null
  }

  /**
   * Takes the next request that an attempt may serve.
   * @param canServe Whether a slot is there for the request.
   * @returns The request, or null when none can be served.
   */
  shift (canServe: (entry: Entry) => boolean = () => true): Entry | null {
    for (const workClass of ['urgent', 'may-wait'] as const) {
      const queues = this.classes[workClass]
      for (const [caller, entries] of queues) {
        const entry = entries[0]
        if (!canServe(entry)) continue
        entries.shift()
        this.length--
        queues.delete(caller)
        // The caller goes behind the others of its class.
        if (entries.length > 0) queues.set(caller, entries)
        return entry
      }
    }
    return null
  }

  /**
   * Returns the next request of a class, without taking it.
   * @param workClass The class.
   * @returns The request, or null when none waits.
   */
  peek (workClass: WorkClass): Entry | null {
    const first = this.classes[workClass].values().next()
    return first.done === true ? null : first.value[0]
  }

  /**
   * Counts the requests of a class.
   * @param workClass The class.
   * @returns How many wait.
   */
  count (workClass: WorkClass): number {
    return countEntries(this.classes[workClass])
  }

  /**
   * Removes every request that can no longer be answered in time.
   * @param now The monotonic time in milliseconds.
   * @returns The removed requests.
   */
  removeUnservable (now: number): Entry[] {
    return this.removeWhere(entry => entry.deadlineAt - now < entry.expectedMilliseconds)
  }

  /**
   * Removes one request.
   * @param removed The request.
   * @returns Whether it was still waiting.
   */
  remove (removed: Entry): boolean {
    const queues = this.classes[removed.workClass]
    const entries = queues.get(removed.caller)
    const position = entries?.indexOf(removed) ?? -1
    if (entries === undefined || position < 0) return false
    entries.splice(position, 1)
    if (entries.length === 0) queues.delete(removed.caller)
    this.length--
    return true
  }

  private removeWhere (matches: (entry: Entry) => boolean): Entry[] {
    const removed: Entry[] = []
    for (const queues of Object.values(this.classes)) {
      for (const [caller, entries] of queues) {
        const kept = entries.filter(entry => !matches(entry))
        if (kept.length === entries.length) continue
        removed.push(...entries.filter(matches))
        if (kept.length === 0) queues.delete(caller)
        else queues.set(caller, kept)
      }
    }
    this.length -= removed.length
    return removed
  }

  private shed (): Entry | null {
    const queues = this.classes['may-wait'].size > 0 ? this.classes['may-wait'] : this.classes.urgent
    let longest: Entry[] = []
    for (const entries of queues.values()) if (entries.length > longest.length) longest = entries
    const shed = longest[longest.length - 1]
    this.remove(shed)
    return shed
  }
}

function countEntries (queues: CallerQueues<unknown>): number {
  let count = 0
  for (const entries of queues.values()) count += entries.length
  return count
}
