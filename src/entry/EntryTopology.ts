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
  instanceList: InstanceListSource
  /** The certificate of the entry instances when they listen with TLS, else null. */
  tlsCertificate: Buffer | null
  ledger: SlotLedger
  health: UpstreamHealthTracker
  getConfiguration: () => Configuration
  /** Called after upstreams or peers have changed. */
  onChange: () => void
  /** Called when an upstream is no longer listed. */
  onUpstreamRemoved: (address: string) => void
}

/** The list lags by seconds anyway; a shorter interval only adds load. */
const LIST_INTERVAL_MILLISECONDS = 1000
/** Evidence that has run out is noticed after this time at the latest. */
const REFRESH_INTERVAL_MILLISECONDS = 250
const DEFAULT_SLOTS = 8

/** Keeps the upstreams whose home is here, and the peers, in step with membership and configuration. */
export class EntryTopology {
  private readonly peers = new Map<string, EntryPeer>()
  private readonly upstreamAddresses = new Map<string, string>()
  private knownServices = new Set<string>()
  private nearUpstreamCounts = new Map<string, number>()
  private usableUpstreams = new Set<string>()
  private livePeers: EntryPeer[] = []
  private appliedMembershipVersion = -1
  private isListRead = false
  private isRunning = false
  private cancelTimers: CancelTimer[] = []
  private isReportScheduled = false

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
    this.isRunning = true
    await this.readList()
    this.refreshPeriodically()
  }

  /** Ends the timers and closes the connections to peers. */
  async stop (): Promise<void> {
    this.isRunning = false
    for (const cancel of this.cancelTimers) cancel()
    await Promise.all([...this.peers.values()].map(async peer => await peer.close()))
  }

  /**
   * Tells whether the instance list has been read.
   * @returns False until then.
   */
  isLoaded (): boolean {
    return this.isListRead
  }

  /**
   * Lists the live peers.
   * @returns The other entry instances that can be asked.
   */
  getPeers (): EntryPeer[] {
    return this.livePeers
  }

  /**
   * Tells whether any upstream serves the service.
   * @param service The service.
   * @returns False for a service that no listed upstream serves.
   */
  isKnownService (service: string): boolean {
    return this.knownServices.has(service)
  }

  /**
   * Counts the usable upstreams of the own region.
   * @param service The service.
   * @returns Their number.
   */
  countNearUpstreams (service: string): number {
    return this.nearUpstreamCounts.get(service) ?? 0
  }

  /**
   * Tells whether new work may go to an upstream.
   * @param upstreamId The upstream.
   * @returns False while it is leaving, unreachable or in a data centre that is out.
   */
  isUsable (upstreamId: string): boolean {
    return this.usableUpstreams.has(upstreamId)
  }

  /** Tells peers at once what was seen of an instance, and puts it in force here. */
  scheduleReports (): void {
    this.refresh()
    if (this.isReportScheduled) return
    this.isReportScheduled = true
    this.setTimer(REFRESH_INTERVAL_MILLISECONDS / 5, () => {
      this.isReportScheduled = false
      this.exchangeReports()
    })
  }

  /** Puts changed membership or configuration in force. */
  refresh (configurationChanged = false): void {
    const { membership, clock, ledger, health, onChange, instanceId, region } = this.options
    const now = clock.monotonicMilliseconds()
    const version = membership.getVersion(now)
    if (version === this.appliedMembershipVersion && !configurationChanged) return
    this.appliedMembershipVersion = version
    const entries = membership.getMembers('entry', now)
    this.updatePeers(entries.filter(entry => entry.instanceId !== instanceId))
    const homeCandidates = entries.filter(entry => entry.usable || entry.instanceId === instanceId)
    const outOfService = new Set(this.options.getConfiguration().dataCentres
      .filter(dataCentre => dataCentre.state === 'out').map(dataCentre => dataCentre.name))
    const upstreams = membership.getMembers('upstream', now)
    const usable = upstreams.filter(member => member.usable && !outOfService.has(member.dataCentre))
    this.usableUpstreams = new Set(usable.map(member => member.instanceId))
    this.knownServices = new Set(upstreams.map(member => member.service ?? ''))
    this.nearUpstreamCounts = new Map()
    for (const { service = '' } of usable.filter(member => member.region === region)) {
      this.nearUpstreamCounts.set(service, (this.nearUpstreamCounts.get(service) ?? 0) + 1)
    }
    this.handleRemovedUpstreams(upstreams)
    health.setUpstreams(upstreams.map(member => member.instanceId))
    const candidatesByRegion = new Map<string, string[]>()
    ledger.setUpstreams(usable
      .filter(member => chooseHome(member.instanceId, this.getHomeCandidates(candidatesByRegion, homeCandidates, member.region)) === instanceId)
      .map(createUpstreamSite))
    onChange()
  }

  /** The home of an upstream is in its region as long as an entry instance lives there. */
  private getHomeCandidates (candidatesByRegion: Map<string, string[]>, entries: Member[], region: string): string[] {
    let candidates = candidatesByRegion.get(region)
    if (candidates === undefined) {
      const near = entries.filter(entry => entry.region === region)
      candidates = (near.length > 0 ? near : entries).map(entry => entry.instanceId)
      if (candidates.length === 0) candidates = [this.options.instanceId]
      candidatesByRegion.set(region, candidates)
    }
    return candidates
  }

  private handleRemovedUpstreams (upstreams: Member[]): void {
    const listedAddresses = new Set(upstreams.map(member => member.address))
    for (const [instanceId, address] of this.upstreamAddresses) {
      if (listedAddresses.has(address)) continue
      this.upstreamAddresses.delete(instanceId)
      this.options.onUpstreamRemoved(address)
    }
    for (const { instanceId, address } of upstreams) this.upstreamAddresses.set(instanceId, address)
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
    this.livePeers = entries.filter(entry => entry.usable)
      .map(entry => this.peers.get(entry.instanceId))
      .filter(peer => peer !== undefined)
  }

  /** Peers of other regions are told only when there is something to tell, as the link between regions is slow. */
  private exchangeReports (): void {
    const { membership, clock, region } = this.options
    const reports = membership.getReports(clock.monotonicMilliseconds())
    for (const peer of this.livePeers) {
      if (peer.region !== region && reports.length === 0) continue
      peer.exchangeReports(reports).then(received => {
        membership.applyReports(received, clock.monotonicMilliseconds())
        this.refresh()
      }, () => {})
    }
  }

  private async readList (): Promise<void> {
    const read = await this.options.instanceList.readInstances()
    if (read.kind === 'ok') {
      this.options.membership.applyList(read.instances, this.options.clock.monotonicMilliseconds())
      this.isListRead = true
      this.refresh()
    }
    this.exchangeReports()
    this.setTimer(LIST_INTERVAL_MILLISECONDS, () => { this.readList().catch(() => {}) })
  }

  private refreshPeriodically (): void {
    this.refresh()
    this.setTimer(REFRESH_INTERVAL_MILLISECONDS, () => this.refreshPeriodically())
  }

  private setTimer (delayMilliseconds: number, callback: () => void): void {
    if (!this.isRunning) return
    const cancel = this.options.clock.setTimer(delayMilliseconds, () => {
      this.cancelTimers = this.cancelTimers.filter(other => other !== cancel)
      if (this.isRunning) callback()
    })
    this.cancelTimers.push(cancel)
  }
}

function createUpstreamSite (member: Member): UpstreamSite {
  const { instanceId, service = '', address, dataCentre, region, slots = DEFAULT_SLOTS } = member
  return { upstreamId: instanceId, service, address, dataCentre, region, slots }
}
