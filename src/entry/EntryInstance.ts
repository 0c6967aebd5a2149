import { readFileSync } from 'node:fs'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { VersionedConfiguration, type Configuration } from '../configuration/index.js'
import { HttpInstanceList, MembershipView, type InstanceListSource } from '../membership/index.js'
import { CompiledPolicy, parsePolicy } from '../policy/index.js'
import {
  ByteBudget, RequestRouter, SlotAllocator, SlotLedger, SubmissionClaims, UpstreamClient, UpstreamHealthTracker,
  type RequestRouterOptions, type UpstreamClientOptions, type UpstreamObservation, type UpstreamSite
} from '../routing/index.js'
import { createIdentifier, SystemClock, type Logger } from '../shared/index.js'
import { HttpTableService, type TableService } from '../table/index.js'
import { CallerAuthenticator } from './CallerAuthenticator.js'
import { EntryMetrics } from './EntryMetrics.js'
import { EntryServer } from './EntryServer.js'
import type { EntrySettings } from './entrySettings.js'
import { EntryTopology } from './EntryTopology.js'
import { createPeerRouter } from './peerRouter.js'
import { RequestRecords, type RequestRecord } from './RequestRecords.js'

/** Options of an entry instance. */
export interface EntryInstanceOptions {
  settings: EntrySettings
  logger: Logger
  /** Takes the place of the table service at the address in the settings. */
  tableService?: TableService
  /** Takes the place of the instance list at the address in the settings. */
  instanceList?: InstanceListSource
  /** Replaces rules of routing; tests pass broken ones. */
  variants?: Pick<RequestRouterOptions, 'mayRetry'> & Pick<UpstreamClientOptions, 'isOwnAnswer'> &
    { claims?: Pick<SubmissionClaims, 'claim' | 'drain' | 'stop'> }
}

const MAX_RESPONSE_BYTES = 16_777_216
/** Attempts are abandoned soon after the deadline of their request; this only ends those that were forgotten. */
const ATTEMPT_TIMEOUT_MILLISECONDS = 660_000
/** Eight entry instances with this many connections each keep within the 64 of an upstream. */
const CONNECTIONS_PER_UPSTREAM = 8
const LINK_BURST_SECONDS = 2
/** A planned stop waits this long for outcomes to be recorded in the table service. */
const STOP_STEP_TIMEOUT_MILLISECONDS = 5000

/** One entry instance: the server of callers and everything behind it. */
export class EntryInstance {
  private readonly clock = SystemClock.create()
  private readonly metrics = EntryMetrics.create()
  private readonly records = RequestRecords.create()
  private readonly membership = MembershipView.create()
  private readonly ledger: SlotLedger
  private readonly health: UpstreamHealthTracker
  private readonly configuration: VersionedConfiguration
  private readonly claims: Pick<SubmissionClaims, 'claim' | 'drain' | 'stop'>
  private readonly client: UpstreamClient
  private readonly topology: EntryTopology
  private readonly allocator: SlotAllocator
  private readonly server: EntryServer
  private readonly settings: EntrySettings
  private readonly logger: Logger
  private readonly tls: { key: Buffer, cert: Buffer } | null
  private policy = CompiledPolicy.create([])
  private isStopped = false

  private constructor (options: EntryInstanceOptions) {
    const { settings, logger } = options
    const { clock, metrics } = this
    this.settings = settings
    this.logger = logger
    const tableService = options.tableService ?? HttpTableService.create({ url: settings.tableServiceUrl })
    this.configuration = VersionedConfiguration.create({
      tableService, clock, logger, peers: () => this.topology.getPeers()
    })
    this.claims = options.variants?.claims ?? SubmissionClaims.create({ tableService, clock })
    this.client = UpstreamClient.create({
      connections: CONNECTIONS_PER_UPSTREAM,
      maxResponseBytes: MAX_RESPONSE_BYTES,
      attemptTimeoutMilliseconds: ATTEMPT_TIMEOUT_MILLISECONDS,
      isOwnAnswer: options.variants?.isOwnAnswer
    })
    // A restarted instance must not take loans of its predecessor for its own.
    this.ledger = SlotLedger.create({ leasePrefix: createIdentifier() })
    this.health = UpstreamHealthTracker.create({
      onEject: (upstreamId, reason) => {
        metrics.ejections.inc({ reason })
        logger.warn('upstream ejected', { upstreamId, reason })
      }
    })
    this.tls = readTlsFiles(settings)
    this.topology = EntryTopology.create({
      ...settings,
      tlsCertificate: this.tls?.cert ?? null,
      clock,
      membership: this.membership,
      ledger: this.ledger,
      health: this.health,
      instanceList: options.instanceList ?? HttpInstanceList.create({ url: settings.instanceListUrl }),
      getConfiguration: () => this.configuration.getConfiguration(),
      onChange: () => this.allocator.serveAll(),
      onUpstreamRemoved: address => this.client.closePool(address)
    })
    this.allocator = this.createAllocator()
    this.server = this.createServer(this.createRouter(options.variants?.mayRetry))
  }

  /**
   * Creates an instance that does not listen yet.
   * @param options The checked settings, the logger and, for tests and benches, the platform's services.
   * @returns The instance.
   */
  static create (options: EntryInstanceOptions): EntryInstance {
    return new EntryInstance(options)
  }

