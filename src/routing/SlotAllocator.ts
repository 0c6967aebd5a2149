import type { CancelTimer, Clock } from '../shared/Clock.js'
import type { WorkClass } from '../policy/CompiledPolicy.js'
import { AdmissionQueue, type QueuedRequest } from './AdmissionQueue.js'
import type { ByteBudget } from './ByteBudget.js'
import type { NotRunReason } from './RequestOutcome.js'
import type { SlotLedger, UpstreamSite } from './SlotLedger.js'
import type { SlotGrant, SlotPeer, SlotRequest } from './SlotPeer.js'

/** A slot for one attempt. */
export interface Slot {
  site: UpstreamSite
  /** Gives the slot back; called once. */
  release: () => void
}

/** The answer to a request for a slot. */
export type SlotOutcome =
  | { kind: 'granted', slot: Slot }
  | { kind: 'denied', reason: NotRunReason, detail: string }

/** A request for a slot. */
export interface SlotDemand {
  service: string
  caller: string
  workClass: WorkClass
  mayRepeat: boolean
  deadlineAt: number
  expectedMilliseconds: number
  avoided: string[]
  /** Bytes of the request and its expected answer, for the budget of the link. */
  linkBytes: number
}

interface QueuedDemand extends QueuedRequest, SlotDemand {
  /** Whether it waits for a peer, which looks for other slots itself. */
  forPeer: boolean
  settle: (outcome: SlotOutcome) => void
}

/** Options of the allocator. */
export interface SlotAllocatorOptions {
  clock: Clock
  ledger: SlotLedger
  region: string
  dataCentre: string
  linkBudget: ByteBudget
  /** Returns the other live entry instances. */
  getPeers: () => readonly SlotPeer[]
  /** Returns how many slots of an upstream may be used now. */
  getAllowedSlots: (site: UpstreamSite, mayRepeat: boolean) => number
  /** Returns how many usable upstreams the region has for a service, over all homes. */
  countUpstreamsInRegion: (service: string) => number
  countBorrowing: (result: 'granted' | 'denied' | 'failed' | 'over-link') => void
  onQueueLength: (length: number) => void
}

/** Waiting requests are looked through this often; it bounds how late a refusal comes. */
const SWEEP_INTERVAL_MILLISECONDS = 10
/** A peer that failed is asked again after this time. */
const PEER_BACKOFF_MILLISECONDS = 200
/** A peer without a free slot is asked again after this time; until then the other peers are asked. */
const FULL_PEER_BACKOFF_MILLISECONDS = 20
/** When all peers are full, a request waits this long at one of them, well below the timeout of a call. */
const PEER_QUEUE_WAIT_MILLISECONDS = 200
/** More calls than waiting requests, so that a wait at one full peer does not hide a free slot of another. */
const EXTRA_BORROW_CALLS = 2
/** Calls for slots that wait at peers, for each class of work; more gain nothing when all slots are in use. */
const MAXIMUM_BORROW_CALLS = 16
const CLASSES: readonly WorkClass[] = ['urgent', 'may-wait']
/** A slot is lent a little longer than the deadline, until the abandoned attempt has been closed. */
export const LEASE_GRACE_MILLISECONDS = 1000
/** A borrowed slot over the link costs one call and its return. */
const BORROW_CALL_BYTES = 1500

/** Gives slots to requests: free ones of own upstreams, else borrowed ones, else by the order of the queue. */
export class SlotAllocator {
  private readonly queues = new Map<string, AdmissionQueue<QueuedDemand>>()
  private readonly peerRetryAt = new Map<string, number>()
  private readonly peerFullUntil = new Map<string, number>()
  private readonly openBorrowCalls: Record<WorkClass, number> = { urgent: 0, 'may-wait': 0 }
  private nextPeer = 0
  private cancelSweep: CancelTimer | null = null

  private constructor (private readonly options: SlotAllocatorOptions) {}

  /**
   * Creates an allocator.
   * @param options The ledger and what else it decides by.
   * @returns The allocator.
   */
  static create (options: SlotAllocatorOptions): SlotAllocator {
    return new SlotAllocator(options)
  }

  /**
   * Takes a slot of an own upstream when one is free.
   * @param demand The request.
   * @returns The slot, or null.
   */
  tryTakeHomeSlot (demand: Pick<SlotDemand, 'service' | 'mayRepeat' | 'avoided'>): Slot | null {
    const { ledger, dataCentre, getAllowedSlots } = this.options
    const { service, avoided, mayRepeat } = demand
    const site = ledger.take({
      service, avoided, dataCentre, getAllowedSlots: candidate => getAllowedSlots(candidate, mayRepeat)
    })
    return site === null ? null : { site, release: () => this.release(site) }
  }

