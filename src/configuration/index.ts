export * from './Configuration.js'
export type * from './ConfigurationPeer.js'
