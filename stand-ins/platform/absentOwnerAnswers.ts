import type { OwnerApi } from '../../src/instance/index.js'

/** Answers to peers from an instance that is not the owner. */
export const absentOwnerAnswers: OwnerApi = {
  probe: () => ({ isOwner: false, renewalAge: 0 }),
  getJobState: () => null,
  countWaiting: () => null,
  describeAccounts: () => ({ kind: 'not-owner', ownerAddress: null }),
  storeSubmission: async () => 'unknown',
  storeCancellation: async () => 'unknown'
}
