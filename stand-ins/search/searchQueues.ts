import { EMULATED_QUEUE } from '../platform/EmulatedSite.js'
import type { QueueConfiguration } from '../../src/instance/index.js'

/** The queues of a search: urgent jobs, batch jobs and jobs that last until they are cancelled. */
export const SEARCH_QUEUES: readonly QueueConfiguration[] = [
  { ...EMULATED_QUEUE, name: 'proofs', pathPrefix: '/proofs/', priority: 0, attemptLimit: 4, stretch: 1.5 },
  { ...EMULATED_QUEUE, name: 'prints', pathPrefix: '/prints/', priority: 2, attemptLimit: 3, targetLatencyMilliseconds: 1000 },
  { ...EMULATED_QUEUE, name: 'watches', pathPrefix: '/watches/', priority: 0, attemptLimit: 4, targetLatencyMilliseconds: 2500 }
]
