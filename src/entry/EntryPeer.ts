import { rootCertificates } from 'node:tls'
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import { Agent, fetch } from 'undici'
import type { Configuration, ConfigurationPeer } from '../configuration/index.js'
import type { MembershipReport } from '../membership/index.js'
import type { SlotGrant, SlotPeer, SlotRequest } from '../routing/index.js'
import type { PeerRouter } from './peerRouter.js'
import type { RequestRecord } from './RequestRecords.js'

/** The timeout of a call. A later response is of no use to a request, and the state in it is out of date. */
const CALL_TIMEOUT_MILLISECONDS = 1000
/** Each queued request asks for one slot at a time; calls over more connections would only queue at the peer. */
const CONNECTIONS = 8

/** The number of consecutive failures that makes a peer unreachable. A single timeout can happen under load. */
const UNREACHABLE_FAILURES = 2

/** Options of the client of a peer. */
export interface EntryPeerOptions {
  instanceId: string
  region: string
  /** Host and port. */
  address: string
  /** The certificate of the entry instances if they use TLS, else null. */
  tlsCertificate: Buffer | null
  /** Called when the peer refuses connections or has failed several calls in a row. */
  onUnreachable: () => void
}

/** The trpc client of another entry instance. */
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
   * Exchanges reports about leaving and unreachable instances with the peer.
   * @param reports The reports of this instance.
   * @returns The reports of the peer.
   */
  async exchangeReports (reports: MembershipReport[]): Promise<MembershipReport[]> {
    return (await this.trackFailures(this.client.exchangeReports.mutate({ reports }))).reports
  }

  /**
   * Returns the record of a request that the peer has served.
   * @param requestId The identifier of the request.
   * @returns The record, or null when the peer has none.
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

  /** Closes the connections after the calls in flight have ended. */
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

/** Returns whether the connection was refused, which the trpc client reports as a nested cause of its error. */
function isConnectionRefused (error: unknown): boolean {
  for (let cause = error as { code?: string, cause?: unknown } | undefined; cause !== undefined && cause !== null;) {
    if (cause.code === 'ECONNREFUSED') return true
    cause = cause.cause as typeof cause
  }
  return false
}
