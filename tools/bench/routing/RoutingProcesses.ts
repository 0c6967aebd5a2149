import { request } from 'undici'
import { findFreePorts } from '../../../stand-ins/shared/findFreePorts.js'
import type { UpstreamCounters } from '../../../stand-ins/upstreams/StandInUpstream.js'
import { SystemClock } from '../../../src/shared/index.js'
import { ConfigurationWriter } from '../../../src/configuration/index.js'
import { HttpTableService } from '../../../src/table/index.js'
import { ProcessGroup } from '../../demo/ProcessGroup.js'
import { SERVICE, waitUntilReady, type Site } from '../deployments/EntryDeployment.js'

/** The options of a deployment in separate processes. */
export interface RoutingProcessesOptions {
  seed: number
  entries: Site[]
  upstreams: Site[]
  policyText: string
  serviceMilliseconds: Record<string, number>
  /** The number of processes over which the upstreams are distributed. */
  upstreamProcesses?: number
  /** Whether to start the naive router as well. */
  naive?: boolean
}

/** Runs upstreams, entry instances and the stand-ins for the platform's services in separate processes. */
export class RoutingProcesses {
  readonly group = ProcessGroup.create()
  readonly entryUrls: string[] = []
  readonly upstreamAddresses: string[] = []
  naiveUrl = ''
  private readonly upstreamControlUrls: string[] = []

  private constructor (private readonly options: RoutingProcessesOptions) {}

  /**
   * Starts all processes and waits until the entry instances are ready.
   * @param options The options of the deployment.
   * @returns The processes.
   */
  static async start (options: RoutingProcessesOptions): Promise<RoutingProcesses> {
    const processes = new RoutingProcesses(options)
    await processes.startAll()
    return processes
  }

  /**
   * Reads the counters of all upstreams.
   * @returns The counters in the order of the upstreams.
   */
  async readCounters (): Promise<UpstreamCounters[]> {
    const all: Record<string, UpstreamCounters> = {}
    for (const control of this.upstreamControlUrls) {
      Object.assign(all, await (await request(`${control}/counters`)).body.json())
    }
    return this.upstreamAddresses.map((_, index) => all[`upstream-${index}`])
  }

  /**
   * Sets faults of an upstream.
   * @param index The index of the upstream.
   * @param faults The faults.
   */
  async setFaults (index: number, faults: Record<string, unknown>): Promise<void> {
    const response = await request(`${this.upstreamControlUrls[index % this.upstreamControlUrls.length]}/faults`, {
      method: 'POST', body: JSON.stringify({ upstreamId: `upstream-${index}`, ...faults })
    })
    await response.body.dump()
  }

  /**
   * Sums a counter over all entry instances.
   * @param name The start of the metric's line in the text of `/metrics`: its name, with or without labels.
   * @returns The sum.
   */
  async sumMetric (name: string): Promise<number> {
    let sum = 0
    for (const url of this.entryUrls) {
      const text = await (await request(`${url}/metrics`)).body.text()
      for (const line of text.split('\n')) if (line.startsWith(name)) sum += Number(line.split(' ').pop())
    }
    return sum
  }

  /** Kills all processes. */
  async stop (): Promise<void> {
    await this.group.killAll()
  }

  private async startAll (): Promise<void> {
    const { seed, entries, upstreams, serviceMilliseconds, policyText } = this.options
    const { upstreamProcesses = 2, naive = false } = this.options
    const [tablePort, listPort, naivePort] = await findFreePorts(3)
    const upstreamPorts = await findFreePorts(upstreams.length)
    const entryPorts = await findFreePorts(entries.length)
    const controlPorts = await findFreePorts(upstreamProcesses)
    const upstreamList = upstreams.map((site, index) => ({
      ...site,
      instanceId: `upstream-${index}`,
      role: 'upstream',
      address: `127.0.0.1:${upstreamPorts[index]}`,
      rack: 'r1',
      state: 'live',
      service: SERVICE,
      slots: 8,
      connections: 64
    }))
    const entryList = entries.map((site, index) => ({
      ...site,
      instanceId: `entry-${index}`,
      role: 'entry',
      address: `127.0.0.1:${entryPorts[index]}`,
      rack: 'r1',
      state: 'live'
    }))
    this.upstreamAddresses.push(...upstreamList.map(upstream => upstream.address))
    await this.startProgram('table', 'dist/stand-ins/table-service/program.js', '/counters', { STAND_IN_PORT: String(tablePort) })
    await this.startProgram('list', 'dist/stand-ins/instance-list/program.js', '/instances', {
      STAND_IN_PORT: String(listPort), STAND_IN_INSTANCES: JSON.stringify([...upstreamList, ...entryList])
    })
    for (const [number, port] of controlPorts.entries()) {
      const own = upstreamPorts.map((upstreamPort, index) => ({ upstreamId: `upstream-${index}`, port: upstreamPort }))
        .filter((_, index) => index % upstreamProcesses === number)
      this.upstreamControlUrls.push(`http://127.0.0.1:${port}`)
      await this.startProgram(`upstreams-${number}`, 'dist/stand-ins/upstreams/program.js', '/counters', {
        STAND_IN_PORT: String(port),
        STAND_IN_SEED: String(seed + number),
        STAND_IN_UPSTREAMS: JSON.stringify(own),
        STAND_IN_SERVICE_MILLISECONDS: JSON.stringify(serviceMilliseconds)
      })
    }
    await this.writePolicy(`http://127.0.0.1:${tablePort}`, policyText)
    await Promise.all(entries.map(async (site, index) => await this.group.start({
      name: `entry-${index}`,
      file: 'bin/papayamoor-entry.js',
      environment: {
        PAPAYAMOOR_INSTANCE_ID: `entry-${index}`,
        PAPAYAMOOR_DATA_CENTRE: site.dataCentre,
        PAPAYAMOOR_REGION: site.region,
        PAPAYAMOOR_LISTEN_PORT: String(entryPorts[index]),
        PAPAYAMOOR_TABLE_SERVICE_URL: `http://127.0.0.1:${tablePort}`,
        PAPAYAMOOR_INSTANCE_LIST_URL: `http://127.0.0.1:${listPort}`,
        PAPAYAMOOR_DRAIN_DELAY_MILLISECONDS: '500'
      },
      readyUrl: `http://127.0.0.1:${entryPorts[index]}/readyz`
    })))
    this.entryUrls.push(...entryPorts.map(port => `http://127.0.0.1:${port}`))
    for (const url of this.entryUrls) await waitUntilReady(url)
    if (!naive) return
    this.naiveUrl = `http://127.0.0.1:${naivePort}`
    await this.startProgram('naive', 'dist/tools/bench/routing/naiveRouter.js', '/readyz', {
      STAND_IN_PORT: String(naivePort), STAND_IN_ADDRESSES: JSON.stringify(this.upstreamAddresses)
    })
  }

  private async startProgram (
    name: string,
    file: string,
    readyPath: string,
    environment: Record<string, string>
  ): Promise<void> {
    await this.group.start({
      name, file, environment, readyUrl: `http://127.0.0.1:${environment.STAND_IN_PORT}${readyPath}`
    })
  }

  private async writePolicy (url: string, policyText: string): Promise<void> {
    const table = HttpTableService.create({ url })
    const writer = ConfigurationWriter.create({ tableService: table, clock: SystemClock.create() })
    const base = await writer.readBase()
    if (base.kind === 'ok') {
      await writer.write(base.value, { kind: 'policy-apply', policyText }, { operator: 'bench', reason: 'bench' })
    }
    await table.close()
  }
}
