import type { UsageReport } from '../workers/WorkerProtocol.js'
import type { InterferenceMitigation, ReportedTask } from './InterferenceMitigation.js'
import { InterferenceModel, type Neighbour } from './InterferenceModel.js'
import type { KindRecord } from './KindCatalog.js'
import type { InterferenceAction } from './PlacementEngine.js'
import { DIMENSIONS, toDemand } from './resourceVector.js'
import type { SizeEstimator } from './SizeEstimator.js'
import { NO_SLOT } from './TaskTable.js'
import type { WorkerHealthTracker } from './WorkerHealthTracker.js'
import type { WorkerLedger } from './WorkerLedger.js'

/** The assumed age of a report when the worker's time of sending is unknown; reports lag by some seconds. */
const DEFAULT_REPORT_AGE_MILLISECONDS = 10_000

/** A measurement time lower than the last by at least this much indicates a new incarnation, not a reordered report. */
const CLOCK_RESET_MILLISECONDS = 60_000

/** A run counts as a success after this time, without waiting for its completion: batch tasks may run for hours. */
const SUCCESS_AFTER_MILLISECONDS = 20_000

/** The components of the engine that learn from usage reports or act on them. */
export interface UsageLearnerOptions {
  ledger: WorkerLedger
  getKind: (kind: number) => KindRecord
  sizes: SizeEstimator
  model: InterferenceModel
  mitigation: InterferenceMitigation
  health: WorkerHealthTracker
}

interface KindTotal {
  kind: number
  tasks: number
  share: number
  slowdown: number
}

/** Feeds usage reports to the size estimator, the interference model, the health tracker and the mitigation. */
export class UsageLearner {
  private readonly lastMeasuredAt = new Map<string, number>()

  private constructor (private readonly dependencies: UsageLearnerOptions) {}

  /**
   * Creates a learner.
   * @param options The components to feed.
   * @returns The learner.
   */
  static create (options: UsageLearnerOptions): UsageLearner {
    return new UsageLearner(options)
  }

  /**
   * Learns from a report; ignores duplicate and reordered reports.
   * @param workerId The worker.
   * @param report The report.
   * @param now The time.
   * @param workerTime The time on the worker's clock when it sent the report, if known.
   * @returns Actions against interference.
   */
  record (workerId: string, report: UsageReport, now: number, workerTime: number | undefined): InterferenceAction[] {
    const { ledger, sizes, health, mitigation } = this.dependencies
    const worker = ledger.workers.find(workerId)
    if (worker === NO_SLOT || !this.isNewReport(workerId, report)) return []
    const { tasks } = ledger
    const reported: ReportedTask[] = []
    for (const usage of report.tasks) {
      const slot = ledger.find(usage)
      if (slot === NO_SLOT || tasks.worker[slot] !== worker) continue
      const kind = this.dependencies.getKind(tasks.kind[slot])
      const used = toDemand({ ...usage, accelerators: 0 })
      // Throttled tasks are no samples, because they use less than their kind needs.
      if (tasks.throttleShare[slot] === 1) sizes.record(kind.name, used, tasks.usedMillicores[slot] < 0, now)
      tasks.usedMillicores[slot] = used[0]
      if (tasks.countedAsSuccess[slot] === 0 && now - tasks.startedAt[slot] >= SUCCESS_AFTER_MILLISECONDS) {
        tasks.countedAsSuccess[slot] = 1
        health.record(workerId, ledger.tasks.getRun(slot), kind.name, 'worked', now)
      }
      ledger.raiseCommitment(slot, used)
      reported.push({
        slot,
        usage,
        processorsCovered: tasks.reserved[slot * DIMENSIONS] >= used[0],
        memoryCovered: tasks.reserved[slot * DIMENSIONS + 1] >= used[1]
      })
    }
    const band = this.learnInterference(worker, reported, now)
    // Until a restored worker is listed, its capacity is unknown, and no commitment covers any use beyond it.
    if (!ledger.workers.hasBeenListed(worker)) return []
    const age = workerTime === undefined ? DEFAULT_REPORT_AGE_MILLISECONDS : Math.max(0, workerTime - report.measuredAt)
    return mitigation.decide(workerId, reported, band, now - age, now)
  }

  /**
   * Drops the state of workers that are no longer known.
   * @param isKnown Returns whether a worker is still known.
   */
  pruneWorkers (isKnown: (workerId: string) => boolean): void {
    for (const workerId of this.lastMeasuredAt.keys()) if (!isKnown(workerId)) this.lastMeasuredAt.delete(workerId)
  }

  private isNewReport (workerId: string, report: UsageReport): boolean {
    const last = this.lastMeasuredAt.get(workerId) ?? -Infinity
    if (report.measuredAt <= last && report.measuredAt > last - CLOCK_RESET_MILLISECONDS) return false
    this.lastMeasuredAt.set(workerId, report.measuredAt)
    return true
  }

  /** Records the mean slowdown of each kind on the worker in the model, and returns the worker's load band. */
  private learnInterference (worker: number, reported: readonly ReportedTask[], now: number): number {
    const { ledger, model } = this.dependencies
    const capacity = ledger.workers.capacity[worker * DIMENSIONS] / 1000
    if (capacity === 0) return 0
    const totals = new Map<number, KindTotal>()
    let load = 0
    for (const { slot, usage } of reported) {
      const kind = ledger.tasks.kind[slot]
      const total = totals.get(kind) ?? { kind, tasks: 0, share: 0, slowdown: 0 }
      total.tasks++
      total.share += usage.processors / capacity
      total.slowdown += usage.slowdown
      totals.set(kind, total)
      load += usage.processors / capacity
    }
    const band = InterferenceModel.getBand(load)
    for (const total of totals.values()) {
      const neighbours: Neighbour[] = []
      for (const other of totals.values()) {
        const share = other === total ? other.share * (1 - 1 / other.tasks) : other.share
        if (share > 0) neighbours.push({ kind: other.kind, share })
      }
      model.record(total.kind, neighbours, band, total.slowdown / total.tasks, now)
    }
    return band
  }
}
