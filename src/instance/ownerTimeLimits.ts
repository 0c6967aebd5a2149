/** An owner that could not renew its ownership for this long stops renewing worker leases, so that they expire. */
export const LEASE_RENEWAL_LIMIT_MILLISECONDS = 6000
/** An owner that could not renew its ownership for this long starts no tasks: its configuration may be outdated. */
export const TASK_START_LIMIT_MILLISECONDS = 5000
/** The greatest relative difference in rate between the clocks of two instances that time limits of owners tolerate. */
export const INSTANCE_CLOCK_MARGIN_SHARE = 0.05
