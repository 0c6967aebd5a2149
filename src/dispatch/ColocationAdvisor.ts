import type { RunRecord, TaskRecord } from '../jobs/index.js'
import { RecursiveLeastSquares } from './RecursiveLeastSquares.js'
import { isServing, type WorkerRecord } from './WorkerRecord.js'

/** A worker's figure covers half a second, so a run must be this old to have shaped it. */
const METRIC_SETTLE_MILLISECONDS = 700
/** Serving tasks answer slowly while they start. */
const SERVING_WARM_UP_MILLISECONDS = 1500
/** The inverse of the tail must stay this far above the target's, for swings of the load. */
const MINIMUM_ADMISSION_HEADROOM = 1.35
/** The headroom of a serving image before it was seen. */
const INITIAL_HEADROOM = 2
/** The effect of a pair never seen together: it lets one task of the image start and be watched. */
const INITIAL_EFFECT = -2
/** Effects between images reach 10; the load of serving tasks swings their headroom by about 0.6. */
const EFFECT_VARIANCE = 25
const SAMPLE_NOISE_VARIANCE = 0.5
/** Half of what was learned is forgotten after some 1,400 samples of an image, or about 20 s. */
const FORGETTING_FACTOR = 0.9995
/** Pairs either do not disturb at all or by 4 and more; what lies between is noise of the regression. */
const COMPATIBLE_EFFECT = -2.2
/** An effect counts as learned when its variance has fallen below this. */
const CONVERGED_VARIANCE = 4

/** A learned weight with its variance. */
export type LearnedWeight = [weight: number, variance: number]

/** What was learned, by serving image: its headroom without neighbours, and the effect of each image beside it. */
export type LearnedEffects = Record<string, { headroom: LearnedWeight, effects: Record<string, LearnedWeight> }>

/** How the images that disturb one serving image compare with those that disturb another. */
export type SensitivityMatch = 'alike' | 'different' | 'unknown'

interface ServingImage {
  regression: RecursiveLeastSquares
  /** The index of the constant feature, whose weight is the headroom without neighbours. */
  constant: number
  /** The index of each image that was seen beside it. */
  features: Map<string, number>
}

/**
 * Learns which images disturb which serving images, and tells whether a task may fill beside what serves.
 *
 * Answers sites where most processors are reserved by serving tasks: interference is strong between few pairs of
 * images and absent between most, so tasks that fill lose nothing when they avoid the pairs that hurt.
 *
 * The learned quantity is the target over the tail, called headroom here: it falls linearly with the processors
 * that a disturbing image uses. The product's InterferenceModel corrects each sample on the neighbours at hand,
 * so that it blames them for swings of the load; a regression with a constant averages these out.
 */
export class ColocationAdvisor {
  private readonly servingImages = new Map<string, ServingImage>()
  private readonly bestEffortImages = new Set<string>()

  private constructor () {}

  /**
   * Creates an advisor that has seen nothing.
   * @returns The advisor.
   */
  static create (): ColocationAdvisor {
    return new ColocationAdvisor()
  }

  /**
   * Learns from the figures of one report.
   * @param worker The worker, with the figures applied to its runs.
   * @param now The monotonic time.
   */
  learn (worker: WorkerRecord, now: number): void {
    const bestEffort = getBestEffortRuns(worker)
    const isSettled = bestEffort.every(run => now - run.startedAt > METRIC_SETTLE_MILLISECONDS) &&
      now - worker.bestEffortChangedAt > METRIC_SETTLE_MILLISECONDS
    if (!isSettled) return
    const shares = getUsedShares(worker, bestEffort)
    for (const run of worker.runs.values()) {
      if (!isServing(run.task) || run.percent < 100 || run.usageFigure <= 0) continue
      if (now - run.startedAt < SERVING_WARM_UP_MILLISECONDS) continue
      const { image, targetMilliseconds } = run.task.step.specification
      const serving = this.getServingImage(image)
      const features: Array<[number, number]> = [[serving.constant, 1]]
      for (const [other, share] of shares) features.push([getFeature(serving, other), share])
      serving.regression.learn(features, targetMilliseconds / run.usageFigure)
    }
  }

  /**
   * Returns how much of the tolerable disturbance on a worker would be used up with one more task that fills.
   * @param worker The worker.
   * @param task The task that fills.
   * @returns The greatest share over all serving tasks: up to 1 all targets are expected to be kept.
   */
  getInterferencePressure (worker: WorkerRecord, task: TaskRecord): number {
    const { image, processorsMilli } = task.step.specification
    this.bestEffortImages.add(image)
    const added = processorsMilli / Math.max(1, worker.entry.capacity.processorsMilli)
    if (worker.servingReserved === 0) return 0
    const bestEffort = getBestEffortRuns(worker)
    const capacity = Math.max(1, worker.entry.capacity.processorsMilli)
    let highest = 0
    for (const serving of worker.runs.values()) {
      if (!isServing(serving.task)) continue
      const servingImage = serving.task.step.specification.image
      const addedEffect = this.getEffect(servingImage, image) * added
      // A pair that is known to be harmless is welcome, however disturbed the serving task is by others.
      if (addedEffect === 0) continue
      let requestedEffect = addedEffect
      let currentEffect = 0
      for (const run of bestEffort) {
        const effect = this.getEffect(servingImage, run.task.step.specification.image)
        requestedEffect += effect * getRequestedShare(worker, run)
        currentEffect += effect * run.usageFigure / capacity
      }
      const budget = this.getHeadroom(serving) + currentEffect - MINIMUM_ADMISSION_HEADROOM
      highest = Math.max(highest, budget <= 0 ? Infinity : requestedEffect / budget)
    }
    return highest
  }

