import type { RunRecord, StepRecord, TaskRecord } from '../jobs/index.js'
import { INITIAL_EFFECT, ServingImageModel, type LearnedServingImage } from './ServingImageModel.js'
import { isServing, type WorkerRecord } from './WorkerRecord.js'

/** Serving tasks have high latencies while they warm up. */
const SERVING_WARM_UP_MILLISECONDS = 1500
/** The headroom that must remain after a best-effort task starts, as a margin for load changes. */
const MINIMUM_ADMISSION_HEADROOM = 1.35
/** Weights above this count as no interference: real effects are -4 or stronger, weaker ones are regression noise. */
const COMPATIBLE_EFFECT = -2.2
/** An effect counts as learned when its variance is at most this. */
const CONVERGED_VARIANCE = 4

/** What was learned, by serving image. */
export type LearnedEffects = Record<string, LearnedServingImage>

/** Whether the same best-effort images interfere with two serving images. */
export type SensitivityMatch = 'alike' | 'different' | 'unknown'

/**
 * Learns which best-effort images interfere with which serving images, and rates workers for a best-effort task.
 *
 * Designed for sites where serving tasks reserve most processors: interference is strong between few pairs of images
 * and absent between most, so best-effort tasks lose nothing by avoiding the pairs that interfere.
 *
 * The learned quantity is the headroom, that is, the latency target divided by the tail latency, which falls linearly
 * with the processors that an interfering image uses. Both the latencies and the processors in a report are those of
 * the last half second, so each report can be learned from, also just after a run has started. `InterferenceModel` in
 * `src/placement` attributes each sample to the current neighbours, and so attributes load changes to them too.
 */
export class ColocationAdvisor {
  private readonly servingImages = new Map<string, ServingImageModel>()
  private readonly bestEffortImages = new Set<string>()
  /** Increases when an image is new, or becomes or ceases to be compatible with a serving image. */
  revision = 0

  private constructor () {}

  /**
   * Creates an advisor without samples.
   * @returns The advisor.
   */
  static create (): ColocationAdvisor {
    return new ColocationAdvisor()
  }

  /**
   * Learns from the metrics of one report.
   * @param worker The worker, with the report applied.
   * @param now The monotonic time.
   */
  learn (worker: WorkerRecord, now: number): void {
    const shares = getUsedShares(worker)
    for (const [step, runs] of groupServingRuns(worker, now)) {
      const { image } = step.specification
      const headrooms = runs.map(run => run.task.step.specification.targetMilliseconds / run.usageFigure)
      const headroom = headrooms.reduce((sum, value) => sum + value, 0) / headrooms.length
      const images = [...shares.keys()]
      const wereCompatible = images.map(other => this.getEffect(image, other) === 0)
      this.getServingImage(image).learn(getStepKey(step), shares, headroom, now)
      const isChanged = images.some((other, index) => (this.getEffect(image, other) === 0) !== wereCompatible[index])
      if (isChanged) this.revision++
    }
  }

  /**
   * Returns the share of a worker's interference budget that would be used with one more best-effort task.
   * @param worker The worker.
   * @param task The best-effort task.
   * @returns The highest share over all serving tasks; up to 1, all latency targets are expected to be met.
   */
  getInterferencePressure (worker: WorkerRecord, task: TaskRecord): number {
    return this.rateInterference(worker, task, (effect, budget) => budget <= 0 ? Infinity : effect / budget)
  }

  /**
   * Returns by how much one more best-effort task would exceed a worker's interference budget. Compares workers that
   * have no budget left, or less than the task needs.
   * @param worker The worker.
   * @param task The best-effort task.
   * @returns The highest excess over all serving tasks, as an effect on their headroom; 0 for none.
   */
  getInterferenceExcess (worker: WorkerRecord, task: TaskRecord): number {
    return this.rateInterference(worker, task, (effect, budget) => effect - budget)
  }

  /** Returns the highest rating, at least 0, of the effect on the serving tasks and of the budget that they leave. */
  private rateInterference (
    worker: WorkerRecord, task: TaskRecord, rate: (effect: number, budget: number) => number
  ): number {
    const { image, processorsMilli } = task.step.specification
    this.addBestEffortImage(image)
    const added = processorsMilli / Math.max(1, worker.entry.capacity.processorsMilli)
    if (worker.servingReserved === 0) return 0
    const bestEffort = getBestEffortRuns(worker)
    const capacity = Math.max(1, worker.entry.capacity.processorsMilli)
    let highest = 0
    for (const serving of worker.runs.values()) {
      if (!isServing(serving.task)) continue
      const servingImage = serving.task.step.specification.image
      const addedEffect = this.getEffect(servingImage, image) * added
      // A compatible image is allowed even if other images already use up the budget of the serving task.
      if (addedEffect === 0) continue
      let requestedEffect = addedEffect
      let currentEffect = 0
      for (const run of bestEffort) {
        const effect = this.getEffect(servingImage, run.task.step.specification.image)
        requestedEffect += effect * getRequestedShare(worker, run)
        currentEffect += effect * run.usageFigure / capacity
      }
      const budget = this.getHeadroom(serving) + currentEffect - MINIMUM_ADMISSION_HEADROOM
      highest = Math.max(highest, rate(requestedEffect, budget))
    }
    return highest
  }

