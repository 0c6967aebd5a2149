export * from './HttpTableService.js'
export * from './SettledWriter.js'
export type * from './TableService.js'
