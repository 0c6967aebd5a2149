import { ConcurrencyLimit } from './ConcurrencyLimit.js'

/** An upstream with the properties that decide whether one of its slots is taken. */
export interface UpstreamSite {
  upstreamId: string
  service: string
  address: string
  dataCentre: string
  region: string
  slots: number
}

interface HomeUpstream {
  site: UpstreamSite
  limit: ConcurrencyLimit
}

interface SlotLease {
  upstreamId: string
  expiresAt: number
}

/** The criteria, besides the slots in use, for choosing an upstream. */
export interface TakeOptions {
  service: string
  dataCentre: string
  avoided: readonly string[]
  /** Returns how many slots of an upstream may be used now, for example 0 while it is ejected. */
  getAllowedSlots: (site: UpstreamSite) => number
}

/**
 * Counts the slots in use at the upstreams whose home is this entry instance, including slots lent to peers. The count
 * is exact, because only the home instance of an upstream allocates its slots.
 */
export class SlotLedger {
  private readonly upstreams = new Map<string, HomeUpstream>()
  /** Upstreams whose home moved to another instance while slots of this ledger were in use. */
  private readonly drainingUpstreams = new Map<string, HomeUpstream>()
  private readonly leases = new Map<string, SlotLease>()
  private nextLease = 1

  private constructor (private readonly leasePrefix: string) {}

  /**
   * Creates a ledger without upstreams.
   * @param options A prefix for lease identifiers that no other ledger uses.
   * @returns The ledger.
   */
  static create (options: { leasePrefix: string }): SlotLedger {
    return new SlotLedger(options.leasePrefix)
  }

  /**
   * Sets the upstreams whose home is this instance; slots in use stay counted.
   * @param sites The upstreams.
   */
  setUpstreams (sites: readonly UpstreamSite[]): void {
    const kept = new Set(sites.map(site => site.upstreamId))
    for (const [upstreamId, upstream] of this.upstreams) {
      if (kept.has(upstreamId)) continue
      this.upstreams.delete(upstreamId)
      if (upstream.limit.getUsed() > 0) this.drainingUpstreams.set(upstreamId, upstream)
    }
    for (const site of sites) {
      const existing = this.upstreams.get(site.upstreamId) ?? this.drainingUpstreams.get(site.upstreamId)
      this.drainingUpstreams.delete(site.upstreamId)
      const limit = existing?.limit ?? ConcurrencyLimit.create({ limit: site.slots })
      limit.setLimit(site.slots)
      this.upstreams.set(site.upstreamId, { site, limit })
    }
  }

  /**
   * Takes a slot of the least loaded upstream, in the same data centre where possible.
   * @param options The criteria for the choice.
   * @returns The upstream, or null when none has a free slot.
   */
  take (options: TakeOptions): UpstreamSite | null {
    let best: HomeUpstream | null = null
    let bestScore = Infinity
    for (const upstream of this.upstreams.values()) {
      const { site, limit } = upstream
      if (site.service !== options.service) continue
      const allowed = options.getAllowedSlots(site)
      const used = limit.getUsed()
      if (used >= allowed || used >= site.slots) continue
      // The load is below 1, so upstreams of this data centre come before others, and avoided upstreams come last.
      const score = used / site.slots + (site.dataCentre === options.dataCentre ? 0 : 1) +
        (options.avoided.includes(site.upstreamId) ? 2 : 0)
      if (score < bestScore) {
        best = upstream
        bestScore = score
      }
    }
    return best?.limit.tryAcquire() === true ? best.site : null
  }

  /**
   * Releases a slot that this process used itself.
   * @param upstreamId The upstream.
   */
  release (upstreamId: string): void {
    const upstream = this.upstreams.get(upstreamId) ?? this.drainingUpstreams.get(upstreamId)
    upstream?.limit.release()
    if (upstream?.limit.getUsed() === 0) this.drainingUpstreams.delete(upstreamId)
  }

  /**
   * Records that a taken slot is lent to a peer.
   * @param upstreamId The upstream of the slot.
   * @param expiresAt When the lease expires if the peer does not return the slot, in monotonic milliseconds.
   * @returns The identifier of the lease, with which the peer returns the slot.
   */
  lend (upstreamId: string, expiresAt: number): string {
    const leaseId = `${this.leasePrefix}.${this.nextLease++}`
    this.leases.set(leaseId, { upstreamId, expiresAt })
    return leaseId
  }

  /**
   * Ends a lease and releases its slot; ending it a second time has no effect.
   * @param leaseId The identifier of the lease.
   * @returns Whether the lease existed.
   */
  endLease (leaseId: string): boolean {
    const lease = this.leases.get(leaseId)
    if (lease === undefined) return false
    this.leases.delete(leaseId)
    this.release(lease.upstreamId)
    return true
  }

  /**
   * Ends all leases whose peers did not return the slot in time.
   * @param now The monotonic time in milliseconds.
   * @returns The number of expired leases.
   */
  expireLeases (now: number): number {
    let expired = 0
    for (const [leaseId, lease] of this.leases) {
      if (lease.expiresAt > now) continue
      this.endLease(leaseId)
      expired++
    }
    return expired
  }

  /**
   * Returns whether slots are lent.
   * @returns Whether any lease is open.
   */
  hasLeases (): boolean {
    return this.leases.size > 0
  }

  /**
   * Counts the slots of a service.
   * @param service The service.
   * @param getAllowedSlots Returns how many slots of an upstream may be used now.
   * @returns The numbers of usable slots and of slots in use.
   */
  countSlots (service: string, getAllowedSlots: (site: UpstreamSite) => number): { usable: number, used: number } {
    let usable = 0
    let used = 0
    for (const { site, limit } of this.upstreams.values()) {
      if (site.service !== service) continue
      usable += getAllowedSlots(site)
      used += limit.getUsed()
    }
    return { usable, used }
  }
}
