export type * from './SchedulerApi.js'
export { createSchedulerPeer, type SchedulerPeer } from './SchedulerPeer.js'
export type { SchedulerRouter } from './schedulerRouter.js'
