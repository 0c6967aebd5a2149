export * from './checkConfiguration.js'
export * from './ConfigurationFinding.js'
export * from './DescribedConfiguration.js'