  /**
   * Returns by how much the headroom of a serving image would fall if another image used the whole worker.
   * @param servingImage The image that serves.
   * @param image The image that fills.
   * @returns The effect, 0 for a harmless pair.
   */
  getEffect (servingImage: string, image: string): number {
    const serving = this.servingImages.get(servingImage)
    const feature = serving?.features.get(image)
    if (serving === undefined || feature === undefined) return -INITIAL_EFFECT
    const weight = serving.regression.getWeight(feature)
    if (serving.regression.getVariance(feature) > CONVERGED_VARIANCE) return Math.max(-weight, -INITIAL_EFFECT)
    return weight > COMPATIBLE_EFFECT ? 0 : -weight
  }

  /**
   * Returns the share of the known images that could fill on a worker without harm.
   * @param worker The worker.
   * @returns The share, 1 for a worker where nothing serves.
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
   * Compares which images disturb two serving images, over the images that were seen beside both.
   * @param servingImage One image that serves.
   * @param otherImage Another one.
   * @returns `alike` when all effects agree, `different` when some do not, `unknown` without a common learned pair.
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
    const serving = this.servingImages.get(servingImage)
    const feature = serving?.features.get(image)
    return serving !== undefined && feature !== undefined && serving.regression.getVariance(feature) <= CONVERGED_VARIANCE
  }

  /** The headroom of the moment, or the usual one of the image before the first figure. */
  private getHeadroom (serving: RunRecord): number {
    const { image, targetMilliseconds } = serving.task.step.specification
    if (serving.percent >= 100 && serving.usageFigure > 0) return targetMilliseconds / serving.usageFigure
    const learned = this.servingImages.get(image)
    return learned === undefined ? INITIAL_HEADROOM : learned.regression.getWeight(learned.constant)
  }

  /**
   * Returns what was learned, for the next owner.
   * @returns The weights, rounded, as each byte written is billed.
   */
  export (): LearnedEffects {
    const learned: LearnedEffects = {}
    for (const [image, { regression, constant, features }] of this.servingImages) {
      const getLearned = (index: number): LearnedWeight =>
        [Number(regression.getWeight(index).toFixed(2)), Number(regression.getVariance(index).toFixed(2))]
      learned[image] = {
        headroom: getLearned(constant),
        effects: Object.fromEntries([...features].map(([other, index]) => [other, getLearned(index)]))
      }
    }
    return learned
  }

  /**
   * Takes over what an earlier owner learned.
   * @param learned The weights.
   */
  import (learned: LearnedEffects): void {
    for (const [image, { headroom, effects }] of Object.entries(learned)) {
      const regression = createRegression()
      const constant = regression.addFeature(...headroom)
      const features = new Map<string, number>()
      for (const [other, weight] of Object.entries(effects)) {
        features.set(other, regression.addFeature(...weight))
        this.bestEffortImages.add(other)
      }
      this.servingImages.set(image, { regression, constant, features })
    }
  }

  private getServingImage (image: string): ServingImage {
    const existing = this.servingImages.get(image)
    if (existing !== undefined) return existing
    const regression = createRegression()
    const added = { regression, constant: regression.addFeature(INITIAL_HEADROOM), features: new Map() }
    this.servingImages.set(image, added)
    return added
  }
}

/**
 * Returns the runs on a worker that fill.
 * @param worker The worker.
 * @returns The runs that are at work or about to be.
 */
export function getBestEffortRuns (worker: WorkerRecord): RunRecord[] {
  return [...worker.runs.values()].filter(run => run.task.step.specification.fills && run.state !== 'stopping')
}

function createRegression (): RecursiveLeastSquares {
  return RecursiveLeastSquares.create({
    initialVariance: EFFECT_VARIANCE, noiseVariance: SAMPLE_NOISE_VARIANCE, forgettingFactor: FORGETTING_FACTOR
  })
}

function getFeature (serving: ServingImage, image: string): number {
  const existing = serving.features.get(image)
  if (existing !== undefined) return existing
  const added = serving.regression.addFeature(INITIAL_EFFECT)
  serving.features.set(image, added)
  return added
}

function getServingImages (worker: WorkerRecord): Set<string> {
  const images = new Set<string>()
  for (const run of worker.runs.values()) if (isServing(run.task)) images.add(run.task.step.specification.image)
  return images
}

/** The share of a worker's processors that each image was seen to use. */
function getUsedShares (worker: WorkerRecord, bestEffort: RunRecord[]): Map<string, number> {
  const shares = new Map<string, number>()
  for (const run of bestEffort) {
    const { image } = run.task.step.specification
    const share = run.usageFigure / Math.max(1, worker.entry.capacity.processorsMilli)
    shares.set(image, (shares.get(image) ?? 0) + share)
  }
  return shares
}

/**
 * Returns the share of a worker's processors that a run uses at its full pace.
 * @param worker The worker.
 * @param run The run.
 * @returns The share.
 */
export function getRequestedShare (worker: WorkerRecord, run: RunRecord): number {
  return run.task.step.specification.processorsMilli / Math.max(1, worker.entry.capacity.processorsMilli)
}
