import type { AccountResources, ClientAccount } from '../accounts/index.js'
import type { ConfigurationFinding, FindingKind, FindingSeverity } from './ConfigurationFinding.js'
import type { DescribedConfiguration } from './DescribedConfiguration.js'

/**
 * Finds accounts that no caller can use, that share a key or a name, or whose cap is too small for a task.
 * @param described The configuration.
 * @param largestTask The resources of the largest task that callers send; null when they are not known.
 * @returns The findings, in the order of the accounts.
 */
export function findAccountFaults (
  { configuration }: DescribedConfiguration, largestTask: AccountResources | null
): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = []
  const firstByName = new Map<string, number>()
  const holders = new Map<string, string>()
  for (const [index, account] of (configuration.accounts ?? []).entries()) {
    const add = (severity: FindingSeverity, kind: FindingKind, message: string): void => {
      findings.push({ severity, kind, subject: { list: 'accounts', index, name: account.name }, message })
    }
    const earlierIndex = firstByName.get(account.name)
    if (earlierIndex !== undefined) add('error', 'duplicate', `Entry ${earlierIndex} has the same name.`)
    else firstByName.set(account.name, index)
    if (account.keyDigests.length === 0) add('warning', 'unused', 'The account has no key, so that it has no callers.')
    for (const digest of new Set(account.keyDigests)) {
      const holder = holders.get(digest)
      if (holder === undefined) holders.set(digest, account.name)
      else add('error', 'duplicate', `Account ${holder}, which precedes it, holds one of its keys.`)
    }
    const exceeded = largestTask === null ? [] : getExceededLimits(account, largestTask)
    if (exceeded.length > 0) {
      add('warning', 'contradiction', `The cap is below the largest task in ${exceeded.join(' and ')}; it never starts.`)
    }
  }
  return findings
}

const RESOURCE_TEXTS: Record<keyof AccountResources, string> = {
  processorsMilli: 'processors', memoryMegabytes: 'memory', accelerators: 'accelerators'
}

function getExceededLimits ({ cap }: ClientAccount, task: AccountResources): string[] {
  return (Object.keys(RESOURCE_TEXTS) as Array<keyof AccountResources>)
    .filter(resource => cap[resource] > 0 && cap[resource] < task[resource])
    .map(resource => RESOURCE_TEXTS[resource])
}
