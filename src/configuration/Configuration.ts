/** The state that operators set for a data centre. */
export type DataCentreState = 'in-service' | 'out'

/** An operator's setting of a data centre; `lost` asserts that none of its instances runs any more. */
export interface DataCentreSetting {
  name: string
  state: DataCentreState
  lost: boolean
}

/** A complete version of the configuration; readers install only complete versions. */
export interface Configuration {
  /** Increases by one with each accepted change; 0 is the empty configuration before the first change. */
  version: number
  /** The text of the policy file. */
  policyText: string
  dataCentres: DataCentreSetting[]
  /** Workers that operators have quarantined. */
  quarantinedWorkers: string[]
  /** Workers that operators have declared lost, which asserts that their tasks no longer run. */
  lostWorkers: string[]
}

/** The configuration before the first accepted change. */
export const EMPTY_CONFIGURATION: Configuration = {
  version: 0,
  policyText: '',
  dataCentres: [],
  quarantinedWorkers: [],
  lostWorkers: []
}

/** The tables and the key of the head row in which the configuration is stored. */
export const CONFIGURATION_TABLE = 'configuration'
export const CONFIGURATION_HEAD_KEY = 'head'
export const CONFIGURATION_SECTION_TABLE = 'configuration-sections'
export const DATA_CENTRE_TABLE = 'data-centres'

/** A section of the configuration; each version of a section is an immutable row `<name>@<version>`. */
export type SectionName = 'policy' | 'data-centres' | 'workers'

/** The value of the row `configuration/head`. */
export interface ConfigurationHead {
  version: number
  /** The configuration version in which each section last changed. */
  sections: Record<SectionName, number>
  changedBy: string
  changedAt: string
}

/** Provides the configuration in force to its consumers. */
export interface ConfigurationSource {
  /** Returns the highest configuration version that this process has installed. */
  getConfiguration (): Configuration
  /** Calls the listener with each newer version; returns a function that ends the subscription. */
  subscribe (listener: (configuration: Configuration) => void): () => void
}
