import type { VirtualClock } from '../../src/shared/VirtualClock.js'
import type { EmulatedSite } from '../platform/EmulatedSite.js'
import type { TableClientFaults } from '../platform/EmulatedTables.js'
import { CapHistory } from './CapHistory.js'
import { CapJudge } from './CapJudge.js'

const SAMPLE_MILLISECONDS = 100

/**
 * Creates a judge of the caps of a site, which observes its runs and its configurations from now on.
 * @param site The site, on which nothing has run yet.
 * @param clock Its clock.
 * @returns The judge.
 */
export function createSiteCapJudge (site: EmulatedSite, clock: VirtualClock): CapJudge {
  let storeDisturbedAt = -Infinity
  const history = CapHistory.create({
    now: () => clock.monotonicMilliseconds(), getStoreDisturbedAt: () => storeDisturbedAt
  })
  const sample = () => {
    if (isStoreDisturbed(site)) storeDisturbedAt = clock.monotonicMilliseconds()
    clock.setTimer(SAMPLE_MILLISECONDS, sample)
  }
  sample()
  history.recordVersion(site.operators.accounts)
  site.operators.accountsListeners.add(accounts => history.recordVersion(accounts))
  const judge = CapJudge.create({
    history,
    getAccountName: taskName => site.jobs.getAccountName(taskName),
    getResources: taskName => site.jobs.getStep(taskName)!
  })
  site.judge.observers.add(judge)
  return judge
}

/** Returns whether a fault affects the calls of any instance to the store, or the feeds of all of them. */
function isStoreDisturbed ({ tables, instances }: EmulatedSite): boolean {
  return tables.areFeedsPaused || instances.some(instance => hasFault(instance.tables.faults))
}

function hasFault ({ cutOff, isRefusing, lostAnswerShare, lateShare, slowdown }: TableClientFaults): boolean {
  return cutOff || isRefusing || lostAnswerShare > 0 || lateShare > 0 || slowdown > 1
}
