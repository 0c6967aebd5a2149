import { AccountShares, type AccountResources } from '../accounts/index.js'
import { countWaitingTasks, sumCapacity, type CountedReason, type DispatchEngine } from '../dispatch/index.js'

/** An account as operators see it. */
export interface AccountDescription {
  /** Null for all jobs without an account together. */
  name: string | null
  weight: number
  /** 0 for no limit. */
  cap: AccountResources
  /** What it has running, or may have. */
  used: AccountResources
  /** The larger one of its fractions of all processors and of all memory. */
  dominantShare: number
  /** The fraction that it has by its weight among the accounts with running or waiting work. */
  evenShare: number
  /** The tasks that wait for a start, by reason. */
  waitingTasks: Partial<Record<CountedReason, number>>
}

/**
 * Describes the accounts of a site.
 * @param engine The engine of the owner.
 * @param now The monotonic time.
 * @returns The accounts, last the jobs without one; none when none is known.
 */
export function describeAccounts (engine: DispatchEngine, now: number): AccountDescription[] {
  if (!engine.accounts.hasKnownAccounts) return []
  const usages = engine.accounts.getAll()
  const waiting = countWaitingTasks(engine.jobs.getJobs(), task => engine.explainWaiting(task, now).reason)
  const active = usages.filter(usage => usage.isRunning || waiting.has(usage))
  const shares = AccountShares.create(sumCapacity(engine.workers.values()), active)
  return usages.map(usage => ({
    name: usage.name,
    weight: usage.weight,
    cap: usage.cap,
    used: usage.used,
    dominantShare: shares.getDominantShare(usage),
    evenShare: shares.getEvenShare(usage),
    waitingTasks: Object.fromEntries(waiting.get(usage) ?? [])
  }))
}
