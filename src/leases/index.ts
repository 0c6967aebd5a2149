export * from './ShardLease.js'
export * from './shardLeaseMachine.js'
export * from './WorkerLease.js'
