import { failed, ok, type Outcome } from '../shared/Outcome.js'
import type { Configuration, DataCentreSetting, SectionName } from './Configuration.js'

/** A change that an operator asks for; it can be applied to any version on which it is valid. */
export type ConfigurationChange =
  | { kind: 'policy-apply', policyText: string }
  | { kind: 'data-centre-take-out', dataCentre: string, lost: boolean }
  | { kind: 'data-centre-bring-back', dataCentre: string }
  | { kind: 'worker-quarantine', workerId: string }
  | { kind: 'worker-release', workerId: string }
  | { kind: 'worker-declare-lost', workerId: string }

/** Why a change is not valid on a version. */
export type ChangeRejection = { kind: 'no-effect', message: string }

/** A change applied to a version. */
export interface AppliedChange {
  configuration: Configuration
  section: SectionName
  summary: string
  /** The data centre whose row changes too, when there is one. */
  dataCentre: DataCentreSetting | null
}

/**
 * Applies a change to a version.
 * @param configuration The version.
 * @param change The change.
 * @returns The next version, or the reason why the change would have no effect.
 */
export function applyChange (
  configuration: Configuration,
  change: ConfigurationChange
): Outcome<AppliedChange, ChangeRejection> {
  const next = { ...configuration, version: configuration.version + 1 }
  switch (change.kind) {
    case 'policy-apply': {
      if (change.policyText === configuration.policyText) return reject('this policy is in force already')
      const lines = change.policyText.split('\n').length
      return accept({ ...next, policyText: change.policyText }, 'policy', `policy of ${lines} lines`)
    }
    case 'data-centre-take-out':
      return setDataCentre(next, { name: change.dataCentre, state: 'out', lost: change.lost })
    case 'data-centre-bring-back':
      return setDataCentre(next, { name: change.dataCentre, state: 'in-service', lost: false })
    case 'worker-quarantine': {
      if (next.quarantinedWorkers.includes(change.workerId)) return reject(`${change.workerId} is quarantined already`)
      const quarantinedWorkers = [...next.quarantinedWorkers, change.workerId]
      return accept({ ...next, quarantinedWorkers }, 'workers', `worker ${change.workerId} quarantined`)
    }
    case 'worker-release': {
      const { workerId } = change
      if (!next.quarantinedWorkers.includes(workerId) && !next.lostWorkers.includes(workerId)) {
        return reject(`${workerId} is neither quarantined nor declared lost by an operator`)
      }
      const quarantinedWorkers = next.quarantinedWorkers.filter(name => name !== workerId)
      const lostWorkers = next.lostWorkers.filter(name => name !== workerId)
      return accept({ ...next, quarantinedWorkers, lostWorkers }, 'workers', `worker ${workerId} released`)
    }
    case 'worker-declare-lost': {
      if (next.lostWorkers.includes(change.workerId)) return reject(`${change.workerId} is declared lost already`)
      const lostWorkers = [...next.lostWorkers, change.workerId]
      return accept({ ...next, lostWorkers }, 'workers', `worker ${change.workerId} declared lost`)
    }
  }
}

/**
 * Returns what a change names, for its audit record.
 * @param change The change.
 * @returns The name of the data centre or worker, or `policy`.
 */
export function getChangeSubject (change: ConfigurationChange): string {
  if ('dataCentre' in change) return change.dataCentre
  return 'workerId' in change ? change.workerId : 'policy'
}

/**
 * Tells whether a change that was decided on one version may be applied to a newer one: what it changes must still
 * be as the operator saw it, or the change would undo that of another operator unseen.
 * @param seen The version that the operator saw.
 * @param newer The newer version.
 * @param change The change.
 * @returns Whether the change is still valid.
 */
export function isStillValid (seen: Configuration, newer: Configuration, change: ConfigurationChange): boolean {
  return getSubjectState(seen, change) === getSubjectState(newer, change)
}

function getSubjectState (configuration: Configuration, change: ConfigurationChange): string {
  if (change.kind === 'policy-apply') return configuration.policyText
  if ('dataCentre' in change) {
    const setting = configuration.dataCentres.find(dataCentre => dataCentre.name === change.dataCentre)
    return `${setting?.state ?? 'in-service'} ${setting?.lost ?? false}`
  }
  const includesWorker = (workers: string[]): boolean => workers.includes(change.workerId)
  return `${includesWorker(configuration.quarantinedWorkers)} ${includesWorker(configuration.lostWorkers)}`
}

function setDataCentre (next: Configuration, setting: DataCentreSetting): Outcome<AppliedChange, ChangeRejection> {
  const current = next.dataCentres.find(dataCentre => dataCentre.name === setting.name) ??
    { name: setting.name, state: 'in-service', lost: false }
  const description = setting.state === 'out' ? `out of service${setting.lost ? ' and lost' : ''}` : 'in service'
  if (current.state === setting.state && current.lost === setting.lost) {
    return reject(`${setting.name} is ${description} already`)
  }
  const others = next.dataCentres.filter(dataCentre => dataCentre.name !== setting.name)
  const dataCentres = [...others, setting].sort((left, right) => left.name < right.name ? -1 : 1)
  const summary = `data centre ${setting.name} ${description}`
  return ok({ configuration: { ...next, dataCentres }, section: 'data-centres', summary, dataCentre: setting })
}

function accept (configuration: Configuration, section: SectionName, summary: string): Outcome<AppliedChange, never> {
  return ok({ configuration, section, summary, dataCentre: null })
}

function reject (message: string): Outcome<never, ChangeRejection> {
  return failed({ kind: 'no-effect', message })
}
