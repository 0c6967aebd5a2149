/** How serious a finding is: the entry is not used as written, it is hardly meant as written, or it has changed. */
export type FindingSeverity = 'error' | 'warning' | 'change'

/** What kind of fault, or of difference from the version in force, a finding names. */
export type FindingKind =
  | 'malformed' | 'duplicate' | 'missing-service' | 'never-matches' | 'unused' | 'contradiction' | 'old-version'
  | 'added' | 'removed' | 'changed'

/** The entry of a configuration that a finding is about. */
export interface FindingSubject {
  list: 'configuration' | 'queues' | 'accounts' | 'services'
  /**
   * The index of the entry among those of its list that could be decoded; null for the configuration, and for an entry
   * that was removed.
   */
  index: number | null
  name: string
}

/** One result of a check. */
export interface ConfigurationFinding {
  severity: FindingSeverity
  kind: FindingKind
  subject: FindingSubject
  /** One sentence without keys. */
  message: string
}
