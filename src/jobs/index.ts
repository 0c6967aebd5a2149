export * from './JobRecord.js'
export * from './JobSpecification.js'
export * from './ProgressSegment.js'
export * from './jobProgress.js'
