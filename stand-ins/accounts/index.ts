export { CAPPED_RESOURCES, CapHistory } from './CapHistory.js'
export { CapJudge } from './CapJudge.js'
export { KeyJudge, type AnsweredCall } from './KeyJudge.js'
export { createSiteCapJudge } from './createSiteCapJudge.js'
