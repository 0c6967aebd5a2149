import { createHash } from 'node:crypto'

/** A kind of task together with the processors that its tasks on one worker really use. */
export interface KindLoad {
  kind: string
  processors: number
}

/** How kinds of task really behave, which the product has to learn from usage reports. */
export class InterferenceModel {
  private constructor (
    private readonly seed: number,
    private readonly penalties: Record<string, number>
  ) {}

  /**
   * Creates a model whose numbers follow from the seed and the names of the kinds.
   * @param options The seed, and fixed penalties by `kind|other kind` where a test needs them.
   * @returns The model.
   */
  static create (options: { seed: number, penalties?: Record<string, number> }): InterferenceModel {
    return new InterferenceModel(options.seed, options.penalties ?? {})
  }

  /**
   * Returns which share of the declared size a kind uses on average.
   * @param kind The kind of task.
   * @returns The factors, 0.4 to 1.3 for processors and 0.5 to 1.1 for memory.
   */
  getUsageFactors (kind: string): { processors: number, memory: number } {
    return { processors: 0.4 + 0.9 * this.drawUniform('processors', kind), memory: 0.5 + 0.6 * this.drawUniform('memory', kind) }
  }

  /**
   * Returns how much slower a kind runs than alone on its worker.
   * @param kind The kind of task.
   * @param others The other tasks of the worker, by kind.
   * @param capacity The processors of the worker.
   * @param used The processors in use, of all tasks.
   * @returns 1 when undisturbed, 2 when half as fast.
   */
  getSlowdown (kind: string, others: KindLoad[], capacity: number, used: number): number {
    const disturbance = others
      .map(other => this.getPenalty(kind, other.kind) * Math.min(1, other.processors / capacity))
      .reduce((sum, penalty) => sum + penalty, 0)
    return (1 + disturbance) * Math.max(1, used / capacity)
  }

  /** A quarter of the pairs of kinds disturb each other; the disturbance need not be mutual. */
  private getPenalty (kind: string, otherKind: string): number {
    const fixed = this.penalties[`${kind}|${otherKind}`]
    if (fixed !== undefined) return fixed
    const drawn = this.drawUniform('pair', kind, otherKind)
    return drawn < 0.75 ? 0 : (drawn - 0.75) * 8
  }

  private drawUniform (...names: string[]): number {
    return createHash('sha256').update(JSON.stringify([this.seed, ...names])).digest().readUInt32BE(0) / 0x100000000
  }
}
