import type { Configuration } from './Configuration.js'

/** Another instance that may have a newer version of the configuration. */
export interface ConfigurationPeer {
  /** Sends the version in force on this instance; returns the peer's configuration when it is newer, else null. */
  exchangeConfiguration (own: { version: number }): Promise<Configuration | null>
}
