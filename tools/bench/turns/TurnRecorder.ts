/** The part of an object whose method is measured. */
type Methods<Name extends string> = Record<Name, (...parameters: never[]) => unknown>

/** The durations of the calls of one method. */
export interface TurnDurations {
  count: number
  sumMilliseconds: number
  medianMilliseconds: number
  /** The 99th percentile. */
  highMilliseconds: number
  longestMilliseconds: number
}

/** Records how long calls of methods take, without those that other recorded calls make. */
export class TurnRecorder {
  /** Whether calls are recorded. */
  isRecording = false
  private isInCall = false
  private readonly durations = new Map<string, number[]>()

  private constructor () {}

  /**
   * Creates a recorder that records nothing yet.
   * @returns The recorder.
   */
  static create (): TurnRecorder {
    return new TurnRecorder()
  }

  /**
   * Measures the calls of a method from now on.
   * @param owner The object, mostly a prototype, whose method is replaced.
   * @param method The name of the method, which returns no promise.
   */
  observe<Name extends string> (owner: Methods<Name>, method: Name): void {
    const call = owner[method]
    const record = (run: () => unknown): unknown => this.record(method, run)
    owner[method] = function (this: unknown, ...parameters: never[]) {
      return record(() => call.apply(this, parameters))
    }
  }

  /**
   * Returns the recorded durations of a method.
   * @param method The name of the method.
   * @returns The durations; 0 without a call.
   */
  getDurations (method: string): TurnDurations {
    const sorted = [...this.durations.get(method) ?? []].sort((left, right) => left - right)
    const getQuantile = (share: number) => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
    return {
      count: sorted.length,
      sumMilliseconds: sorted.reduce((sum, value) => sum + value, 0),
      medianMilliseconds: getQuantile(0.5),
      highMilliseconds: getQuantile(0.99),
      longestMilliseconds: getQuantile(1)
    }
  }

  private record (method: string, call: () => unknown): unknown {
    if (!this.isRecording || this.isInCall) return call()
    this.isInCall = true
    const start = performance.now()
    try {
      return call()
    } finally {
      const durations = this.durations.get(method) ?? []
      this.durations.set(method, durations)
      durations.push(performance.now() - start)
      this.isInCall = false
    }
  }
}
