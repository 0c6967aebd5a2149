/** Free capacity and queue length of a shard, by which a shard is chosen for new jobs and for transfers. */
export interface ShardSummary {
  freeProcessors: number
  freeMemoryMegabytes: number
  freeAccelerators: number
  waiting: number
}

/** An earlier owner that did not release the shard and may still renew leases on workers. */
export interface EarlierOwner {
  epoch: number
  address: string
}

/** The value of the row `shards/<shard>`. */
export interface ShardRow {
  owner: string
  address: string
  region: string
  epoch: number
  writeId: string
  /** Earlier owners that may still be active; the journal records up to which epoch all owners have stopped. */
  earlier: EarlierOwner[]
  /**
   * The row version since which all owners have stored the assignments of long-running tasks before their starts; 0 for
   * the version of this row itself. Absent in the row of an owner that does not store them.
   */
  assignmentsStoredSince?: number
  /**
   * The milliseconds after this row was written in which earlier owners may still renew the leases of workers. Absent
   * in the row of an owner that does not store them.
   */
  earlierRenewalsMilliseconds?: number
}

/** The value of the row `shard-heartbeats/<shard>`. */
export interface HeartbeatRow {
  owner: string
  epoch: number
  beat: number
  summary: ShardSummary | null
  /** Set by an owner that shuts down gracefully: a successor takes over without waiting. */
  released: boolean
}
