import { isDeepStrictEqual } from 'node:util'
import type { ClientAccount } from '../accounts/index.js'
import type { QueueConfiguration } from '../instance/index.js'
import type { ConfigurationFinding, FindingSubject } from './ConfigurationFinding.js'
import type { DescribedConfiguration } from './DescribedConfiguration.js'

/** How the entries of one list are compared. */
interface Comparison<Entry> {
  list: FindingSubject['list']
  getName (entry: Entry): string
  /** Returns what has changed, one text each, without keys. */
  describeChanges (before: Entry, after: Entry): string[]
}

const QUEUE_COMPARISON: Comparison<QueueConfiguration> = {
  list: 'queues', getName: ({ name }) => name, describeChanges: describeFieldChanges
}

const ACCOUNT_COMPARISON: Comparison<ClientAccount> = {
  list: 'accounts',
  getName: ({ name }) => name,
  describeChanges: (before, after) => {
    const { keyDigests: keysBefore, ...fieldsBefore } = before
    const { keyDigests: keysAfter, ...fieldsAfter } = after
    const added = keysAfter.filter(digest => !keysBefore.includes(digest)).length
    const removed = keysBefore.filter(digest => !keysAfter.includes(digest)).length
    return [
      ...describeFieldChanges(fieldsBefore, fieldsAfter),
      ...added > 0 ? [`keys added: ${added}`] : [],
      ...removed > 0 ? [`keys removed: ${removed} of ${keysBefore.length}`] : []
    ]
  }
}

/**
 * Compares a configuration with the version in force.
 * @param inForce The version in force.
 * @param next The configuration that is to replace it.
 * @returns A finding for each difference, and an error for a version that instances would ignore.
 */
export function compareConfigurations (
  inForce: DescribedConfiguration, next: DescribedConfiguration
): ConfigurationFinding[] {
  const before = inForce.configuration
  const after = next.configuration
  const subject: FindingSubject = { list: 'configuration', index: null, name: '' }
  const findings: ConfigurationFinding[] = []
  if (after.version <= before.version) {
    const message = `Version ${after.version} is not above ${before.version}, which is in force; instances would ignore it.`
    findings.push({ severity: 'error', kind: 'old-version', subject, message })
  }
  if (after.maximumBodyBytes !== before.maximumBodyBytes) {
    const message = `maximumBodyBytes: ${before.maximumBodyBytes} -> ${after.maximumBodyBytes}`
    findings.push({ severity: 'change', kind: 'changed', subject, message })
  }
  const hasLostAccounts = (before.accounts ?? []).length > 0 && (after.accounts ?? []).length === 0
  if (hasLostAccounts) {
    const message = 'The version in force has accounts and this one has none, so that no key is known.'
    findings.push({ severity: 'warning', kind: 'contradiction', subject, message })
  }
  return [
    ...findings,
    ...compareLists(before.queues, after.queues, QUEUE_COMPARISON),
    ...compareLists(before.accounts ?? [], after.accounts ?? [], ACCOUNT_COMPARISON),
    ...compareLists(inForce.serviceNames, next.serviceNames, {
      list: 'services', getName: name => name, describeChanges: () => []
    })
  ]
}

function compareLists<Entry> (
  before: readonly Entry[], after: readonly Entry[], { list, getName, describeChanges }: Comparison<Entry>
): ConfigurationFinding[] {
  const earlier = new Map(before.map(entry => [getName(entry), entry]))
  const findings: ConfigurationFinding[] = []
  for (const [index, entry] of after.entries()) {
    const name = getName(entry)
    const subject = { list, index, name }
    const previous = earlier.get(name)
    earlier.delete(name)
    if (previous === undefined) findings.push({ severity: 'change', kind: 'added', subject, message: 'added' })
    const changes = previous === undefined ? [] : describeChanges(previous, entry)
    if (changes.length > 0) findings.push({ severity: 'change', kind: 'changed', subject, message: changes.join('; ') })
  }
  for (const name of earlier.keys()) {
    findings.push({ severity: 'change', kind: 'removed', subject: { list, index: null, name }, message: 'removed' })
  }
  return findings
}

function describeFieldChanges (before: object, after: object): string[] {
  const values = before as Record<string, unknown>
  return Object.entries(after)
    .filter(([field, value]) => !isDeepStrictEqual(values[field], value))
    .map(([field, value]) => `${field}: ${JSON.stringify(values[field])} -> ${JSON.stringify(value)}`)
}
