import type { TaskUsage } from '../workers/WorkerProtocol.js'
import type { InterferenceModel } from './InterferenceModel.js'
import type { KindRecord } from './KindCatalog.js'
import type { InterferenceAction } from './PlacementEngine.js'
import { DIMENSIONS } from './resourceVector.js'
import { NO_SLOT } from './TaskTable.js'
import type { WorkerLedger } from './WorkerLedger.js'

/** Urgent tasks slower than this call for a step; below the lower bound steps are taken back. */
const HIGH_SLOWDOWN = 1.3
const LOW_SLOWDOWN = 1.1

/** One high report may be noise; two in a row are not. */
const REQUIRED_HIGH_REPORTS = 2

/** Time for a step to show in a lagging report before the next step on the same worker. */
const ACTION_INTERVAL_MILLISECONDS = 10_000

/** An action reaches the worker with the next exchange; a report counts as newer when measured after this. */
const ACTION_EFFECT_MILLISECONDS = 2_000

/** How long a worker must be quiet before a task is unthrottled; doubled when that proved too early. */
const UNTHROTTLE_DELAY_MILLISECONDS = 30_000
const MAXIMUM_UNTHROTTLE_DELAY_MILLISECONDS = 10 * 60_000

/** Each throttling halves the share; a task at the smallest share is moved instead. */
const THROTTLE_FACTOR = 0.5
const MINIMUM_THROTTLE_SHARE = 0.25

/** A task is moved only when the model says that it adds this much to the slowdown; a move costs its work. */
const MINIMUM_MOVE_CONTRIBUTION = 0.1

/** A task is not throttled below this share for outgrowing its commitment. */
const MINIMUM_OVERUSE_SHARE = 0.1

/** The load of a report of one worker. */
export interface ReportedTask {
  slot: number
  usage: TaskUsage
  /** Whether the commitment covers the use, by dimension. */
  processorsCovered: boolean
  memoryCovered: boolean
}

interface WorkerState {
  consecutiveHighReports: number
  lastActionAt: number
  lowSlowdownSince: number | undefined
  unthrottleDelayMilliseconds: number
  unthrottledAt: number
}

/**
 * Decides on steps against interference on one worker, in the order of their cost: throttle the batch task that is
 * most to blame, then move it. The cheapest step, placing elsewhere, is part of the search. Standing work is throttled
 * only when no other batch task is there, and is never moved.
 *
 * The steps are steady: two high reports in a row, a lower bound for taking steps back, a minimum interval, and no
 * step on a report that was measured before the previous step took effect.
 */
export class InterferenceMitigation {
  private readonly workerStates = new Map<string, WorkerState>()

  private constructor (
    private readonly ledger: WorkerLedger,
    private readonly model: InterferenceModel,
    private readonly getKind: (kind: number) => KindRecord
  ) {}

  /**
   * Creates a mitigation without history.
   * @param options The ledger, the learned interference and the kinds.
   * @returns The mitigation.
   */
  static create (options: {
    ledger: WorkerLedger
    model: InterferenceModel
    getKind: (kind: number) => KindRecord
  }): InterferenceMitigation {
    return new InterferenceMitigation(options.ledger, options.model, options.getKind)
  }

  /**
   * Decides on the next step on a worker.
   * @param workerId The worker.
   * @param tasks The tasks of the report.
   * @param band The load band of the worker.
   * @param measuredAt When the report was measured, on the clock of `now`.
   * @param now The time.
   * @returns At most one step.
   */
  decide (
    workerId: string, tasks: readonly ReportedTask[], band: number, measuredAt: number, now: number
  ): InterferenceAction[] {
    const state = this.getState(workerId)
    if (measuredAt < state.lastActionAt + ACTION_EFFECT_MILLISECONDS) return []
    const slowdown = this.getUrgentSlowdown(tasks)
    state.consecutiveHighReports = slowdown > HIGH_SLOWDOWN ? state.consecutiveHighReports + 1 : 0
    if (slowdown >= LOW_SLOWDOWN) state.lowSlowdownSince = undefined
    else state.lowSlowdownSince ??= measuredAt
    if (now - state.lastActionAt < ACTION_INTERVAL_MILLISECONDS) return []
    const action = this.decideOnOveruse(workerId, tasks) ??
      (state.consecutiveHighReports >= REQUIRED_HIGH_REPORTS ? this.decideThrottleOrMove(workerId, tasks, band, state, now) : undefined) ??
      this.decideUnthrottle(workerId, tasks, state, now)
    if (action === undefined) return []
    state.lastActionAt = now
    state.consecutiveHighReports = 0
    return [action]
  }

  /**
   * Forgets workers that are gone.
   * @param isKnown Whether a worker is still known.
   */
  pruneWorkers (isKnown: (workerId: string) => boolean): void {
    for (const workerId of this.workerStates.keys()) if (!isKnown(workerId)) this.workerStates.delete(workerId)
  }

