export * from './JobRecord.js'
export * from './JobSpecification.js'
export * from './jobProgress.js'
