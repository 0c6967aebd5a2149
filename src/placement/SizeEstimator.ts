import { z } from 'zod'
import { DecayingHistogram } from './DecayingHistogram.js'
import type { ResourceVector } from './resourceVector.js'

/** A reservation is at least this share of the declared size, so that a sudden rise in use finds some room. */
const MINIMUM_DECLARED_SHARE = 0.2

/** Processors can be throttled, so that one task in twenty may use more than is reserved. */
const PROCESSOR_QUANTILE = 0.95

/** Memory cannot be throttled, so that nearly every task must fit. */
const MEMORY_QUANTILE = 0.99

/** Fewer samples or tasks than these say too little about a kind; its tasks reserve what they declare. */
const MINIMUM_SAMPLES = 20
const MINIMUM_TASKS = 5

/** Long enough to remember the peaks of half an hour, short enough to follow a load shift. */
const HALF_LIFE_MILLISECONDS = 30 * 60_000

const FIRST_BUCKET_MILLICORES = 10
const FIRST_BUCKET_MEGABYTES = 8

interface KindEstimate {
  millicores: DecayingHistogram
  memoryMegabytes: DecayingHistogram
  tasks: number
  /** The quantiles, computed anew when a sample has arrived. */
  quantiles: [millicores: number, memoryMegabytes: number] | undefined
}

const exportedHistogramSchema = z.array(z.tuple([z.int().nonnegative(), z.number().nonnegative()]))

/** The form of the learned sizes in a snapshot, by kind. */
export const exportedSizesSchema = z.record(z.string(), z.object({
  millicores: exportedHistogramSchema,
  memoryMegabytes: exportedHistogramSchema,
  tasks: z.number()
}))

/** Learns how much the tasks of each kind use, from lagging reports. */
export class SizeEstimator {
  private readonly estimates = new Map<string, KindEstimate>()

  private constructor () {}

  /**
   * Creates an estimator that knows no kind.
   * @returns The estimator.
   */
  static create (): SizeEstimator {
    return new SizeEstimator()
  }

  /**
   * Learns from one task of a report.
   * @param kind The kind of the task.
   * @param used What the task used.
   * @param firstReport Whether this is the first report on the task.
   * @param now The time.
   */
  record (kind: string, used: ResourceVector, firstReport: boolean, now: number): void {
    const estimate = this.getOrCreate(kind)
    estimate.millicores.add(used[0], now)
    estimate.memoryMegabytes.add(used[1], now)
    if (firstReport) estimate.tasks++
    estimate.quantiles = undefined
  }

  /**
   * Returns what a task is to reserve.
   * @param kind The kind of the task.
   * @param declared Its declared size.
   * @param now The time.
   * @returns The larger of a share of the declared size and the learned quantile; the declared size while too little
   * is known. Accelerators are always reserved as declared, because reports do not tell of them.
   */
  getReservation (kind: string, declared: ResourceVector, now: number): ResourceVector {
    const estimate = this.estimates.get(kind)
    if (estimate === undefined || estimate.tasks < MINIMUM_TASKS) return declared
    if (estimate.millicores.getCount(now) < MINIMUM_SAMPLES) return declared
    const [millicores, memoryMegabytes] = estimate.quantiles ??= [
      Math.ceil(estimate.millicores.getQuantile(PROCESSOR_QUANTILE)),
      Math.ceil(estimate.memoryMegabytes.getQuantile(MEMORY_QUANTILE))
    ]
    return [
      Math.max(Math.ceil(declared[0] * MINIMUM_DECLARED_SHARE), millicores),
      Math.max(Math.ceil(declared[1] * MINIMUM_DECLARED_SHARE), memoryMegabytes),
      declared[2]
    ]
  }

  export (): z.infer<typeof exportedSizesSchema> {
    return Object.fromEntries([...this.estimates].map(([kind, estimate]) => [kind, {
      millicores: estimate.millicores.export(),
      memoryMegabytes: estimate.memoryMegabytes.export(),
      tasks: estimate.tasks
    }]))
  }

  /**
   * Takes over the learned sizes of a snapshot.
   * @param exported The sizes.
   */
  import (exported: z.infer<typeof exportedSizesSchema>): void {
    for (const [kind, sizes] of Object.entries(exported)) {
      const estimate = this.getOrCreate(kind)
      estimate.millicores.import(sizes.millicores)
      estimate.memoryMegabytes.import(sizes.memoryMegabytes)
      estimate.tasks = sizes.tasks
      estimate.quantiles = undefined
    }
  }

  private getOrCreate (kind: string): KindEstimate {
    let estimate = this.estimates.get(kind)
    if (estimate === undefined) {
      const halfLifeMilliseconds = HALF_LIFE_MILLISECONDS
      estimate = {
        millicores: DecayingHistogram.create({ firstBucketBound: FIRST_BUCKET_MILLICORES, halfLifeMilliseconds }),
        memoryMegabytes: DecayingHistogram.create({ firstBucketBound: FIRST_BUCKET_MEGABYTES, halfLifeMilliseconds }),
        tasks: 0,
        quantiles: undefined
      }
      this.estimates.set(kind, estimate)
    }
    return estimate
  }
}
