import { RecursiveLeastSquares } from './RecursiveLeastSquares.js'

/** A learned weight with its variance. */
export type LearnedWeight = [weight: number, variance: number]

/** What was learned of one serving image: its headroom without neighbours, and the effect of each best-effort image. */
export interface LearnedServingImage {
  headroom: LearnedWeight
  effects: Record<string, LearnedWeight>
}

/** The assumed headroom of a serving image before its first sample. */
const INITIAL_HEADROOM = 2
/** The assumed effect of a best-effort image before its first sample; lets one of its tasks start and be observed. */
export const INITIAL_EFFECT = -2
/** Initial variance of an effect; effects between images reach 10. */
const EFFECT_VARIANCE = 25
/** Initial variance of the headroom of a step, whose load may have any phase. */
const HEADROOM_VARIANCE = 1.5
/** Variance of the mean headroom of the tasks of a step on one worker, which have the same load. */
const SAMPLE_NOISE_VARIANCE = 0.2
/** The load of a step swings with a period of 10 to 14 s, which changes its headroom by about 0.45 within a second. */
const HEADROOM_VARIANCE_PER_SECOND = 0.2
/** Lets effects be learned anew within some minutes after an image has changed. */
const EFFECT_VARIANCE_PER_SECOND = 0.001
/** A step without samples for this long has ended, or its headroom must be learned anew. */
const STEP_EXPIRY_MILLISECONDS = 15_000

interface StepHeadroom {
  /** The index of the feature whose weight is the current headroom of the step without best-effort neighbours. */
  index: number
  sampledAt: number
}

/**
 * Learns for one serving image the headroom of each of its steps and the effects of best-effort images on it.
 *
 * All tasks of a step have the same load at a time, and the loads of steps swing independently. So each step has its
 * own headroom, which may change within seconds. What remains of the difference between tasks of one step on
 * different workers comes from their neighbours, so that a pair of images is known after few samples.
 */
export class ServingImageModel {
  private readonly regression = RecursiveLeastSquares.create({
    maximumVariance: EFFECT_VARIANCE, noiseVariance: SAMPLE_NOISE_VARIANCE
  })

  private readonly effects = new Map<string, number>()
  private readonly steps = new Map<string, StepHeadroom>()
  private initialHeadroom: LearnedWeight = [INITIAL_HEADROOM, HEADROOM_VARIANCE]
  private effectsSampledAt = -Infinity

  private constructor () {}

  /**
   * Creates a model without samples.
   * @returns The model.
   */
  static create (): ServingImageModel {
    return new ServingImageModel()
  }

  /**
   * Learns from the tasks of one step on one worker.
   * @param stepKey Identifies the step.
   * @param shares The share of the worker's processors that each best-effort image uses.
   * @param headroom The mean of target divided by tail latency over the tasks.
   * @param now The monotonic time.
   */
  learn (stepKey: string, shares: ReadonlyMap<string, number>, headroom: number, now: number): void {
    const features: Array<[number, number]> = [[this.getStepFeature(stepKey, now), 1]]
    for (const [image, share] of shares) features.push([this.getEffectFeature(image), share])
    this.forgetEffects(now)
    this.regression.learn(features, headroom)
  }

  /**
   * Returns the learned effect of a best-effort image.
   * @param image The image.
   * @returns The effect on the headroom if the image used the whole worker; undefined before the first sample.
   */
  getEffect (image: string): LearnedWeight | undefined {
    const index = this.effects.get(image)
    return index === undefined ? undefined : this.getLearned(index)
  }

  /** The number of steps whose headrooms are kept. */
  get stepCount (): number {
    return this.steps.size
  }

  /** Returns the mean headroom of the steps without best-effort neighbours. */
  getHeadroom (): number {
    if (this.steps.size === 0) return this.initialHeadroom[0]
    let sum = 0
    for (const { index } of this.steps.values()) sum += this.regression.getWeight(index)
    return sum / this.steps.size
  }

  /**
   * Exports what was learned, for the next owner.
   * @returns The weights, rounded because writes are billed by byte.
   */
  export (): LearnedServingImage {
    const round = ([weight, variance]: LearnedWeight): LearnedWeight =>
      [Number(weight.toFixed(2)), Number(variance.toFixed(2))]
    return {
      headroom: round([this.getHeadroom(), HEADROOM_VARIANCE]),
      effects: Object.fromEntries([...this.effects].map(([image, index]) => [image, round(this.getLearned(index))]))
    }
  }

  /**
   * Imports what an earlier owner learned.
   * @param learned The weights.
   */
  import (learned: LearnedServingImage): void {
    this.initialHeadroom = [learned.headroom[0], HEADROOM_VARIANCE]
    for (const [image, weight] of Object.entries(learned.effects)) {
      this.effects.set(image, this.regression.addFeature(...weight))
    }
  }

  private getLearned (index: number): LearnedWeight {
    return [this.regression.getWeight(index), this.regression.getVariance(index)]
  }

  private getEffectFeature (image: string): number {
    const existing = this.effects.get(image)
    if (existing !== undefined) return existing
    const added = this.regression.addFeature(INITIAL_EFFECT, EFFECT_VARIANCE)
    this.effects.set(image, added)
    return added
  }

  private getStepFeature (stepKey: string, now: number): number {
    const existing = this.steps.get(stepKey)
    if (existing !== undefined) {
      this.regression.addVariance(existing.index, (now - existing.sampledAt) / 1000 * HEADROOM_VARIANCE_PER_SECOND)
      existing.sampledAt = now
      return existing.index
    }
    const initial: LearnedWeight = [this.getHeadroom(), HEADROOM_VARIANCE]
    const index = this.takeExpiredStep(now) ?? this.regression.addFeature(...initial)
    this.regression.resetFeature(index, ...initial)
    this.steps.set(stepKey, { index, sampledAt: now })
    return index
  }

  /** Returns the feature of an expired step, so that the number of features stays that of the running steps. */
  private takeExpiredStep (now: number): number | null {
    for (const [stepKey, { index, sampledAt }] of this.steps) {
      if (now - sampledAt < STEP_EXPIRY_MILLISECONDS) continue
      this.steps.delete(stepKey)
      return index
    }
    return null
  }

  private forgetEffects (now: number): void {
    const seconds = Math.max(0, now - this.effectsSampledAt) / 1000
    if (seconds < 1) return
    this.effectsSampledAt = now
    if (!Number.isFinite(seconds)) return
    for (const index of this.effects.values()) this.regression.addVariance(index, seconds * EFFECT_VARIANCE_PER_SECOND)
  }
}
