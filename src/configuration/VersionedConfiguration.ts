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
  /** Returns the other instances that can be asked now. */
  peers: () => ConfigurationPeer[]
}

/**
 * How often the head is read, in milliseconds. With eight instances this is 8 reads/s, far below the store's
 * 2000, and it puts a change in force within a second in most cases.
 */
const POLL_INTERVAL_MILLISECONDS = 1000

/**
 * Reads the configuration from the table service, and from peers when the table service cannot be reached.
 *
 * A version is installed whole or not at all, and never over a version that is as high or higher.
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
   * Creates a reader that has read nothing yet.
   * @param options The table service, clock, logger and peers.
   * @returns The reader.
   */
  static create (options: VersionedConfigurationOptions): VersionedConfiguration {
    return new VersionedConfiguration(options)
  }

  /** Starts to read the head once a second and to exchange versions with peers. */
  start (): void {
    if (this.running) return
    this.running = true
    this.runRound()
  }

  /** Stops reading; answers that are still on their way are ignored. */
  stop (): void {
    this.running = false
    this.cancelTimer()
  }

  /**
   * Tells whether a configuration has been read from the table service or a peer since the start.
   * @returns False until then; decisions must wait.
   */
  isLoaded (): boolean {
    return this.loaded
  }

  /**
   * Tells whether the last read of the head succeeded.
   * @returns False in an outage of the table service.
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
   * Installs a whole version that came from elsewhere when it is higher than the one in force.
   * @param configuration The whole version.
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
   * Answers a peer's exchange, the serving side of `ConfigurationPeer`. When the peer has a higher version,
   * the head is read at once instead of at the next poll.
   * @param own The version in force at the peer.
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
    // While the store answers, one peer a second is enough to notice a missed version; else every peer is asked.
    const storeResponds = this.storeReachable && this.pollInFlight === null
    const chosenPeers = storeResponds && peers.length > 0 ? [peers[this.nextPeerIndex++ % peers.length]] : peers
    for (const peer of chosenPeers) this.exchangeWithPeer(peer)
    if (this.pollInFlight === null) this.pollAndNotifyPeers(peers.filter(peer => !chosenPeers.includes(peer)))
  }

  /**
   * Reads the store first, and only when it does not answer takes the highest version of the peers. A peer's answer
   * that came before the store's could be older than what this instance had in force before it was restarted.
   */
  private async loadFirstVersion (peers: ConfigurationPeer[]): Promise<void> {
    this.isLoading = true
    await this.poll()
    if (this.running && !this.loaded) {
      const responses = await Promise.all(peers.map(peer => this.exchangeWithTimeout(peer)))
      for (const answer of responses.sort((left, right) => (right?.version ?? 0) - (left?.version ?? 0))) {
        if (this.running && answer !== null) this.installIfNewer(answer)
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

  /** Reads the head; tells the rest of the peers at once when that gave a new version or failed. */
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
      // A peer that cannot be reached is asked again in its turn; membership reports it.
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
    else this.options.logger.warn('table service not reachable, the configuration is kept')
  }
}
