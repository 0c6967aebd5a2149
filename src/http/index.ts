export { BodyBlocks } from './BodyBlocks.js'
export { ByteBudget } from './ByteBudget.js'
export { ClientServers, type ClientServerName, type ClientServersOptions } from './ClientServers.js'
export {
  ClientServer, hasSmallBody, type ClientResponse, type ClientServerOptions, type ReachedLimit
} from './ClientServer.js'
export {
  createClientLimits, SMALLEST_MACHINE, type ClientLimits, type MachineLimits, type ProcessClientLimits
} from './ClientLimits.js'
export { createYoungCollector } from './GarbageTrigger.js'
export { measureJson, type JsonLimits } from './measureJson.js'
export { BodyNotReadError, readJson } from './readJson.js'
