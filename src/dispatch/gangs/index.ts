export * from './GangAttempts.js'
export * from './GangStarts.js'
export * from './GangTimes.js'
