import type { OwnerApi } from '../../src/instance/index.js'

/** The answers of a process that owns nothing. */
export const absentOwnerAnswers: OwnerApi = {
  probe: () => ({ isOwner: false, renewalAge: 0 }),
  getJobState: () => null,
  countWaiting: () => null,
  storeSubmission: async () => 'unknown',
  storeCancellation: async () => 'unknown'
}
