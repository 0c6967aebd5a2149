import type { SiteFaultKind } from '../platform/SiteFaults.js'

/** The kinds of faults with which a play ends: losses of instances, at any moment relative to the last jobs. */
export const CLOSING_FAULT_KINDS: readonly SiteFaultKind[] = [
  'instance-kill-all', 'instance-power-off-all', 'instance-power-off-all', 'owner-losses', 'strike-after-acceptance',
  'strike-after-submission', 'instance-rolling-restart', 'instance-freeze'
]

/** The kinds of faults of workers that may last until the jobs are judged; other workers have room. */
export const LASTING_FAULT_KINDS: readonly SiteFaultKind[] = [
  'worker-cut', 'worker-cut', 'worker-partial-cut', 'worker-one-way', 'worker-mute', 'worker-hang', 'worker-slow',
  'worker-dark', 'worker-failures', 'worker-unhealthy', 'worker-loss', 'worker-late-orders', 'worker-lost-answers',
  'worker-unlisted', 'worker-crash-behind-cut', 'worker-flap', 'data-centre-out'
]
