import type { CancelTimer, Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'
import type { TableService } from '../table/TableService.js'
import { EMPTY_CONFIGURATION, type Configuration, type ConfigurationSource } from './Configuration.js'
import type { ConfigurationPeer } from './ConfigurationPeer.js'
import { readHead, readVersion } from './ConfigurationStore.js'

/** Options of a reader of the configuration. */
export interface VersionedConfigurationOptions {
  tableService: Pick<TableService, 'read' | 'readMany'>
  clock: Clock
  logger: Logger
  /** Returns the other instances with which versions can be exchanged now. */
  peers: () => ConfigurationPeer[]
}

/**
 * The interval at which the head is read. Eight instances make 8 reads/s, far below the store's limit of 2000, and a
 * change is usually in force within a second.
 */
const POLL_INTERVAL_MILLISECONDS = 1000

/**
 * Reads the configuration from the table service, and from peers when the table service cannot be reached.
 *
 * It installs only complete versions, and only when they are higher than the version in force.
 */
export class VersionedConfiguration implements ConfigurationSource {
  private current = EMPTY_CONFIGURATION
  private loaded = false
  private isLoading = false
  private running = false
  private cancelTimer: CancelTimer = () => {}
  private readonly listeners = new Set<(configuration: Configuration) => void>()
  private pollInFlight: Promise<boolean> | null = null
  private isPollRequested = false
  private storeReachable = true
  private nextPeerIndex = 0

  private constructor (private readonly options: VersionedConfigurationOptions) {}

  /**
   * Creates a reader; `start` begins reading.
   * @param options The table service, clock, logger and peers.
   * @returns The reader.
   */
  static create (options: VersionedConfigurationOptions): VersionedConfiguration {
    return new VersionedConfiguration(options)
  }

  /** Starts reading the head once a second and exchanging versions with peers. */
  start (): void {
    if (this.running) return
    this.running = true
    this.runRound()
  }

  /** Stops reading; responses that arrive afterwards are ignored. */
  stop (): void {
    this.running = false
    this.cancelTimer()
  }

  /**
   * Returns whether the configuration has been read from the table service or a peer since the start.
   * @returns False while no decision may be based on the configuration yet.
   */
  isLoaded (): boolean {
    return this.loaded
  }

  /**
   * Returns whether the table service responded to the last read.
   * @returns False during an outage of the table service.
   */
  isStoreReachable (): boolean {
    return this.storeReachable
  }

  getConfiguration (): Configuration {
    return this.current
  }

  subscribe (listener: (configuration: Configuration) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /**
   * Installs a complete version when it is higher than the version in force.
   * @param configuration The complete version.
   * @returns Whether it was installed.
   */
  installIfNewer (configuration: Configuration): boolean {
    if (configuration.version <= this.current.version) return false
    this.current = configuration
    this.loaded = true
    this.options.logger.info('configuration in force', { version: configuration.version })
    for (const listener of this.listeners) listener(configuration)
    return true
  }

  /**
   * Handles the `exchangeConfiguration` call of a peer. When the peer has a higher version, the head is read
   * immediately instead of at the next poll.
   * @param own The version in force on the peer.
   * @returns The configuration when it is newer than the peer's, else null.
   */
  answerExchange (own: { version: number }): Configuration | null {
    if (own.version > this.current.version && this.running) this.poll()
    return this.loaded && this.current.version > own.version ? this.current : null
  }

  private runRound (): void {
    if (!this.running) return
    this.cancelTimer = this.options.clock.setTimer(POLL_INTERVAL_MILLISECONDS, () => this.runRound())
    const peers = this.options.peers()
    if (!this.loaded) {
      if (!this.isLoading) this.loadFirstVersion(peers)
      return
    }
    // While the store responds, one peer a second is enough to detect a missed version; otherwise all peers are asked.
    const storeResponds = this.storeReachable && this.pollInFlight === null
    const chosenPeers = storeResponds && peers.length > 0 ? [peers[this.nextPeerIndex++ % peers.length]] : peers
    for (const peer of chosenPeers) this.exchangeWithPeer(peer)
    if (this.pollInFlight === null) this.pollAndNotifyPeers(peers.filter(peer => !chosenPeers.includes(peer)))
  }

  /**
   * Reads the store, and falls back to the highest version of the peers only when the store does not respond. A peer
   * that responds before the store may have an older version than this instance had in force before its restart.
   */
  private async loadFirstVersion (peers: ConfigurationPeer[]): Promise<void> {
    this.isLoading = true
    await this.poll()
    if (this.running && !this.loaded) {
      const responses = await Promise.all(peers.map(peer => this.exchangeWithTimeout(peer)))
      for (const response of responses.sort((left, right) => (right?.version ?? 0) - (left?.version ?? 0))) {
        if (this.running && response !== null) this.installIfNewer(response)
      }
    }
    this.isLoading = false
  }

  private async exchangeWithTimeout (peer: ConfigurationPeer): Promise<Configuration | null> {
    const response = peer.exchangeConfiguration({ version: this.current.version }).catch(() => null)
    const timeout = new Promise<null>(resolve => {
      this.options.clock.setTimer(POLL_INTERVAL_MILLISECONDS, () => resolve(null))
    })
    return await Promise.race([response, timeout])
  }

  /** Reads the head; exchanges versions with the other peers after a new version was installed or the read failed. */
  private async pollAndNotifyPeers (otherPeers: ConfigurationPeer[]): Promise<void> {
    const installed = await this.poll()
    if (!this.running || (this.storeReachable && !installed)) return
    for (const peer of otherPeers) this.exchangeWithPeer(peer)
  }

  private async exchangeWithPeer (peer: ConfigurationPeer): Promise<void> {
    try {
      const newer = await peer.exchangeConfiguration({ version: this.current.version })
      if (this.running && newer !== null) this.installIfNewer(newer)
    } catch {
      // An unreachable peer is asked again in a later round, and the membership view reports it.
    }
  }

  private async poll (): Promise<boolean> {
    if (this.pollInFlight !== null) {
      this.isPollRequested = true
      return await this.pollInFlight
    }
    this.pollInFlight = this.pollWhileRequested()
    try {
      return await this.pollInFlight
    } finally {
      this.pollInFlight = null
    }
  }

  private async pollWhileRequested (): Promise<boolean> {
    let installed = false
    do {
      this.isPollRequested = false
      installed = await this.pollStore() || installed
    } while (this.isPollRequested && this.running && this.storeReachable)
    return installed
  }

  private async pollStore (): Promise<boolean> {
    const base = this.current
    const read = await readHead(this.options.tableService)
    if (!this.running) return false
    this.setStoreReachable(read.kind === 'ok')
    if (read.kind !== 'ok') return false
    const { head } = read.value
    if (head.version <= base.version) {
      this.loaded = true
      return false
    }
    const version = await readVersion(this.options.tableService, head, base)
    if (!this.running) return false
    if (version.kind === 'ok') return this.installIfNewer(version.value)
    this.setStoreReachable(version.failure.kind === 'incomplete')
    if (version.failure.kind === 'incomplete') {
      this.options.logger.error('a section of the configuration is missing', { ...version.failure })
    }
    return false
  }

  private setStoreReachable (reachable: boolean): void {
    if (reachable === this.storeReachable) return
    this.storeReachable = reachable
    if (reachable) this.options.logger.info('table service reachable')
    else this.options.logger.warn('table service not reachable; the installed configuration stays in force')
  }
}
