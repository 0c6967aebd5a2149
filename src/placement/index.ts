export * from './ColocationPlacementEngine.js'
export * from './FirstFitPlacementEngine.js'
export * from './PlacementEngine.js'
