export * from './decideAdmission.js'
export * from './LoadMeter.js'
export * from './LoadSummary.js'
export * from './RunTimeRatios.js'
