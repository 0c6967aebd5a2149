import { Gauge, type Registry } from 'prom-client'
import type { AccountUsage } from '../accounts/index.js'
import type { AccountDescription } from './describeAccounts.js'

/** The accounts that have a label of their own. */
const LABELLED_LIMIT = 200
/** The label of the further accounts. */
const OTHER_LABEL = 'other'
/** The label of jobs without an account. */
const NO_ACCOUNT_LABEL = 'none'

/**
 * Creates the gauges of the client accounts, which only the owner of the shard reports.
 * @param registry The registry in which they are registered.
 * @param readers Functions that return the accounts; none at other instances and on a site without accounts. The one
 * that counts waiting tasks takes several milliseconds, so only the gauge that needs it calls it.
 */
export function createAccountMetrics (
  registry: Registry, readers: { getUsages (): AccountUsage[], describeAccounts (): AccountDescription[] }
): void {
  const registers = [registry]
  const processors: Gauge<'account'> = new Gauge({
    name: 'papayamoor_instance_account_processors',
    help: 'Processors that tasks of a client account have reserved or requested, or may have.',
    labelNames: ['account'],
    registers,
    collect: () => {
      processors.reset()
      for (const { label, account } of getLabelled(readers.getUsages())) {
        processors.inc({ account: label }, account.used.processorsMilli / 1000)
      }
    }
  })
  const waitingTasks: Gauge<'account' | 'reason'> = new Gauge({
    name: 'papayamoor_instance_account_waiting_tasks',
    help: 'Tasks of a client account that wait for a start, by reason.',
    labelNames: ['account', 'reason'],
    registers,
    collect: () => {
      waitingTasks.reset()
      for (const { label, account } of getLabelled(readers.describeAccounts())) {
        for (const [reason, count] of Object.entries(account.waitingTasks)) {
          waitingTasks.inc({ account: label, reason }, count)
        }
      }
    }
  })
}

function getLabelled<Account extends { name: string | null }> (
  accounts: readonly Account[]
): Array<{ label: string, account: Account }> {
  return accounts.map((account, index) => {
    const { name } = account
    const label = name === null ? NO_ACCOUNT_LABEL : index < LABELLED_LIMIT ? name : OTHER_LABEL
    return { label, account }
  })
}
