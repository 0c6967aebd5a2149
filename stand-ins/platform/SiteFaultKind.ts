/** The kinds of faults of all workers, or of the store for all instances, by share; each may last for a whole play. */
export const SITE_WIDE_FAULT_KINDS = [
  'workers-lose-responses', 'workers-execute-late', 'workers-mute', 'workers-reset', 'workers-slow',
  'store-loses-responses', 'store-writes-late'
] as const

/** The kinds of faults of some workers, of instances, of the platform and of operators. */
export const LOCAL_FAULT_KINDS = [
  // The kinds that affect workers.
  'worker-crash', 'worker-loss', 'rack-crash', 'data-centre-crash', 'worker-dark', 'worker-drain', 'worker-addition',
  'worker-rolling-release', 'worker-flap', 'worker-hang', 'worker-failures', 'worker-unhealthy', 'worker-mute',
  'worker-slow', 'worker-cut', 'worker-partial-cut', 'worker-one-way', 'worker-late-orders', 'worker-lost-answers',
  'worker-crash-behind-cut', 'worker-unlisted',
  // The kinds that affect instances.
  'instance-kill', 'instance-kill-all', 'instance-power-off-all', 'instance-freeze', 'instance-suspend',
  'instance-rolling-restart', 'instance-replacement', 'instance-addition', 'instance-peer-cut',
  'instance-isolation', 'owner-losses', 'strike-after-acceptance', 'strike-after-submission', 'clock-step',
  // The kinds that affect the store and the machine service of the platform.
  'store-away', 'store-away-for-some', 'store-slow', 'store-lost-answers', 'store-late-writes', 'store-compaction',
  'store-lost-renewals', 'machine-service-away',
  // What operators do.
  'data-centre-out', 'configuration-change'
] as const

/** The kinds of faults in which worker processes start again; a play has them only in addition to its other faults. */
export const RESTART_FAULT_KINDS = ['worker-return-cut'] as const

/** The kinds of faults that can be played on an emulated site. */
export const SITE_FAULT_KINDS = [...LOCAL_FAULT_KINDS, ...SITE_WIDE_FAULT_KINDS, ...RESTART_FAULT_KINDS] as const

export type SiteFaultKind = typeof SITE_FAULT_KINDS[number]

/** A fault of an emulated site. */
export interface SiteFault {
  kind: SiteFaultKind
  /** Selects the instances, workers or data centres, by index modulo their number. */
  target: number
  /** How many are affected, where the kind does not say. */
  count: number
  durationMilliseconds: number
  /** Selects one of the forms of the kind, modulo their number. */
  variant: number
}
