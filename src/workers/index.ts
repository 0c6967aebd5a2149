export * from './HttpWorkerClient.js'
export * from './WorkerProtocol.js'
