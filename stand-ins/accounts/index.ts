export { CAPPED_RESOURCES, CapHistory } from './CapHistory.js'
export { CapJudge } from './CapJudge.js'
export { createSiteCapJudge } from './createSiteCapJudge.js'
