import { createRandom } from '../../../stand-ins/shared/createRandom.js'
import { findFreePorts } from '../../../stand-ins/shared/findFreePorts.js'
import { MemoryTableService } from '../../../stand-ins/table-service/MemoryTableService.js'
import { StandInUpstream } from '../../../stand-ins/upstreams/StandInUpstream.js'
import { ConfigurationWriter, type ConfigurationChange } from '../../../src/configuration/index.js'
import { EntryInstance, type EntryInstanceOptions } from '../../../src/entry/EntryInstance.js'
import type { EntrySettings } from '../../../src/entry/entrySettings.js'
import type { InstanceListSource, ListedInstance } from '../../../src/membership/index.js'
import { silentLogger, SystemClock } from '../../../src/shared/index.js'

/** The options of a deployment in one process. */
export interface EntryDeploymentOptions {
  seed: number
  /** The location of each entry instance. */
  entries: Site[]
  /** The location of each upstream. */
  upstreams: Site[]
  policyText?: string
  settings?: Partial<EntrySettings>
  /** The service time of the upstreams by kind of request, in milliseconds. */
  serviceMilliseconds?: Record<string, number>
  variants?: EntryInstanceOptions['variants']
}

/** The location of an instance. */
export interface Site {
  dataCentre: string
  region: string
}

/** The service that all upstreams of a deployment provide. */
export const SERVICE = 'permit-desk'

/** Runs entry instances and upstreams on loopback in this process, with in-memory stand-ins for the platform. */
export class EntryDeployment {
  readonly table: MemoryTableService
  readonly upstreams: StandInUpstream[] = []
  readonly instances: ListedInstance[] = []
  readonly entries: EntryInstance[] = []
  readonly urls: string[] = []
  private readonly clock = SystemClock.create()
  private readonly random: () => number
  /** The source of the platform's instance list for the entry instances; tests change `instances` to alter the list. */
  readonly list: InstanceListSource = {
    readInstances: async () => ({ kind: 'ok', instances: structuredClone(this.instances) })
  }

  private constructor (private readonly options: EntryDeploymentOptions) {
    this.random = createRandom(options.seed)
    this.table = MemoryTableService.create({ random: this.random })
  }

  /**
   * Starts a deployment and waits until every entry instance is ready.
   * @param options The options of the deployment.
   * @returns The deployment.
   */
  static async start (options: EntryDeploymentOptions): Promise<EntryDeployment> {
    const deployment = new EntryDeployment(options)
    if (options.policyText !== undefined) {
      await deployment.changeConfiguration({ kind: 'policy-apply', policyText: options.policyText })
    }
    for (const [index, site] of options.upstreams.entries()) await deployment.addUpstream(`upstream-${index}`, site)
    const ports = await findFreePorts(options.entries.length)
    for (const [index, site] of options.entries.entries()) deployment.listEntry(index, ports[index], site)
    for (const [index, site] of options.entries.entries()) await deployment.startEntry(index, ports[index], site)
    for (const url of deployment.urls) await waitUntilReady(url)
    return deployment
  }

  /**
   * Changes the configuration as an operator does.
   * @param change The change.
   */
  async changeConfiguration (change: ConfigurationChange): Promise<void> {
    const writer = ConfigurationWriter.create({ tableService: this.table, clock: this.clock })
    const base = await writer.readBase()
    if (base.kind !== 'ok') throw new Error('the current configuration could not be read')
    const written = await writer.write(base.value, change, { operator: 'test', reason: 'test' })
    if (written.kind !== 'ok') throw new Error(`the configuration change was not accepted: ${written.failure.kind}`)
  }

  /** Stops the entry instances and then the upstreams. */
  async stop (): Promise<void> {
    await Promise.all(this.entries.map(async entry => await entry.stop()))
    await Promise.all(this.upstreams.map(async upstream => await upstream.kill().catch(() => {})))
  }

  private async addUpstream (upstreamId: string, site: Site): Promise<void> {
    const { clock, random } = this
    const { serviceMilliseconds } = this.options
    const upstream = StandInUpstream.create({ upstreamId, clock, random, serviceMilliseconds })
    const [port] = await findFreePorts(1)
    await upstream.listen(port)
    this.upstreams.push(upstream)
    this.instances.push({
      ...site,
      instanceId: upstreamId,
      role: 'upstream',
      address: `127.0.0.1:${port}`,
      rack: 'r1',
      state: 'live',
      service: SERVICE,
      slots: 8,
      connections: 64
    })
  }

  private listEntry (index: number, port: number, site: Site): void {
    const address = `127.0.0.1:${port}`
    this.instances.push({ ...site, instanceId: `entry-${index}`, role: 'entry', address, rack: 'r1', state: 'live' })
  }

  private async startEntry (index: number, port: number, site: Site): Promise<void> {
    const entry = EntryInstance.create({
      logger: silentLogger,
      tableService: this.table,
      instanceList: this.list,
      variants: this.options.variants,
      settings: {
        ...site,
        instanceId: `entry-${index}`,
        listenHost: '127.0.0.1',
        listenPort: port,
        tableServiceUrl: '',
        instanceListUrl: '',
        callerKeys: new Map(),
        tlsKeyFile: '',
        tlsCertificateFile: '',
        maxBodyBytes: 1_048_576,
        maxConnections: 4096,
        senderTimeoutMilliseconds: 10_000,
        drainDelayMilliseconds: 0,
        linkBytesPerSecond: 250_000,
        ...this.options.settings
      }
    })
    await entry.start()
    this.entries.push(entry)
    this.urls.push(`http://127.0.0.1:${port}`)
  }
}

/**
 * Waits until an entry instance is ready.
 * @param url The address of the instance.
 */
export async function waitUntilReady (url: string): Promise<void> {
  for (let attempt = 0; attempt < 500; attempt++) {
    const response = await fetch(`${url}/readyz`).catch(() => null)
    await response?.text()
    if (response?.status === 200) return
    await new Promise(resolve => setTimeout(resolve, 10))
  }
  throw new Error(`the entry instance at ${url} did not become ready`)
}
