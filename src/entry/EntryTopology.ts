import type { Configuration } from '../configuration/index.js'
import type { InstanceListSource, Member, MembershipView } from '../membership/index.js'
import { chooseHome, type SlotLedger, type UpstreamHealthTracker, type UpstreamSite } from '../routing/index.js'
import type { CancelTimer, Clock } from '../shared/index.js'
import { EntryPeer } from './EntryPeer.js'

/** Options of the topology. */
export interface EntryTopologyOptions {
  instanceId: string
  region: string
  clock: Clock
  membership: MembershipView
  list: InstanceListSource
  /** The certificate of the entry instances when they listen with TLS, else null. */
  tlsCertificate: Buffer | null
  ledger: SlotLedger
  health: UpstreamHealthTracker
  getConfiguration: () => Configuration
  /** Called after upstreams or peers have changed. */
  onChange: () => void
  /** Called when an upstream is no longer listed. */
  onUpstreamGone: (address: string) => void
}

/** The list lags by seconds anyway; a shorter interval only adds load. */
const LIST_INTERVAL_MILLISECONDS = 1000
/** Evidence that has run out is noticed after this time at the latest. */
const REFRESH_INTERVAL_MILLISECONDS = 250
const DEFAULT_SLOTS = 8

/** Keeps the upstreams whose home is here, and the peers, in step with membership and configuration. */
export class EntryTopology {
  private readonly peers = new Map<string, EntryPeer>()
  private readonly addresses = new Map<string, string>()
  private services = new Set<string>()
  private nearUpstreams = new Map<string, number>()
  private usable = new Set<string>()
  private peerList: EntryPeer[] = []
  private seenVersion = -1
  private listRead = false
  private running = false
  private cancelTimers: CancelTimer[] = []
  private reportPending = false

  private constructor (private readonly options: EntryTopologyOptions) {}

  /**
   * Creates a topology that has read nothing yet.
   * @param options The parts it keeps in step.
   * @returns The topology.
   */
  static create (options: EntryTopologyOptions): EntryTopology {
    return new EntryTopology(options)
  }

  /** Reads the list and begins to keep everything in step. */
  async start (): Promise<void> {
    this.running = true
    await this.readList()
    this.refreshRegularly()
  }

  /** Ends the timers and closes the connections to peers. */
  async stop (): Promise<void> {
    this.running = false
    for (const cancel of this.cancelTimers) cancel()
    await Promise.all([...this.peers.values()].map(async peer => await peer.close()))
  }

  /**
   * Tells whether the instance list has been read.
   * @returns False until then.
   */
  isLoaded (): boolean {
    return this.listRead
  }

  /**
   * Lists the live peers.
   * @returns The other entry instances that can be asked.
   */
  getPeers (): EntryPeer[] {
    return this.peerList
  }

  /**
   * Tells whether any upstream serves the service.
   * @param service The service.
   * @returns False for a service that no listed upstream serves.
   */
  isKnownService (service: string): boolean {
    return this.services.has(service)
  }

  /**
   * Counts the usable upstreams of the own region.
   * @param service The service.
   * @returns Their number.
   */
  countNearUpstreams (service: string): number {
    return this.nearUpstreams.get(service) ?? 0
  }

  /**
   * Tells whether new work may go to an upstream.
   * @param upstreamId The upstream.
   * @returns False while it is leaving, unreachable or in a data centre that is out.
   */
  isUsable (upstreamId: string): boolean {
    return this.usable.has(upstreamId)
  }

  /** Tells peers at once what was seen of an instance, and puts it in force here. */
  reportSoon (): void {
    this.refresh()
    if (this.reportPending) return
    this.reportPending = true
    this.setTimer(REFRESH_INTERVAL_MILLISECONDS / 5, () => {
      this.reportPending = false
      this.exchangeReports()
    })
  }