  /**
   * Waits for a slot, or refuses at once what cannot be answered before its deadline.
   * @param demand The request.
   * @param settle Receives the outcome, before this returns when it is certain at once.
   * @returns Ends the waiting; after that `settle` is not called any more.
   */
  acquire (demand: SlotDemand, settle: (outcome: SlotOutcome) => void): () => void {
    const now = this.options.clock.monotonicMilliseconds()
    if (demand.deadlineAt - now < demand.expectedMilliseconds) {
      settle({ kind: 'denied', reason: 'deadline-too-short', detail: 'the work takes longer than its deadline allows' })
      return () => {}
    }
    const queue = this.getQueue(demand.service)
    // Whoever waits already was not served by the free slots, for example because they are for probes only.
    if (queue.getLength() === 0) {
      const slot = this.tryTakeHomeSlot(demand)
      if (slot !== null) {
        settle({ kind: 'granted', slot })
        return () => {}
      }
    }
    const wait = this.estimateWait(queue, demand)
    if (demand.deadlineAt - now - wait < demand.expectedMilliseconds) {
      settle({ kind: 'denied', reason: 'overloaded', detail: `the wait would be about ${Math.ceil(wait)} ms` })
      return () => {}
    }
    const queued: QueuedDemand = { ...demand, settle, forPeer: false }
    const shed = queue.push(queued)
    shed?.settle({ kind: 'denied', reason: 'overloaded', detail: 'too many requests wait' })
    this.borrow(demand.service)
    this.startSweep()
    return () => { queue.remove(queued) }
  }

  /**
   * Lends a slot to a peer. The peer's request takes its turn among those that wait here, by class and caller.
   * @param request What the peer asks for.
   * @returns The slot, or null when none became free for it.
   */
  async lend (request: SlotRequest): Promise<SlotGrant | null> {
    const { clock, ledger } = this.options
    const now = clock.monotonicMilliseconds()
    const { holdMilliseconds, waitMilliseconds, ...demand } = request
    const outcome = await new Promise<SlotOutcome>(resolve => {
      const queue = this.getQueue(request.service)
      const slot = queue.getLength() === 0 ? this.tryTakeHomeSlot(request) : null
      if (slot !== null) return resolve({ kind: 'granted', slot })
      if (waitMilliseconds === 0) return resolve({ kind: 'denied', reason: 'overloaded', detail: 'no slot is free' })
      const queued: QueuedDemand = {
        ...demand,
        expectedMilliseconds: 0,
        linkBytes: 0,
        deadlineAt: now + waitMilliseconds,
        settle: resolve,
        forPeer: true
      }
      queue.push(queued)?.settle({ kind: 'denied', reason: 'overloaded', detail: 'too many requests wait' })
      this.startSweep()
    })
    if (outcome.kind === 'denied') return null
    const expiresAt = now + holdMilliseconds + LEASE_GRACE_MILLISECONDS
    this.startSweep()
    return { leaseId: ledger.lend(outcome.slot.site.upstreamId, expiresAt), site: outcome.slot.site }
  }

  /**
   * Takes a lent slot back.
   * @param leaseId The identifier of the loan.
   */
  endLease (leaseId: string): void {
    if (this.options.ledger.endLease(leaseId)) this.serveAll()
  }

  /** Refuses everything that waits; used only after the last caller has been answered. */
  stop (): void {
    this.cancelSweep?.()
    this.cancelSweep = null
  }

  /** Serves waiting requests after upstreams or their states have changed. */
  serveAll (): void {
    for (const service of this.queues.keys()) this.serve(service)
  }

  private release (site: UpstreamSite): void {
    this.options.ledger.release(site.upstreamId)
    this.serve(site.service)
  }

  private serve (service: string): void {
    const queue = this.queues.get(service)
    if (queue === undefined) return
    for (;;) {
      let slot: Slot | null = null
      const queued = queue.shift(entry => {
        slot ??= this.tryTakeHomeSlot(entry)
        return slot !== null
      })
      if (queued === null || slot === null) return
      this.options.onQueueLength(queue.getLength())
      queued.settle({ kind: 'granted', slot })
    }
  }

  private estimateWait (queue: AdmissionQueue<QueuedDemand>, demand: SlotDemand): number {
    const { ledger, getAllowedSlots, getPeers, region, countUpstreamsInRegion } = this.options
    const { usable } = ledger.countSlots(demand.service, site => getAllowedSlots(site, true))
    // An instance without own slots lives on borrowed ones, of which it gets about an equal part.
    const regionEntries = 1 + getPeers().filter(peer => peer.region === region).length
    const slots = Math.max(usable, countUpstreamsInRegion(demand.service) * 8 / regionEntries, 1)
    return queue.countAhead(demand.workClass, demand.caller) * demand.expectedMilliseconds / slots
  }

