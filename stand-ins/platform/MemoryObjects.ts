import type { Clock } from '../../src/shared/Clock.js'
import type { ListedObjectStore } from '../../src/table/ListedObjectStore.js'
import type { ReadOutcome } from '../../src/table/TableService.js'

/** Faults of the objects; all may be changed at any time. */
export interface ObjectFaults {
  /** Why the store refuses all calls, or null when it serves them. */
  refusal: string | null
  /** Calls get no response and have no effect. */
  isSilent: boolean
}

const RESPONSE_MILLISECONDS = 25
const TIMEOUT_MILLISECONDS = 3000

/** An object store in memory, on the clock of a test. */
export class MemoryObjects {
  readonly faults: ObjectFaults = { refusal: null, isSilent: false }
  readonly contents = new Map<string, Uint8Array>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates a store without objects.
   * @param options The clock for delays and time-outs.
   * @returns The store.
   */
  static create (options: { clock: Clock }): MemoryObjects {
    return new MemoryObjects(options.clock)
  }

  /**
   * Creates the client of one process.
   * @param isCutOff Returns whether the calls of the process get no response.
   * @returns The client.
   */
  createClient (isCutOff: () => boolean): ListedObjectStore {
    const call = async <Value>(getResult: () => Value): Promise<ReadOutcome<Value>> => {
      if (isCutOff() || this.faults.isSilent) {
        await this.wait(TIMEOUT_MILLISECONDS)
        return { kind: 'unavailable', reason: 'timeout' }
      }
      await this.wait(RESPONSE_MILLISECONDS)
      if (this.faults.refusal !== null) return { kind: 'unavailable', reason: this.faults.refusal }
      return { kind: 'ok', value: getResult() }
    }
    return {
      putObject: async (key, bytes) => await call(() => this.put(key, bytes)),
      putObjectIfAbsent: async (key, bytes) => await call(() => {
        if (this.contents.has(key)) return 'exists'
        this.put(key, bytes)
        return 'stored'
      }),
      getObject: async key => await call(() => this.contents.get(key) ?? null),
      deleteObject: async key => await call(() => {
        this.contents.delete(key)
        return null
      }),
      listObjects: async (prefix, after = '') => await call(() =>
        [...this.contents.keys()].filter(key => key.startsWith(prefix) && key > after).sort())
    }
  }

  private put (key: string, bytes: Uint8Array): null {
    this.contents.set(key, Uint8Array.from(bytes))
    return null
  }

  private wait (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.clock.setTimer(milliseconds, resolve) })
  }
}
