import type { ClientAccount } from '../../src/accounts/index.js'
import type { StepSpecification } from '../../src/jobs/index.js'
import type { EmulatedTask } from '../platform/EmulatedWorker.js'
import type { EmulatedWorkerDescription } from '../platform/EmulatedWorkerDescription.js'
import type { SiteFault } from '../platform/SiteFaults.js'

/** The kinds of jobs that a search plays. */
export const SEARCH_JOB_KINDS = [
  'urgent', 'copies', 'best-effort', 'serving', 'gang', 'labelled', 'near-data', 'accelerated', 'scheduled', 'branching',
  'impossible', 'wide', 'empty-step'
] as const

/** A kind of job. */
export type SearchJobKind = typeof SEARCH_JOB_KINDS[number]

/** A job that a client submits during a play. */
export interface SearchJob {
  kind: SearchJobKind
  jobId: string
  queueName: string
  /** When the client sends it for the first time. */
  atMilliseconds: number
  steps: Array<Partial<StepSpecification>>
  task: Partial<EmulatedTask>
  schedule: { startAtMilliseconds: number, intervalMilliseconds: number, repeatCount: number }
  /** Time after its acceptance at which the client cancels it, or null. */
  cancelAfterMilliseconds: number | null
  /** Whether a copy of the request arrives seconds after it was accepted. */
  isRepeated: boolean
  /** The client account of the caller, or null. */
  accountName: string | null
}

/** A version of the client accounts and when it is stored. */
export interface ScheduledAccounts {
  atMilliseconds: number
  accounts: ClientAccount[]
}

/** A fault and when it begins. */
export interface ScheduledFault extends SiteFault {
  atMilliseconds: number
}

/** One play: a site, jobs and faults, all determined by a seed. */
export interface SearchSchedule {
  seed: number
  instanceCount: number
  workers: EmulatedWorkerDescription[]
  jobs: SearchJob[]
  faults: ScheduledFault[]
  /** The client accounts of the first configuration; null for a site without accounts. */
  accounts: ClientAccount[] | null
  accountVersions: ScheduledAccounts[]
  /** The time from the start of the site until all faults have ended. */
  lengthMilliseconds: number
  /** The faults with which the play ends, all at once. */
  closing: SiteFault[]
  /** The faults of workers that begin before the closing and last until the jobs were judged. */
  lasting: SiteFault[]
}
