import type { WorkClass } from '../policy/CompiledPolicy.js'
import type { UpstreamSite } from './SlotLedger.js'

/** The message by which an instance asks a peer to lend it a slot. */
export interface SlotRequest {
  service: string
  caller: string
  workClass: WorkClass
  mayRepeat: boolean
  /** The longest time for which the slot is needed, in milliseconds. */
  holdMilliseconds: number
  /** How long the request may be queued at the peer, in milliseconds; with 0, the peer lends only a free slot. */
  waitMilliseconds: number
  /** Upstreams at which earlier attempts of the request failed. */
  avoided: string[]
  /** The data centre of the borrowing instance. */
  dataCentre: string
}

/** A slot that a peer has lent. */
export interface SlotGrant {
  leaseId: string
  site: UpstreamSite
}

/** Another entry instance, which lends slots of the upstreams whose home it is. */
export interface SlotPeer {
  instanceId: string
  region: string
  /** Returns null when no slot is free. */
  borrowSlot (request: SlotRequest): Promise<SlotGrant | null>
  returnSlot (leaseId: string): Promise<void>
}