  private getUrgentSlowdown (tasks: readonly ReportedTask[]): number {
    let worst = 1
    for (const { slot, usage } of tasks) {
      if (this.getKindOf(slot).policy.workClass === 'urgent') worst = Math.max(worst, usage.slowdown)
    }
    return worst
  }

  /** Throttles a task beyond its commitment of processors, or moves one when memory is short. */
  private decideOnOveruse (workerId: string, tasks: readonly ReportedTask[]): InterferenceAction | undefined {
    const memoryExceeded = tasks.filter(task => !task.memoryCovered)
    if (memoryExceeded.length > 0) {
      const movable = [...memoryExceeded, ...tasks].filter(({ slot }) => this.getKindOf(slot).evictionClass === 'ordinary')
      if (movable.length > 0) return { ...this.ledger.tasks.getRun(movable[0].slot), action: 'move', workerId }
    }
    for (const { slot, usage, processorsCovered } of tasks) {
      if (processorsCovered || this.getKindOf(slot).evictionClass === 'never') continue
      const reserved = this.ledger.tasks.reserved[slot * DIMENSIONS] / 1000
      const share = this.ledger.tasks.throttleShare[slot] * reserved / usage.processors
      return this.throttle(workerId, slot, Math.max(MINIMUM_OVERUSE_SHARE, share))
    }
    return undefined
  }

  private decideThrottleOrMove (
    workerId: string, tasks: readonly ReportedTask[], band: number, state: WorkerState, now: number
  ): InterferenceAction | undefined {
    const { slot: interferer, contribution } = this.findStrongestInterferer(workerId, tasks, band)
    if (interferer === NO_SLOT) return undefined
    if (now - state.unthrottledAt < state.unthrottleDelayMilliseconds) {
      state.unthrottleDelayMilliseconds = Math.min(MAXIMUM_UNTHROTTLE_DELAY_MILLISECONDS, state.unthrottleDelayMilliseconds * 2)
    }
    const share = this.ledger.tasks.throttleShare[interferer]
    if (share > MINIMUM_THROTTLE_SHARE) return this.throttle(workerId, interferer, share * THROTTLE_FACTOR)
    if (this.getKindOf(interferer).evictionClass !== 'ordinary' || contribution < MINIMUM_MOVE_CONTRIBUTION) return undefined
    return { ...this.ledger.tasks.getRun(interferer), action: 'move', workerId }
  }

  /** Finds the batch task that adds most to the slowdown of the urgent tasks; by its processors while none is known. */
  private findStrongestInterferer (
    workerId: string, tasks: readonly ReportedTask[], band: number
  ): { slot: number, contribution: number } {
    const capacity = this.ledger.workers.capacity[this.ledger.workers.find(workerId) * DIMENSIONS] / 1000
    const urgent = tasks.filter(({ slot }) => this.getKindOf(slot).evictionClass === 'never')
    let best = NO_SLOT
    let bestRank = 0
    let bestContribution = -1
    for (const { slot, usage } of tasks) {
      const { evictionClass, number } = this.getKindOf(slot)
      if (evictionClass === 'never') continue
      const rank = evictionClass === 'ordinary' ? 1 : 0
      const share = usage.processors / capacity
      const contribution = urgent.reduce((sum, victim) =>
        sum + this.model.getCoefficient(this.getKindOf(victim.slot).number, number, band) * share, share / 100)
      if (rank < bestRank || (rank === bestRank && contribution <= bestContribution)) continue
      best = slot
      bestRank = rank
      bestContribution = contribution
    }
    return { slot: best, contribution: bestContribution }
  }

  private decideUnthrottle (
    workerId: string, tasks: readonly ReportedTask[], state: WorkerState, now: number
  ): InterferenceAction | undefined {
    if (state.lowSlowdownSince === undefined || now - state.lowSlowdownSince < state.unthrottleDelayMilliseconds) return undefined
    const throttled = tasks.find(({ slot }) => this.ledger.tasks.throttleShare[slot] < 1)
    if (throttled === undefined) return undefined
    this.ledger.tasks.throttleShare[throttled.slot] = 1
    state.unthrottledAt = now
    state.lowSlowdownSince = undefined
    return { ...this.ledger.tasks.getRun(throttled.slot), action: 'unthrottle', workerId }
  }

  private throttle (workerId: string, slot: number, share: number): InterferenceAction {
    this.ledger.tasks.throttleShare[slot] = share
    return { ...this.ledger.tasks.getRun(slot), action: 'throttle', workerId, share }
  }

  private getKindOf (slot: number): KindRecord {
    return this.getKind(this.ledger.tasks.kind[slot])
  }

  private getState (workerId: string): WorkerState {
    let state = this.workerStates.get(workerId)
    if (state === undefined) {
      state = {
        consecutiveHighReports: 0,
        lastActionAt: -Infinity,
        lowSlowdownSince: undefined,
        unthrottleDelayMilliseconds: UNTHROTTLE_DELAY_MILLISECONDS,
        unthrottledAt: -Infinity
      }
      this.workerStates.set(workerId, state)
    }
    return state
  }
}
