export { createSearchSchedule } from './createSearchSchedule.js'
export { reduceSchedule } from './reduceSchedule.js'
export { SearchPlay, type SearchResult } from './SearchPlay.js'
export { SEARCH_JOB_KINDS, type SearchJob, type SearchJobKind, type SearchSchedule } from './SearchSchedule.js'
