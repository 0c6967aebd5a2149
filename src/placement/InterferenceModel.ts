import { z } from 'zod'

/** A kind of task beside another one, with the share of the worker's processors that its tasks use. */
export interface Neighbour {
  kind: number
  share: number
}

/** Which pairs are told apart: each pair of kinds, only the disturbing kind, or nothing. */
export type InterferenceGrouping = 'pair' | 'kind' | 'none'

/** The upper bounds of the lower load bands, as shares of a worker's processors in use. */
const BAND_UPPER_BOUNDS = [0.6, 0.85]

const BAND_COUNT = BAND_UPPER_BOUNDS.length + 1

/** Kinds beyond this number are not learned, so that the table stays under 2 MB. */
const MAXIMUM_KINDS = 256
const INITIAL_KINDS = 16

/** How much of an error one report corrects; higher values follow the noise of single reports. */
const LEARNING_RATE = 0.2

/** The strength of the part of a slowdown that no neighbour explains, against shares that are mostly 0.05 to 0.5. */
const AMBIENT_SHARE = 0.1

/** Keeps the correction finite when the neighbours are tiny. */
const REGULARIZATION = 0.01

/** What is not seen again for an hour counts half; kinds change with their releases. */
const HALF_LIFE_MILLISECONDS = 60 * 60_000

const DECAY_INTERVAL_MILLISECONDS = 60_000

/** The smallest coefficient that a snapshot keeps. */
const MINIMUM_EXPORTED_COEFFICIENT = 0.01

/** The form of the learned interference in a snapshot; a null neighbour is the part that none explains. */
export const exportedInterferenceSchema = z.array(z.object({
  kind: z.string(),
  neighbour: z.string().nullable(),
  band: z.int().min(0).max(BAND_COUNT - 1),
  coefficient: z.number().nonnegative()
}))

/**
 * Learns how much kinds slow each other down, per pair and load band, from reports of tasks with mixed neighbours.
 *
 * The predicted slowdown is 1 plus a coefficient per pair times the neighbour's share of the processors. Each report
 * corrects the coefficients by the error of the prediction (normalized least mean squares), so that the blame of a
 * mixed neighbourhood settles on the kinds that are there whenever the slowdown is.
 */
export class InterferenceModel {
  private kindCount = INITIAL_KINDS
  private coefficients = new Float32Array(INITIAL_KINDS * INITIAL_KINDS * BAND_COUNT)
  private decayedAt: number | undefined
  private hasLearned = false

  private constructor (private readonly grouping: InterferenceGrouping) {}

  /**
   * Creates a model that knows no interference.
   * @param options Which pairs are told apart.
   * @returns The model.
   */
  static create (options: { grouping?: InterferenceGrouping } = {}): InterferenceModel {
    return new InterferenceModel(options.grouping ?? 'pair')
  }

  /** Whether nothing was learned yet, so that every prediction is 1. */
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
   * Learns from one task of a report.
   * @param kind The kind of the task.
   * @param neighbours The other tasks on the worker, by kind.
   * @param band The load band of the worker.
   * @param slowdown The slowdown of the task, 1 when undisturbed.
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
   * @param neighbours The other tasks on the worker, by kind.
   * @param band The load band of the worker.
   * @returns The slowdown, 1 when undisturbed.
   */
  predict (kind: number, neighbours: readonly Neighbour[], band: number): number {
    if (this.grouping === 'none' || kind + 1 >= this.kindCount) return 1
    let slowdown = 1 + this.coefficients[this.getAmbientIndex(kind, band)] * AMBIENT_SHARE
    for (const neighbour of neighbours) slowdown += this.getCoefficient(kind, neighbour.kind, band) * neighbour.share
    return slowdown
  }

  /**
   * Returns how much one kind disturbs another.
   * @param kind The disturbed kind.
   * @param neighbour The disturbing kind.
   * @param band The load band of the worker.
   * @returns The slowdown that the neighbour would add by using all processors.
   */
  getCoefficient (kind: number, neighbour: number, band: number): number {
    if (kind + 1 >= this.kindCount || neighbour + 1 >= this.kindCount) return 0
    return this.coefficients[this.getIndex(kind, neighbour, band)]
  }

  /**
   * Writes the coefficients with the names of the kinds.
   * @param getName The name of a kind.
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
   * Takes over the coefficients of a snapshot.
   * @param exported The coefficients.
   * @param getNumber The number of a kind.
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

  /** Column 0 holds the part that no neighbour explains, so that the columns of kinds begin at 1. */
  private getIndex (kind: number, neighbour: number, band: number): number {
    const row = this.grouping === 'pair' ? kind : 0
    return (row * this.kindCount + neighbour + 1) * BAND_COUNT + band
  }

  private getAmbientIndex (kind: number, band: number): number {
    return this.getIndex(kind, -1, band)
  }

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
      this.coefficients.set(previous.subarray(row * rowLength, (row + 1) * rowLength), row * this.kindCount * BAND_COUNT)
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
