import { rootCertificates } from 'node:tls'
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import { Agent, fetch } from 'undici'
import type { Configuration, ConfigurationPeer } from '../configuration/index.js'
import type { MembershipReport } from '../membership/index.js'
import type { SlotGrant, SlotPeer, SlotRequest } from '../routing/index.js'
import type { PeerRouter } from './peerRouter.js'
import type { RequestRecord } from './RequestRecords.js'

/** A peer that takes longer is of no use to a request, and its state is old. */
const CALL_TIMEOUT_MILLISECONDS = 1000
/** Each waiting request asks for one slot at a time; more connections than this would only queue at the peer. */
const CONNECTIONS = 8

/** A peer that fails this often in a row counts as unreachable; single timeouts happen under load. */
const UNREACHABLE_FAILURES = 2

/** Options of a peer. */
export interface EntryPeerOptions {
  instanceId: string
  region: string
  /** Host and port. */
  address: string
  /** The certificate of the entry instances when they listen with TLS, else null. */
  tlsCertificate: Buffer | null
  /** Called when the peer refuses connections or has failed several calls in a row. */
  onUnreachable: () => void
}

/** Another entry instance, reached by trpc. */
export class EntryPeer implements ConfigurationPeer, SlotPeer {
  private consecutiveFailures = 0

  private constructor (
    private readonly options: EntryPeerOptions,
    private readonly client: TRPCClient<PeerRouter>,
    private readonly agent: Agent
  ) {}

  get instanceId (): string {
    return this.options.instanceId
  }

  get region (): string {
    return this.options.region
  }

  /**
   * Creates the client of a peer.
   * @param options The identifier, region and address of the peer.
   * @returns The client.
   */
  static create (options: EntryPeerOptions): EntryPeer {
    const { address, tlsCertificate } = options
    const connect = tlsCertificate === null ? {} : { ca: [...rootCertificates, tlsCertificate.toString()] }
    const agent = new Agent({ connections: CONNECTIONS, pipelining: 1, connect })
    const client = createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `${tlsCertificate === null ? 'http' : 'https'}://${address}/trpc`,
        fetch: async (url, requestOptions) => await fetch(url as string, {
          ...requestOptions as object, dispatcher: agent, signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS)
        }) as unknown as Response
      })]
    })
    return new EntryPeer(options, client, agent)
  }

  async exchangeConfiguration (own: { version: number }): Promise<Configuration | null> {
    return await this.trackFailures(this.client.exchangeConfiguration.query(own)) as Configuration | null
  }

  /**
   * Tells the peer what this process saw of instances.
   * @param reports Own reports.
   * @returns The reports of the peer.
   */
  async exchangeReports (reports: MembershipReport[]): Promise<MembershipReport[]> {
    return (await this.trackFailures(this.client.exchangeReports.mutate({ reports }))).reports
  }

  /**
   * Asks the peer for a request that it has served.
   * @param requestId The identifier of the request.
   * @returns The record, or null when it has none.
   */
  async getRequestRecord (requestId: string): Promise<RequestRecord | null> {
    return await this.trackFailures(this.client.getRequestRecord.query({ requestId }))
  }

  async borrowSlot (request: SlotRequest): Promise<SlotGrant | null> {
    return await this.trackFailures(this.client.borrowSlot.mutate(request))
  }

  async returnSlot (leaseId: string): Promise<void> {
    await this.trackFailures(this.client.returnSlot.mutate({ leaseId }))
  }

  /** Closes the connections once the calls in flight have ended. */
  async close (): Promise<void> {
    await this.agent.close()
  }

  private async trackFailures<Value> (call: Promise<Value>): Promise<Value> {
    try {
      const value = await call
      this.consecutiveFailures = 0
      return value
    } catch (error) {
      this.consecutiveFailures++
      if (isConnectionRefused(error) || this.consecutiveFailures >= UNREACHABLE_FAILURES) this.options.onUnreachable()
      throw error
    }
  }
}

/** The refusal of a connection is the innermost cause of the client's error. */
function isConnectionRefused (error: unknown): boolean {
  for (let cause = error as { code?: string, cause?: unknown } | undefined; cause !== undefined && cause !== null;) {
    if (cause.code === 'ECONNREFUSED') return true
    cause = cause.cause as typeof cause
  }
  return false
}