  /**
   * Returns by how much the headroom of a serving image would fall if a best-effort image used the whole worker.
   * @param servingImage The serving image.
   * @param image The best-effort image.
   * @returns The effect; 0 for compatible images.
   */
  getEffect (servingImage: string, image: string): number {
    const learned = this.servingImages.get(servingImage)?.getEffect(image)
    if (learned === undefined) return -INITIAL_EFFECT
    const [weight, variance] = learned
    if (variance > CONVERGED_VARIANCE) return Math.max(-weight, -INITIAL_EFFECT)
    return weight > COMPATIBLE_EFFECT ? 0 : -weight
  }

  /**
   * Returns the share of the known best-effort images that are compatible with all serving images of a worker.
   * @param worker The worker.
   * @returns The share; 1 for a worker without serving tasks.
   */
  getCompatibleImageShare (worker: WorkerRecord): number {
    const serving = getServingImages(worker)
    if (serving.size === 0 || this.bestEffortImages.size === 0) return 1
    let compatibleCount = 0
    for (const image of this.bestEffortImages) {
      if ([...serving].every(servingImage => this.getEffect(servingImage, image) === 0)) compatibleCount++
    }
    return compatibleCount / this.bestEffortImages.size
  }

  /**
   * Compares which best-effort images interfere with two serving images, over those with learned effects on both.
   * @param servingImage The first serving image.
   * @param otherImage The second serving image.
   * @returns `alike` when the same ones interfere, `different` when not, `unknown` without effects learned for both.
   */
  compareSensitivity (servingImage: string, otherImage: string): SensitivityMatch {
    let hasCommonPair = false
    for (const image of this.bestEffortImages) {
      if (!this.isLearned(servingImage, image) || !this.isLearned(otherImage, image)) continue
      if ((this.getEffect(servingImage, image) === 0) !== (this.getEffect(otherImage, image) === 0)) return 'different'
      hasCommonPair = true
    }
    return hasCommonPair ? 'alike' : 'unknown'
  }

  private isLearned (servingImage: string, image: string): boolean {
    const learned = this.servingImages.get(servingImage)?.getEffect(image)
    return learned !== undefined && learned[1] <= CONVERGED_VARIANCE
  }

  /** Returns the current headroom of a serving run, or the learned one of its image before the first metric. */
  private getHeadroom (serving: RunRecord): number {
    const { image, targetMilliseconds } = serving.task.step.specification
    if (serving.percent >= 100 && serving.usageFigure > 0) return targetMilliseconds / serving.usageFigure
    return this.getServingImage(image).getHeadroom()
  }

  /**
   * Exports what was learned, for the next owner.
   * @returns The learned effects.
   */
  export (): LearnedEffects {
    return Object.fromEntries([...this.servingImages].map(([image, model]) => [image, model.export()]))
  }

  /**
   * Imports what an earlier owner learned.
   * @param learned The learned effects.
   */
  import (learned: LearnedEffects): void {
    for (const [image, servingImage] of Object.entries(learned)) {
      const model = ServingImageModel.create()
      model.import(servingImage)
      this.servingImages.set(image, model)
      for (const other of Object.keys(servingImage.effects)) this.addBestEffortImage(other)
    }
    this.revision++
  }

  private addBestEffortImage (image: string): void {
    if (this.bestEffortImages.has(image)) return
    this.bestEffortImages.add(image)
    this.revision++
  }

  private getServingImage (image: string): ServingImageModel {
    const existing = this.servingImages.get(image)
    if (existing !== undefined) return existing
    const added = ServingImageModel.create()
    this.servingImages.set(image, added)
    return added
  }
}

/**
 * Returns the best-effort runs on a worker.
 * @param worker The worker.
 * @returns The runs that are starting or running.
 */
export function getBestEffortRuns (worker: WorkerRecord): RunRecord[] {
  return [...worker.runs.values()].filter(run => run.task.step.specification.fills && run.state !== 'stopping')
}

function getStepKey ({ index, occurrence }: StepRecord): string {
  return `${occurrence.job.submission.jobId}.${occurrence.number}.${index}`
}

/** Returns the serving runs of a worker that have warmed up, by step. */
function groupServingRuns (worker: WorkerRecord, now: number): Map<StepRecord, RunRecord[]> {
  const groups = new Map<StepRecord, RunRecord[]>()
  for (const run of worker.runs.values()) {
    if (!isServing(run.task) || run.percent < 100 || run.usageFigure <= 0) continue
    if (now - run.startedAt < SERVING_WARM_UP_MILLISECONDS) continue
    const group = groups.get(run.task.step)
    if (group === undefined) groups.set(run.task.step, [run])
    else group.push(run)
  }
  return groups
}

function getServingImages (worker: WorkerRecord): Set<string> {
  const images = new Set<string>()
  for (const run of worker.runs.values()) if (isServing(run.task)) images.add(run.task.step.specification.image)
  return images
}

/** Returns the share of a worker's processors that each best-effort image uses, also by runs that are being stopped. */
function getUsedShares (worker: WorkerRecord): Map<string, number> {
  const shares = new Map<string, number>()
  for (const run of worker.runs.values()) {
    const { fills, image } = run.task.step.specification
    if (!fills) continue
    const share = run.usageFigure / Math.max(1, worker.entry.capacity.processorsMilli)
    shares.set(image, (shares.get(image) ?? 0) + share)
  }
  return shares
}

/**
 * Returns the share of a worker's processors that a run requests, and uses at full pace.
 * @param worker The worker.
 * @param run The run.
 * @returns The share.
 */
export function getRequestedShare (worker: WorkerRecord, run: RunRecord): number {
  return run.task.step.specification.processorsMilli / Math.max(1, worker.entry.capacity.processorsMilli)
}
