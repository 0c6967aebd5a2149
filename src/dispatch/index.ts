export * from './DispatchEngine.js'
export * from './JobTable.js'
export * from './WorkerProtocol.js'
export * from './WorkerRecord.js'
