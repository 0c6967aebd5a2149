import type { TableClientFaults } from './EmulatedTables.js'
import { chooseForm } from './SiteFaultContext.js'
import type { WorkerFaults } from './WorkerFaults.js'

/** The calls to workers that a fault affects. */
export type AffectedCalls = 'orders' | 'reports' | 'both'

/** How calls lose their responses: executed at once, or executed late. */
export type LossForm = 'lost' | 'late'

const SHARES = [0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9] as const
const CALLS: readonly AffectedCalls[] = ['orders', 'reports', 'both']
const CALL_LATENESS = { lateMilliseconds: 2000, latenessSpreadMilliseconds: 10_000 }
const WRITE_LATENESS = { lateMilliseconds: 1000, latenessSpreadMilliseconds: 5000 }
/** The latest time after which a late call to a worker, or a late write, has been executed. */
export const CALL_LATENESS_LIMIT_MILLISECONDS = 12_000
export const WRITE_LATENESS_LIMIT_MILLISECONDS = 6000

/**
 * Chooses the share of calls or workers that a fault affects.
 * @param variant The variant of the fault.
 * @returns The share, 0 to 1.
 */
export function chooseShare (variant: number): number {
  return chooseForm(SHARES, variant)
}

/**
 * Chooses the calls to workers that a fault affects, independently of the share.
 * @param variant The variant of the fault.
 * @returns The calls.
 */
export function chooseCalls (variant: number): AffectedCalls {
  return chooseForm(CALLS, Math.floor(variant / SHARES.length))
}

/**
 * Creates the settings of workers that lose responses.
 * @param form Whether the calls are executed at once or late.
 * @param calls The calls that are affected.
 * @param share The share of these calls, 0 to 1.
 * @returns The settings that differ from those without faults.
 */
export function createWorkerLoss (form: LossForm, calls: AffectedCalls, share: number): Partial<WorkerFaults> {
  const orderShare = calls === 'reports' ? 0 : share
  const reportShare = calls === 'orders' ? 0 : share
  if (form === 'lost') return { lostAnswerShare: orderShare, lostReportShare: reportShare }
  return { lateShare: orderShare, lateReportShare: reportShare, ...CALL_LATENESS }
}

/**
 * Creates the settings of a store that loses the responses to writes.
 * @param form Whether the writes are applied at once or late.
 * @param share The share of the writes, 0 to 1.
 * @returns The settings that differ from those without faults.
 */
export function createStoreLoss (form: LossForm, share: number): Partial<TableClientFaults> {
  return form === 'lost' ? { lostAnswerShare: share } : { lateShare: share, ...WRITE_LATENESS }
}