  private borrow (service: string): void {
    const queue = this.getQueue(service)
    const { getPeers, region } = this.options
    const now = this.options.clock.monotonicMilliseconds()
    const ready = getPeers().filter(peer => (this.peerRetryAt.get(peer.instanceId) ?? 0) <= now)
    const regional = ready.filter(peer => peer.region === region)
    const remote = ready.filter(peer => peer.region !== region)
    for (const workClass of CLASSES) {
      const first = queue.peek(workClass)
      // A class with none but peers' requests needs no borrowing: those peers ask each other.
      if (first === null || first.forPeer) continue
      const maximum = Math.min(MAXIMUM_BORROW_CALLS, queue.count(workClass) + EXTRA_BORROW_CALLS)
      if (remote.length > 0 && this.needsRemote(first, service, now)) this.borrowRemotely(remote, first, maximum, now)
      const available = regional.filter(peer => (this.peerFullUntil.get(peer.instanceId) ?? 0) <= now)
      const candidates = available.length > 0 ? available : regional
      const waitMilliseconds = available.length > 0
        ? 0
        : Math.max(0, Math.min(PEER_QUEUE_WAIT_MILLISECONDS, (first.deadlineAt - now) / 2))
      while (regional.length > 0 && this.openBorrowCalls[workClass] < maximum) {
        this.borrowFrom(candidates[this.nextPeer++ % candidates.length], first, waitMilliseconds)
      }
    }
  }

  /** Tells whether the near side cannot answer the first waiting request in time. */
  private needsRemote (first: QueuedDemand, service: string, now: number): boolean {
    if (this.options.countUpstreamsInRegion(service) === 0) return true
    return first.workClass === 'urgent' &&
      first.deadlineAt - now < 2 * first.expectedMilliseconds + 2 * SWEEP_INTERVAL_MILLISECONDS
  }

  private borrowRemotely (remote: SlotPeer[], first: QueuedDemand, maximum: number, now: number): void {
    while (this.openBorrowCalls[first.workClass] < maximum) {
      if (!this.options.linkBudget.trySpend(first.linkBytes + BORROW_CALL_BYTES, now)) return
      this.borrowFrom(remote[this.nextPeer++ % remote.length], first, 0)
      this.options.countBorrowing('over-link')
    }
  }

  private borrowFrom (peer: SlotPeer, first: QueuedDemand, waitMilliseconds: number): void {
    const now = this.options.clock.monotonicMilliseconds()
    const { service, caller, workClass, mayRepeat, avoided } = first
    const holdMilliseconds = Math.max(1, Math.ceil(first.deadlineAt - now))
    this.openBorrowCalls[workClass]++
    peer.borrowSlot({
      service,
      caller,
      workClass,
      mayRepeat,
      avoided,
      holdMilliseconds,
      waitMilliseconds,
      dataCentre: this.options.dataCentre
    }).then(
      grant => this.handleBorrowResult(peer, first, grant, now + holdMilliseconds),
      () => this.handleBorrowResult(peer, first, undefined, now)
    )
  }

  private handleBorrowResult (
    peer: SlotPeer,
    { service, workClass }: QueuedDemand,
    grant: SlotGrant | null | undefined,
    heldUntil: number
  ): void {
    this.openBorrowCalls[workClass]--
    this.options.countBorrowing(grant === undefined ? 'failed' : grant === null ? 'denied' : 'granted')
    const now = this.options.clock.monotonicMilliseconds()
    if (grant === null) this.peerFullUntil.set(peer.instanceId, now + FULL_PEER_BACKOFF_MILLISECONDS)
    if (grant === undefined) {
      this.peerRetryAt.set(peer.instanceId, now + PEER_BACKOFF_MILLISECONDS)
    }
    if (grant !== undefined && grant !== null) this.assignGrant(peer, service, grant, heldUntil)
    this.borrow(service)
  }

  private assignGrant (peer: SlotPeer, service: string, grant: SlotGrant, heldUntil: number): void {
    let returned = false
    const returnOnce = () => {
      if (returned) return
      returned = true
      peer.returnSlot(grant.leaseId).catch(() => {})
    }
    // The slot is lent for the request that waited first; a later one must fit into the same time.
    const queued = this.getQueue(service).shift(entry => !entry.forPeer &&
      !entry.avoided.includes(grant.site.upstreamId) && entry.deadlineAt <= heldUntil + LEASE_GRACE_MILLISECONDS / 2 &&
      this.options.getAllowedSlots(grant.site, entry.mayRepeat) > 0)
    if (queued === null) returnOnce()
    else queued.settle({ kind: 'granted', slot: { site: grant.site, release: returnOnce } })
  }

  private getQueue (service: string): AdmissionQueue<QueuedDemand> {
    let queue = this.queues.get(service)
    if (queue === undefined) {
      queue = AdmissionQueue.create<QueuedDemand>()
      this.queues.set(service, queue)
    }
    return queue
  }

  private startSweep (): void {
    this.cancelSweep ??= this.options.clock.setTimer(SWEEP_INTERVAL_MILLISECONDS, () => this.sweep())
  }

  private sweep (): void {
    this.cancelSweep = null
    const now = this.options.clock.monotonicMilliseconds()
    this.options.ledger.expireLeases(now)
    let length = 0
    for (const [service, queue] of this.queues) {
      this.serve(service)
      for (const queued of queue.removeUnservable(now)) {
        queued.settle({ kind: 'denied', reason: 'overloaded', detail: 'no slot became free in time' })
      }
      this.borrow(service)
      length += queue.getLength()
    }
    this.options.onQueueLength(length)
    if (length > 0 || this.options.ledger.hasLeases()) this.startSweep()
  }
}
