export * from './RunTimeRatios.js'
