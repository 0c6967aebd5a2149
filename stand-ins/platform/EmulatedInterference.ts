/** Options of emulated interference. */
export interface EmulatedInterferenceOptions {
  /** Selects the pairs of images that disturb each other, and the phases of the loads. */
  seed: number
}

/** A serving task whose tail latency is wanted. */
export interface ServingTask {
  /** The name of the step within its occurrence; the tasks of a step have one load. */
  stepName: string
  image: string
  targetMilliseconds: number
}

/** A best-effort task beside a serving task. */
export interface BestEffortNeighbour {
  image: string
  pacePercent: number
}

const LOAD_PERIOD_MILLISECONDS = 10_000
/** The tail latency without neighbours as a share of the target: its mean, and how far the load moves it. */
const MEAN_TAIL_SHARE = 0.55
const TAIL_SHARE_SWING = 0.25
const HEAVY_PAIR_SHARE = 0.6
/** What a neighbour at its full pace adds to the tail latency, as a share of the target. */
const HEAVY_DISTURBANCE = 0.6
const LIGHT_DISTURBANCE = 0.02

/** The tail latencies of serving tasks, which depend on their load and on the best-effort tasks beside them. */
export class EmulatedInterference {
  private readonly hashes = new Map<string, number>()

  private constructor (private readonly options: EmulatedInterferenceOptions) {}

  /**
   * Creates the interference of a site.
   * @param options The seed.
   * @returns The interference.
   */
  static create (options: EmulatedInterferenceOptions): EmulatedInterference {
    return new EmulatedInterference(options)
  }

  /**
   * Returns the tail latency of a serving task.
   * @param task The task.
   * @param neighbours The best-effort tasks on its worker.
   * @param now The monotonic time in milliseconds.
   * @returns The tail latency in whole milliseconds.
   */
  getTailMilliseconds (task: ServingTask, neighbours: BestEffortNeighbour[], now: number): number {
    const phase = now / LOAD_PERIOD_MILLISECONDS + this.hash(task.stepName)
    let share = MEAN_TAIL_SHARE + TAIL_SHARE_SWING * Math.sin(2 * Math.PI * phase)
    for (const { image, pacePercent } of neighbours) {
      share += (this.isHeavy(task.image, image) ? HEAVY_DISTURBANCE : LIGHT_DISTURBANCE) * pacePercent / 100
    }
    return Math.round(task.targetMilliseconds * share)
  }

  /** Returns whether best-effort tasks of an image disturb serving tasks of another one a lot. */
  isHeavy (servingImage: string, bestEffortImage: string): boolean {
    return this.hash(`${servingImage} ${bestEffortImage}`) < HEAVY_PAIR_SHARE
  }

  /** Returns a number from 0 to 1 that depends on the text and the seed only. */
  private hash (text: string): number {
    const known = this.hashes.get(text)
    if (known !== undefined) return known
    let hash = 0x811c9dc5 ^ this.options.seed
    for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
    hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b)
    hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35)
    const value = ((hash ^ hash >>> 16) >>> 0) / 0x100000000
    this.hashes.set(text, value)
    return value
  }
}
