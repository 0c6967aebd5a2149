import type { DispatchObserver } from './DispatchObserver.js'
import type { GangTimes } from './gangs/GangTimes.js'
import type { GetRunTimeRatio } from './rankJobs.js'

/** Options of a dispatch engine. */
export interface DispatchEngineOptions {
  /** The epoch of the shard owner, which is the fencing token of all orders. */
  epoch: number
  /** Receives lost runs and ignored completions; does nothing by default. */
  observer?: DispatchObserver
  /** The longest lease that workers grant; 0 by default, as for workers that were never called before. */
  leaseMilliseconds?: number
  /** The time limits of gangs; those of `DEFAULT_GANG_TIMES` by default. */
  gangTimes?: GangTimes
  /** Whether long-running and useless work gives way to urgent work in an overload; false by default. */
  protectsUrgentWork?: boolean
  /** Returns the learned ratio of run times to estimates, by which the urgency of jobs is judged; 1 by default. */
  getRunTimeRatio?: GetRunTimeRatio
}