  /** Reads membership and configuration and starts to listen. */
  async start (): Promise<void> {
    this.configuration.subscribe(configuration => this.applyConfiguration(configuration))
    this.configuration.start()
    await this.topology.start()
    await this.server.listen(this.settings.listenPort, this.settings.listenHost)
    this.logger.info('entry instance listens', { port: this.settings.listenPort })
  }

  /** Stops without interrupting a request: readiness fails first, then requests in flight finish. */
  async stop (): Promise<void> {
    if (this.isStopped) return
    this.isStopped = true
    this.logger.info('entry instance drains')
    this.server.startDraining()
    await this.wait(this.settings.drainDelayMilliseconds)
    await this.server.stop()
    await Promise.race([this.claims.drain(), this.wait(STOP_STEP_TIMEOUT_MILLISECONDS)])
    this.claims.stop()
    this.configuration.stop()
    this.allocator.stop()
    await Promise.race([this.topology.stop(), this.wait(STOP_STEP_TIMEOUT_MILLISECONDS)])
    await Promise.race([this.client.close(), this.wait(STOP_STEP_TIMEOUT_MILLISECONDS)])
    this.logger.info('entry instance stopped')
  }

  private createAllocator (): SlotAllocator {
    const { settings, clock, metrics, topology, health } = this
    return SlotAllocator.create({
      ...settings,
      clock,
      ledger: this.ledger,
      linkBudget: ByteBudget.create({ bytesPerSecond: settings.linkBytesPerSecond, burstSeconds: LINK_BURST_SECONDS }),
      getPeers: () => topology.getPeers(),
      getAllowedSlots: (site: UpstreamSite, mayRepeat: boolean) => topology.isUsable(site.upstreamId)
        ? health.getAllowedSlots(site.upstreamId, site.slots, mayRepeat, clock.monotonicMilliseconds())
        : 0,
      countUpstreamsInRegion: service => topology.countNearUpstreams(service),
      countBorrowing: result => metrics.borrowed.inc({ result }),
      onQueueLength: length => metrics.queued.set(length)
    })
  }

  private createRouter (mayRetry: RequestRouterOptions['mayRetry']): RequestRouter {
    const { clock, metrics, topology, client } = this
    return RequestRouter.create({
      clock,
      mayRetry,
      allocator: this.allocator,
      health: this.health,
      claims: this.claims,
      send: (attempt, settle) => client.send(attempt, settle),
      isKnownService: service => topology.isKnownService(service),
      onUpstreamObservation: (upstreamId, notice) => this.handleUpstreamObservation(upstreamId, notice),
      onAttempt: result => metrics.attempts.inc({ result }),
      onRetry: reason => metrics.retries.inc({ reason }),
      onLateResponse: (requestId, outcome) => this.records.recordOutcome(requestId, outcome)
    })
  }

  private createServer (router: RequestRouter): EntryServer {
    return EntryServer.create({
      ...this.settings,
      clock: this.clock,
      metrics: this.metrics,
      records: this.records,
      authenticator: CallerAuthenticator.create({ callersByDigest: this.settings.callerKeys }),
      getPolicy: () => this.policy,
      route: async request => await router.route(request),
      findPeerRecord: async requestId => await this.findPeerRecord(requestId),
      isReady: () => this.topology.isLoaded() && this.configuration.isLoaded(),
      handlePeerRequest: this.createPeerHandler(),
      tls: this.tls
    })
  }

  private handleUpstreamObservation (upstreamId: string, notice: UpstreamObservation): void {
    this.membership.observe(upstreamId, notice, this.clock.monotonicMilliseconds())
    if (notice !== 'answered') this.topology.scheduleReports()
  }

  private applyConfiguration (configuration: Configuration): void {
    const parsed = parsePolicy(configuration.policyText)
    if (parsed.kind === 'ok') this.policy = parsed.value
    else this.logger.error('policy not valid, the last one stays in force', { version: configuration.version })
    this.topology.refresh(true)
  }

  /** The identifier of a request begins with the instance that served it. */
  private async findPeerRecord (requestId: string): Promise<RequestRecord | null> {
    const peer = this.topology.getPeers().find(candidate => requestId.startsWith(`${candidate.instanceId}.`))
    return await peer?.getRequestRecord(requestId).catch(() => null) ?? null
  }

  private createPeerHandler () {
    const router = createPeerRouter({
      getNewerConfiguration: version => this.configuration.answerExchange({ version }),
      exchangeReports: reports => {
        const now = this.clock.monotonicMilliseconds()
        this.membership.applyReports(reports, now)
        this.topology.refresh()
        return this.membership.getReports(now)
      },
      getRequestRecord: requestId => this.records.get(requestId),
      lendSlot: async request => await this.allocator.lend(request),
      takeSlotBack: leaseId => this.allocator.endLease(leaseId)
    })
    return createHTTPHandler({ router, basePath: '/trpc/' })
  }

  private wait (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.clock.setTimer(milliseconds, resolve) })
  }
}

function readTlsFiles (settings: EntrySettings): { key: Buffer, cert: Buffer } | null {
  if (settings.tlsKeyFile === '' || settings.tlsCertificateFile === '') return null
  return { key: readFileSync(settings.tlsKeyFile), cert: readFileSync(settings.tlsCertificateFile) }
}
