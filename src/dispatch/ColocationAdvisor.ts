import type { RunRecord, TaskRecord } from '../jobs/index.js'
import { InterferenceModel, type Neighbour } from '../placement/InterferenceModel.js'
import { Interner } from '../placement/Interner.js'
import { isServing, type WorkerRecord } from './WorkerRecord.js'

/** A worker's figure covers half a second, so a run must be this old to have shaped it. */
const FIGURE_AGE_MILLISECONDS = 700
/** Serving tasks answer slowly while they start. */
const SERVING_START_MILLISECONDS = 1500
/** A tail up to this share of its target counts as kept; the rest is for swings of the load. */
const KEPT_SHARE = 0.75
/** Coefficient of a pair never seen together: it lets one task of the image start and be watched. */
const UNKNOWN_COEFFICIENT = 1.5
/** Reports of a pair after which its coefficient counts as known. */
const KNOWN_AFTER_REPORTS = 4
/** The undisturbed tail follows lower figures quickly and higher ones slowly. */
const BASE_FALL_RATE = 0.2
const BASE_RISE_RATE = 0.005
/** The loads of an image are one band here: the platform's tails depend on the pair and not on the total. */
const LOAD_BAND = 0

/**
 * Learns which images disturb which serving images, and tells whether a task may fill beside what serves.
 *
 * Answers sites where most processors are reserved by serving tasks: interference is strong between few pairs of
 * images and absent between most, so tasks that fill lose nothing when they avoid the pairs that hurt.
 *
 * The learned quantity is 1 minus the undisturbed tail over the tail, which grows linearly with the processors
 * that the disturbing image uses.
 */
export class ColocationAdvisor {
  private readonly model = InterferenceModel.create()
  private readonly images = Interner.create()
  private readonly undisturbedTails = new Map<string, number>()
  private readonly reportCounts = new Map<string, number>()

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
    const filling = getFillingRuns(worker)
    const isSettled = filling.every(run => now - run.startedAt > FIGURE_AGE_MILLISECONDS) &&
      now - worker.fillChangedAt > FIGURE_AGE_MILLISECONDS
    if (!isSettled) return
    const neighbours = this.getNeighbours(worker, filling)
    for (const run of worker.runs.values()) {
      if (!isServing(run.task) || run.percent < 100 || run.usageFigure <= 0) continue
      if (now - run.startedAt < SERVING_START_MILLISECONDS) continue
      const { image } = run.task.step.specification
      const base = this.learnUndisturbedTail(image, run.usageFigure)
      const slowdown = 1 + Math.max(0, 1 - base / run.usageFigure)
      this.model.record(this.images.intern(image), neighbours, LOAD_BAND, slowdown, now)
      for (const other of filling) this.countReport(image, other.task.step.specification.image)
    }
  }

  /**
   * Returns how much of the tolerable disturbance on a worker would be used up with one more task that fills.
   * @param worker The worker.
   * @param task The task that fills.
   * @returns The greatest share over all serving tasks: up to 1 all targets are expected to be kept.
   */
  getPressure (worker: WorkerRecord, task: TaskRecord): number {
    if (worker.servingReserved === 0) return 0
    const { image, processorsMilli } = task.step.specification
    const added = processorsMilli / Math.max(1, worker.entry.capacity.processorsMilli)
    let worst = 0
    for (const [servingImage, targetMilliseconds] of getServingTargets(worker)) {
      const own = this.getCoefficient(servingImage, image) * added
      // A pair that is known to be harmless is welcome, however disturbed the serving task is by others.
      if (own < 0.02) continue
      let disturbance = own
      for (const run of worker.runs.values()) {
        if (!run.task.step.specification.fills) continue
        disturbance += this.getCoefficient(servingImage, run.task.step.specification.image) * getShare(worker, run)
      }
      worst = Math.max(worst, disturbance / this.getTolerance(servingImage, targetMilliseconds))
    }
    return worst
  }

  /**
   * Returns how much a run that fills disturbs a serving task.
   * @param worker The worker of both.
   * @param filling The run that fills.
   * @param serving The run that serves.
   * @returns The disturbance, 0 for none.
   */
  getBlame (worker: WorkerRecord, filling: RunRecord, serving: RunRecord): number {
    const { image } = serving.task.step.specification
    return this.getCoefficient(image, filling.task.step.specification.image) * getShare(worker, filling)
  }

  private getCoefficient (servingImage: string, image: string): number {
    const reports = this.reportCounts.get(`${servingImage} ${image}`) ?? 0
    const learned = this.model.getCoefficient(this.images.intern(servingImage), this.images.intern(image), LOAD_BAND)
    return reports >= KNOWN_AFTER_REPORTS ? learned : Math.max(learned, UNKNOWN_COEFFICIENT)
  }

  private getTolerance (servingImage: string, targetMilliseconds: number): number {
    const base = this.undisturbedTails.get(servingImage) ?? targetMilliseconds / 2
    return Math.max(0.05, 1 - base / (KEPT_SHARE * targetMilliseconds))
  }

  private learnUndisturbedTail (image: string, tail: number): number {
    const known = this.undisturbedTails.get(image) ?? tail
    const base = known + (tail - known) * (tail < known ? BASE_FALL_RATE : BASE_RISE_RATE)
    this.undisturbedTails.set(image, base)
    return base
  }

  private getNeighbours (worker: WorkerRecord, filling: RunRecord[]): Neighbour[] {
    const shares = new Map<number, number>()
    for (const run of filling) {
      const kind = this.images.intern(run.task.step.specification.image)
      const share = run.usageFigure / Math.max(1, worker.entry.capacity.processorsMilli)
      shares.set(kind, (shares.get(kind) ?? 0) + share)
    }
    return [...shares].map(([kind, share]) => ({ kind, share }))
  }

  private countReport (servingImage: string, image: string): void {
    const key = `${servingImage} ${image}`
    this.reportCounts.set(key, (this.reportCounts.get(key) ?? 0) + 1)
  }
}

/**
 * Returns the runs on a worker that fill.
 * @param worker The worker.
 * @returns The runs that are at work or about to be.
 */
export function getFillingRuns (worker: WorkerRecord): RunRecord[] {
  return [...worker.runs.values()].filter(run => run.task.step.specification.fills && run.state !== 'stopping')
}

/** The serving images of a worker with their strictest target. */
function getServingTargets (worker: WorkerRecord): Map<string, number> {
  const targets = new Map<string, number>()
  for (const run of worker.runs.values()) {
    const { image, targetMilliseconds } = run.task.step.specification
    if (targetMilliseconds > 0) targets.set(image, Math.min(targets.get(image) ?? Infinity, targetMilliseconds))
  }
  return targets
}

/** The share of a worker's processors that a run uses at its full pace. */
function getShare (worker: WorkerRecord, run: RunRecord): number {
  return run.task.step.specification.processorsMilli / Math.max(1, worker.entry.capacity.processorsMilli)
}
