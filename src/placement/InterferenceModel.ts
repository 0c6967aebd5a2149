import { z } from 'zod'

/** A kind that runs on the same worker as the examined task, with the share of the processors that its tasks use. */
export interface Neighbour {
  kind: number
  share: number
}

/** Whether coefficients are learned per pair of kinds, per interfering kind only, or not at all. */
export type InterferenceGrouping = 'pair' | 'kind' | 'none'

/** The upper bounds of all load bands but the highest, as shares of a worker's processors in use. */
const BAND_UPPER_BOUNDS = [0.6, 0.85]

const BAND_COUNT = BAND_UPPER_BOUNDS.length + 1

/** The limit of learned kinds, including one reserved column; it keeps the table below 2 MB. */
const MAXIMUM_KINDS = 256
const INITIAL_KINDS = 16

/** The part of a prediction error that one report corrects; higher values follow the noise of single reports. */
const LEARNING_RATE = 0.2

/** The constant share of the ambient slowdown, which no neighbour explains; neighbours mostly have 0.05 to 0.5. */
const AMBIENT_SHARE = 0.1

/** Keeps the correction finite when the neighbours have very small shares. */
const REGULARIZATION = 0.01

/** The half-life of coefficients without new observations; old ones lose relevance as kinds change with releases. */
const HALF_LIFE_MILLISECONDS = 60 * 60_000

const DECAY_INTERVAL_MILLISECONDS = 60_000

/** The smallest coefficient that is written to a snapshot. */
const MINIMUM_EXPORTED_COEFFICIENT = 0.01

/** The schema of the learned interference in a snapshot; a null neighbour denotes the ambient slowdown. */
export const exportedInterferenceSchema = z.array(z.object({
  kind: z.string(),
  neighbour: z.string().nullable(),
  band: z.int().min(0).max(BAND_COUNT - 1),
  coefficient: z.number().nonnegative()
}))

/**
 * Learns how much kinds slow each other down, per pair of kinds and load band, from the reported slowdowns of tasks
 * that run beside several other kinds.
 *
 * The predicted slowdown is 1 plus, for each neighbour, the coefficient of the pair times the neighbour's share of the
 * processors. Each report corrects the coefficients by the prediction error (normalized least mean squares), so that a
 * slowdown is gradually attributed to the kinds that are present whenever it occurs.
 */
export class InterferenceModel {
  private kindCount = INITIAL_KINDS
  private coefficients = new Float32Array(INITIAL_KINDS * INITIAL_KINDS * BAND_COUNT)
  private decayedAt: number | undefined
  private hasLearned = false

  private constructor (private readonly grouping: InterferenceGrouping) {}

  /**
   * Creates a model without learned interference.
   * @param options The grouping of the coefficients.
   * @returns The model.
   */
  static create (options: { grouping?: InterferenceGrouping } = {}): InterferenceModel {
    return new InterferenceModel(options.grouping ?? 'pair')
  }

  /** Whether the model has learned nothing yet, so that every prediction is 1. */
  get isEmpty (): boolean {
    return !this.hasLearned
  }

  /**
   * Returns the load band of a worker.
   * @param load The share of its processors in use.
   * @returns The band, from 0.
   */
  static getBand (load: number): number {
    const band = BAND_UPPER_BOUNDS.findIndex(bound => load < bound)
    return band === -1 ? BAND_UPPER_BOUNDS.length : band
  }

  /**
   * Learns from the reported slowdown of a kind on a worker.
   * @param kind The kind.
   * @param neighbours The kinds of the other tasks on the worker.
   * @param band The load band of the worker.
   * @param slowdown The slowdown of the kind, 1 without interference.
   * @param now The time.
   */
  record (kind: number, neighbours: readonly Neighbour[], band: number, slowdown: number, now: number): void {
    this.decay(now)
    if (this.grouping === 'none') return
    const learnable = neighbours.filter(neighbour => this.includeKind(Math.max(kind, neighbour.kind)))
    if (!this.includeKind(kind)) return
    this.hasLearned = true
    const error = slowdown - this.predict(kind, learnable, band)
    let norm = REGULARIZATION + AMBIENT_SHARE ** 2
    for (const neighbour of learnable) norm += neighbour.share ** 2
    const step = LEARNING_RATE * error / norm
    for (const neighbour of learnable) this.adjust(this.getIndex(kind, neighbour.kind, band), step * neighbour.share)
    this.adjust(this.getAmbientIndex(kind, band), step * AMBIENT_SHARE)
  }