  /** Puts changed membership or configuration in force. */
  refresh (configurationChanged = false): void {
    const { membership, clock, ledger, health, onChange, instanceId, region } = this.options
    const now = clock.monotonicMilliseconds()
    const version = membership.getVersion(now)
    if (version === this.seenVersion && !configurationChanged) return
    this.seenVersion = version
    const entries = membership.getMembers('entry', now)
    this.updatePeers(entries.filter(entry => entry.instanceId !== instanceId))
    const live = entries.filter(entry => entry.usable || entry.instanceId === instanceId)
    const out = new Set(this.options.getConfiguration().dataCentres
      .filter(dataCentre => dataCentre.state === 'out').map(dataCentre => dataCentre.name))
    const upstreams = membership.getMembers('upstream', now)
    const usable = upstreams.filter(member => member.usable && !out.has(member.dataCentre))
    this.usable = new Set(usable.map(member => member.instanceId))
    this.services = new Set(upstreams.map(member => member.service ?? ''))
    this.nearUpstreams = new Map()
    for (const { service = '' } of usable.filter(member => member.region === region)) {
      this.nearUpstreams.set(service, (this.nearUpstreams.get(service) ?? 0) + 1)
    }
    this.forgetGone(upstreams)
    health.setUpstreams(upstreams.map(member => member.instanceId))
    const homes = new Map<string, string[]>()
    ledger.setUpstreams(usable
      .filter(member => chooseHome(member.instanceId, this.listHomes(homes, live, member.region)) === instanceId)
      .map(toSite))
    onChange()
  }

  /** The home of an upstream is in its region as long as an entry instance lives there. */
  private listHomes (homes: Map<string, string[]>, live: Member[], region: string): string[] {
    let candidates = homes.get(region)
    if (candidates === undefined) {
      const near = live.filter(entry => entry.region === region)
      candidates = (near.length > 0 ? near : live).map(entry => entry.instanceId)
      if (candidates.length === 0) candidates = [this.options.instanceId]
      homes.set(region, candidates)
    }
    return candidates
  }

  private forgetGone (upstreams: Member[]): void {
    const present = new Set(upstreams.map(member => member.address))
    for (const [instanceId, address] of this.addresses) {
      if (present.has(address)) continue
      this.addresses.delete(instanceId)
      this.options.onUpstreamGone(address)
    }
    for (const { instanceId, address } of upstreams) this.addresses.set(instanceId, address)
  }

  private updatePeers (entries: Member[]): void {
    const { membership, clock, tlsCertificate } = this.options
    const listed = new Set(entries.map(entry => entry.instanceId))
    for (const [instanceId, peer] of this.peers) {
      if (listed.has(instanceId)) continue
      this.peers.delete(instanceId)
      peer.close().catch(() => {})
    }
    for (const { instanceId, region, address } of entries) {
      if (this.peers.has(instanceId)) continue
      const onUnreachable = () => {
        membership.observe(instanceId, 'connection-refused', clock.monotonicMilliseconds())
        this.refresh()
      }
      this.peers.set(instanceId, EntryPeer.create({ instanceId, region, address, tlsCertificate, onUnreachable }))
    }
    this.peerList = entries.filter(entry => entry.usable)
      .map(entry => this.peers.get(entry.instanceId))
      .filter(peer => peer !== undefined)
  }

  /** Peers of other regions are told only when there is something to tell, as the link between regions is slow. */
  private exchangeReports (): void {
    const { membership, clock, region } = this.options
    const reports = membership.getReports(clock.monotonicMilliseconds())
    for (const peer of this.peerList) {
      if (peer.region !== region && reports.length === 0) continue
      peer.exchangeReports(reports).then(received => {
        membership.applyReports(received, clock.monotonicMilliseconds())
        this.refresh()
      }, () => {})
    }
  }

  private async readList (): Promise<void> {
    const read = await this.options.list.readInstances()
    if (read.kind === 'ok') {
      this.options.membership.applyList(read.instances, this.options.clock.monotonicMilliseconds())
      this.listRead = true
      this.refresh()
    }
    this.exchangeReports()
    this.setTimer(LIST_INTERVAL_MILLISECONDS, () => { this.readList().catch(() => {}) })
  }

  private refreshRegularly (): void {
    this.refresh()
    this.setTimer(REFRESH_INTERVAL_MILLISECONDS, () => this.refreshRegularly())
  }

  private setTimer (delayMilliseconds: number, callback: () => void): void {
    if (!this.running) return
    const cancel = this.options.clock.setTimer(delayMilliseconds, () => {
      this.cancelTimers = this.cancelTimers.filter(other => other !== cancel)
      if (this.running) callback()
    })
    this.cancelTimers.push(cancel)
  }
}

function toSite (member: Member): UpstreamSite {
  const { instanceId, service = '', address, dataCentre, region, slots = DEFAULT_SLOTS } = member
  return { upstreamId: instanceId, service, address, dataCentre, region, slots }
}
