import type { SiteConfiguration } from '../instance/index.js'

/** A configuration with what only its check needs. */
export interface DescribedConfiguration {
  /** The entries that could be decoded, in the order of the file. */
  configuration: SiteConfiguration
  /** The services that the configuration describes, in the order of the file. */
  serviceNames: readonly string[]
  /** The entries that could not be decoded as written, one sentence each. */
  faults: readonly string[]
}