  /**
   * Predicts the slowdown of a kind.
   * @param kind The kind.
   * @param neighbours The kinds of the other tasks on the worker.
   * @param band The load band of the worker.
   * @returns The slowdown, 1 without interference.
   */
  predict (kind: number, neighbours: readonly Neighbour[], band: number): number {
    if (this.grouping === 'none' || kind + 1 >= this.kindCount) return 1
    let slowdown = 1 + this.coefficients[this.getAmbientIndex(kind, band)] * AMBIENT_SHARE
    for (const neighbour of neighbours) slowdown += this.getCoefficient(kind, neighbour.kind, band) * neighbour.share
    return slowdown
  }

  /**
   * Returns how much one kind slows down another.
   * @param kind The kind that is slowed down.
   * @param neighbour The interfering kind.
   * @param band The load band of the worker.
   * @returns The slowdown that the neighbour would add if it used all processors.
   */
  getCoefficient (kind: number, neighbour: number, band: number): number {
    if (kind + 1 >= this.kindCount || neighbour + 1 >= this.kindCount) return 0
    return this.coefficients[this.getIndex(kind, neighbour, band)]
  }

  /**
   * Exports the coefficients with the names of the kinds.
   * @param getName Returns the name of a kind.
   * @returns The coefficients.
   */
  export (getName: (kind: number) => string): z.infer<typeof exportedInterferenceSchema> {
    const exported: z.infer<typeof exportedInterferenceSchema> = []
    this.coefficients.forEach((value, index) => {
      if (value < MINIMUM_EXPORTED_COEFFICIENT) return
      const pair = Math.floor(index / BAND_COUNT)
      const neighbour = pair % this.kindCount
      exported.push({
        kind: this.grouping === 'pair' ? getName(Math.floor(pair / this.kindCount)) : '',
        neighbour: neighbour === 0 ? null : getName(neighbour - 1),
        band: index % BAND_COUNT,
        coefficient: Number(value.toPrecision(4))
      })
    })
    return exported
  }

  /**
   * Imports the coefficients of a snapshot.
   * @param exported The coefficients.
   * @param getNumber Returns the number of a kind.
   */
  import (exported: z.infer<typeof exportedInterferenceSchema>, getNumber: (name: string) => number): void {
    for (const { kind, neighbour, band, coefficient } of exported) {
      const number = this.grouping === 'pair' ? getNumber(kind) : 0
      const neighbourNumber = neighbour === null ? -1 : getNumber(neighbour)
      if (!this.includeKind(Math.max(number, neighbourNumber))) continue
      this.coefficients[this.getIndex(number, neighbourNumber, band)] = coefficient
      this.hasLearned = true
    }
  }

  private adjust (index: number, change: number): void {
    this.coefficients[index] = Math.max(0, this.coefficients[index] + change)
  }

  /** Returns the index of a coefficient. Column 0 holds the ambient slowdown; the columns of kinds start at 1. */
  private getIndex (kind: number, neighbour: number, band: number): number {
    const row = this.grouping === 'pair' ? kind : 0
    return (row * this.kindCount + neighbour + 1) * BAND_COUNT + band
  }

  private getAmbientIndex (kind: number, band: number): number {
    return this.getIndex(kind, -1, band)
  }

  /** Grows the table to include a kind; returns false when the kind exceeds the limit and is not learned. */
  private includeKind (kind: number): boolean {
    if (kind + 1 >= MAXIMUM_KINDS) return false
    while (kind + 1 >= this.kindCount) this.grow()
    return true
  }

  private grow (): void {
    const previousCount = this.kindCount
    const previous = this.coefficients
    this.kindCount *= 2
    this.coefficients = new Float32Array(this.kindCount * this.kindCount * BAND_COUNT)
    const rowLength = previousCount * BAND_COUNT
    for (let row = 0; row < previousCount; row++) {
      this.coefficients.set(
        previous.subarray(row * rowLength, (row + 1) * rowLength), row * this.kindCount * BAND_COUNT)
    }
  }

  private decay (now: number): void {
    this.decayedAt ??= now
    const elapsed = now - this.decayedAt
    if (elapsed < DECAY_INTERVAL_MILLISECONDS) return
    this.decayedAt = now
    const factor = 2 ** (-elapsed / HALF_LIFE_MILLISECONDS)
    for (let index = 0; index < this.coefficients.length; index++) this.coefficients[index] *= factor
  }
}
