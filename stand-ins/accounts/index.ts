export { CAPPED_RESOURCES, CapHistory } from './CapHistory.js'
export { CapJudge } from './CapJudge.js'
export {
  HotAccountPlay, type HotAccountFigures, type HotAccountOptions, type ServedJobs
} from './HotAccountPlay.js'
export { KeyJudge, type AnsweredCall } from './KeyJudge.js'
export { createSiteCapJudge } from './createSiteCapJudge.js'
