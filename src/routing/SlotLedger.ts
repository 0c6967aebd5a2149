import { ConcurrencyLimit } from './ConcurrencyLimit.js'

/** An upstream as the choice sees it. */
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

/** What the choice of an upstream depends on, besides the slots. */
export interface TakeOptions {
  service: string
  dataCentre: string
  avoided: readonly string[]
  /** Returns how many slots of an upstream may be used now, for example 0 while it is ejected. */
  getAllowedSlots: (site: UpstreamSite) => number
}

/**
 * The exact count of the slots in use at the upstreams whose home is this entry instance, including those
 * lent to peers.
 */
export class SlotLedger {
  private readonly upstreams = new Map<string, HomeUpstream>()
  /** Upstreams that moved to another home while slots were in use here. */
  private readonly drainingUpstreams = new Map<string, HomeUpstream>()
  private readonly leases = new Map<string, SlotLease>()
  private nextLease = 1

  private constructor (private readonly leasePrefix: string) {}

  /**
   * Creates a ledger without upstreams.
   * @param options A prefix that no other ledger uses, for identifiers of leases.
   * @returns The ledger.
   */
  static create (options: { leasePrefix: string }): SlotLedger {
    return new SlotLedger(options.leasePrefix)
  }

  /**
   * Sets the upstreams whose home is here; slots in use stay counted.
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
   * Chooses and takes a slot: in the same data centre where possible, at the least loaded upstream.
   * @param options What the choice depends on.
   * @returns The upstream, or null when none has a slot.
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
      // One more request at work weighs less than another data centre, and an upstream that failed comes last.
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
   * Gives a slot back that this process used itself.
   * @param upstreamId The upstream.
   */
  release (upstreamId: string): void {
    const upstream = this.upstreams.get(upstreamId) ?? this.drainingUpstreams.get(upstreamId)
    upstream?.limit.release()
    if (upstream?.limit.getUsed() === 0) this.drainingUpstreams.delete(upstreamId)
  }

  /**
   * Notes that a slot that was taken is lent to a peer.
   * @param upstreamId The upstream of the slot.
   * @param expiresAt When the slot is free again without a word of the peer, in monotonic milliseconds.
   * @returns The identifier by which the peer returns it.
   */
  lend (upstreamId: string, expiresAt: number): string {
    const leaseId = `${this.leasePrefix}.${this.nextLease++}`
    this.leases.set(leaseId, { upstreamId, expiresAt })
    return leaseId
  }

  /**
   * Takes a lent slot back; a second return of the same slot has no effect.
   * @param leaseId The identifier of the loan.
   * @returns Whether the slot was lent.
   */
  endLease (leaseId: string): boolean {
    const lease = this.leases.get(leaseId)
    if (lease === undefined) return false
    this.leases.delete(leaseId)
    this.release(lease.upstreamId)
    return true
  }

  /**
   * Takes back all slots whose peers did not return them in time.
   * @param now The monotonic time in milliseconds.
   * @returns How many were taken back.
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
   * Tells whether slots are lent.
   * @returns Whether any loan has not ended.
   */
  hasLeases (): boolean {
    return this.leases.size > 0
  }

  /**
   * Counts the slots of a service.
   * @param service The service.
   * @param getAllowedSlots How many slots of an upstream may be used now.
   * @returns The usable slots and those in use.
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
