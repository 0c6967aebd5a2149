import { spawn } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import type { ListedInstance } from '../../src/membership/InstanceList.js'
import type { Row } from '../../src/table/TableService.js'
import { findFreePorts } from '../../stand-ins/shared/findFreePorts.js'
import type { TableCounters, TableFaults } from '../../stand-ins/table-service/MemoryTableService.js'
import type { UpstreamCounters, UpstreamFaults } from '../../stand-ins/upstreams/StandInUpstream.js'
import type { RunReport } from '../../stand-ins/workers/RunLog.js'
import type { WorkerFault } from '../../stand-ins/workers/StandInWorker.js'
import { createWorkers, listUpstreams, listWorkers, type Deployment } from './deployments.js'
import { callJsonOrThrow } from './httpJson.js'
import type { ProcessGroup } from './ProcessGroup.js'

/** A product process: an entry or scheduler process of papayamoor, as opposed to a stand-in for the platform. */
export interface ProductProcess {
  /** The name of the process in its group, which is also its instance identifier. */
  name: string
  program: 'entry' | 'scheduler'
  dataCentre: string
  region: string
  port: number
  url: string
}

/** The result of one run of the operator command-line tool. */
export interface OperatorResult {
  code: number | null
  /** The command's result. */
  standardOutput: string
  /** Differences to the current configuration, questions and failures. */
  standardError: string
}

/** The options of a deployment's processes. */
export interface DeploymentProcessesOptions {
  deployment: Deployment
  group: ProcessGroup
  seed: number
  /** The number of entry processes, which are assigned to the data centres in turn. */
  entries: number
  /** The number of scheduler processes, which are assigned to the data centres in turn. */
  schedulers: number
  /** How long the instance list takes to show a change. */
  listLagMilliseconds?: number
  /** The service time of the upstreams by kind of request. */
  serviceMilliseconds?: Record<string, number>
}

interface StandInUrls {
  table: string
  list: string
  workers: string
  upstreams: string
}

/** The platform's instance list lags by about a second. */
const LIST_LAG_MILLISECONDS = 1000
const OPERATOR_COMMAND_DEADLINE_MILLISECONDS = 20_000

const packageRoot = fileURLToPath(new URL('../../../', import.meta.url))

/** Runs the stand-ins and the papayamoor processes of one deployment as separate processes on loopback. */
export class DeploymentProcesses {
  private constructor (
    private readonly options: DeploymentProcessesOptions,
    private readonly ports: { table: number, list: number, workers: number, upstreams: number },
    private readonly upstreamInstances: ListedInstance[],
    /** The papayamoor processes of the deployment. */
    readonly products: ProductProcess[]
  ) {}

  /**
   * Allocates the ports without starting a process.
   * @param options The options of the processes.
   * @returns The processes, not yet started.
   */
  static async create (options: DeploymentProcessesOptions): Promise<DeploymentProcesses> {
    const { deployment, entries, schedulers } = options
    const count = deployment.upstreams.count
    const freePorts = await findFreePorts(4 + count + entries + schedulers)
    const [table, list, workers, upstreams] = freePorts.splice(0, 4)
    const upstreamInstances = listUpstreams(deployment, freePorts.splice(0, count))
    const products = [
      ...createProducts(deployment, 'entry', freePorts.splice(0, entries)),
      ...createProducts(deployment, 'scheduler', freePorts)
    ]
    return new DeploymentProcesses(options, { table, list, workers, upstreams }, upstreamInstances, products)
  }

  /** The base URLs of the stand-ins. */
  get standInUrls (): StandInUrls {
    const { table, list, workers, upstreams } = this.ports
    return {
      table: `http://127.0.0.1:${table}`,
      list: `http://127.0.0.1:${list}`,
      workers: `http://127.0.0.1:${workers}`,
      upstreams: `http://127.0.0.1:${upstreams}`
    }
  }

  /**
   * Returns the papayamoor processes that run one program.
   * @param program The program.
   * @returns The processes, in the order of their start.
   */
  getProducts (program: ProductProcess['program']): ProductProcess[] {
    return this.products.filter(product => product.program === program)
  }

  /** Starts the table service, the instance list, the workers and the upstreams. */
  async startStandIns (): Promise<void> {
    const { deployment, seed, listLagMilliseconds = LIST_LAG_MILLISECONDS, serviceMilliseconds = {} } = this.options
    const { standInUrls, ports } = this
    const instances = [
      ...listWorkers(deployment, `127.0.0.1:${ports.workers}`),
      ...this.upstreamInstances,
      ...this.products.map(listProduct)
    ]
    await Promise.all([
      this.startStandIn('table-service', ports.table, '/counters', {}),
      this.startStandIn('instance-list', ports.list, '/instances', {
        STAND_IN_LAG_MILLISECONDS: String(listLagMilliseconds), STAND_IN_INSTANCES: JSON.stringify(instances)
      }),
      this.startStandIn('workers', ports.workers, '/runs', {
        STAND_IN_SEED: String(seed),
        STAND_IN_TABLE_SERVICE_URL: standInUrls.table,
        STAND_IN_WORKERS: JSON.stringify(createWorkers(deployment))
      }),
      this.startStandIn('upstreams', ports.upstreams, '/counters', {
        STAND_IN_SEED: String(seed),
        STAND_IN_SERVICE_MILLISECONDS: JSON.stringify(serviceMilliseconds),
        STAND_IN_UPSTREAMS: JSON.stringify(this.upstreamInstances.map(({ instanceId, address }) => ({
          upstreamId: instanceId, port: Number(address.split(':')[1])
        })))
      })
    ])
  }

  /** Starts all papayamoor processes in parallel. */
  async startProducts (): Promise<void> {
    await Promise.all(this.products.map(product => this.startProduct(product)))
  }

  /**
   * Starts one papayamoor process, or restarts it after its exit.
   * @param product The process.
   */
  async startProduct (product: ProductProcess): Promise<void> {
    await this.options.group.start({
      name: product.name,
      file: `bin/papayamoor-${product.program}.js`,
      environment: this.getProductEnvironment(product),
      readyUrl: `${product.url}/readyz`
    })
  }

  /**
   * Runs the operator command-line tool once.
   * @param commandLine The arguments.
   * @returns The exit code and the output.
   */
  async runOperatorCommand (...commandLine: string[]): Promise<OperatorResult> {
    const child = spawn(process.execPath, ['bin/papayamoor.js', ...commandLine], {
      cwd: packageRoot, env: this.getOperatorEnvironment(), stdio: ['ignore', 'pipe', 'pipe']
    })
    const timer = setTimeout(() => child.kill('SIGKILL'), OPERATOR_COMMAND_DEADLINE_MILLISECONDS)
    let standardOutput = ''
    let standardError = ''
    child.stdout.setEncoding('utf8').on('data', (text: string) => { standardOutput += text })
    child.stderr.setEncoding('utf8').on('data', (text: string) => { standardError += text })
    const code = await new Promise<number | null>(resolve => child.once('close', resolve))
    clearTimeout(timer)
    return { code, standardOutput: standardOutput.trim(), standardError: standardError.trim() }
  }

  /**
   * Returns the environment of the operator command-line tool.
   * @returns The variables by name.
   */
  getOperatorEnvironment (): Record<string, string> {
    const scheduler = this.getProducts('scheduler').at(-1)
    return {
      PAPAYAMOOR_TABLE_SERVICE_URL: this.standInUrls.table,
      PAPAYAMOOR_INSTANCE_LIST_URL: this.standInUrls.list,
      PAPAYAMOOR_SCHEDULER_URL: scheduler?.url ?? '',
      PAPAYAMOOR_OPERATOR: 'demo'
    }
  }

  /**
   * Reads the owner of a shard from its row in the table service.
   * @param shardId The identifier of the shard.
   * @returns The owner and its epoch, or null before the first owner has acquired the shard.
   */
  async readOwner (shardId: string): Promise<{ owner: string, epoch: number } | null> {
    const url = `${this.standInUrls.table}/reads`
    const [row] = await callJsonOrThrow<Array<Row | null>>('POST', url, { rows: [{ table: 'shards', key: shardId }] })
    return row === null ? null : row.value as { owner: string, epoch: number }
  }

  /** Returns all runs and the counts of violations that the workers recorded. */
  async readRuns (): Promise<RunReport> {
    return await callJsonOrThrow('GET', `${this.standInUrls.workers}/runs`)
  }

  /** Returns the counters of all upstreams by identifier. */
  async readUpstreamCounters (): Promise<Record<string, UpstreamCounters>> {
    return await callJsonOrThrow('GET', `${this.standInUrls.upstreams}/counters`)
  }

  /** Returns the counters of the table service. */
  async readTableCounters (): Promise<TableCounters> {
    return await callJsonOrThrow('GET', `${this.standInUrls.table}/counters`)
  }

  /** Sets the given faults of the table service. */
  async setTableFaults (faults: Partial<TableFaults>): Promise<void> {
    await callJsonOrThrow('POST', `${this.standInUrls.table}/faults`, faults)
  }

  /** Sets the fault of a worker. */
  async setWorkerFault (workerId: string, fault: WorkerFault): Promise<void> {
    await callJsonOrThrow('POST', `${this.standInUrls.workers}/faults`, { workerId, fault })
  }

  /** Sets the given faults of an upstream, makes it announce that it is leaving, or kills it. */
  async setUpstreamFaults (
    upstreamId: string,
    faults: Partial<UpstreamFaults> & { leaving?: boolean, killed?: boolean }
  ): Promise<void> {
    await callJsonOrThrow('POST', `${this.standInUrls.upstreams}/faults`, { upstreamId, ...faults })
  }

  /** Returns the list entries of the upstreams as of the start. */
  getUpstreams (): ListedInstance[] {
    return this.upstreamInstances
  }

  /** Adds an instance to the instance list or replaces its entry. */
  async listInstance (instance: ListedInstance): Promise<void> {
    await callJsonOrThrow('PUT', `${this.standInUrls.list}/instances/${instance.instanceId}`, instance)
  }

  /** Removes an instance from the instance list. */
  async unlistInstance (instanceId: string): Promise<void> {
    await callJsonOrThrow('DELETE', `${this.standInUrls.list}/instances/${instanceId}`)
  }

  private async startStandIn (
    name: string,
    port: number,
    readyPath: string,
    environment: Record<string, string>
  ): Promise<void> {
    await this.options.group.start({
      name: `${this.options.deployment.name}/${name}`,
      file: `dist/stand-ins/${name}/program.js`,
      environment: { STAND_IN_PORT: String(port), ...environment },
      readyUrl: `http://127.0.0.1:${port}${readyPath}`
    })
  }

  private getProductEnvironment (product: ProductProcess): Record<string, string> {
    return {
      PAPAYAMOOR_INSTANCE_ID: product.name,
      PAPAYAMOOR_DATA_CENTRE: product.dataCentre,
      PAPAYAMOOR_REGION: product.region,
      PAPAYAMOOR_LISTEN_PORT: String(product.port),
      PAPAYAMOOR_TABLE_SERVICE_URL: this.standInUrls.table,
      PAPAYAMOOR_INSTANCE_LIST_URL: this.standInUrls.list
    }
  }
}

function createProducts (
  deployment: Deployment,
  program: ProductProcess['program'],
  ports: number[]
): ProductProcess[] {
  const { dataCentres } = deployment
  return ports.map((port, index) => {
    const dataCentre = dataCentres[index % dataCentres.length]
    return {
      name: `${program}-${dataCentre.name}-${Math.floor(index / dataCentres.length) + 1}`,
      program,
      dataCentre: dataCentre.name,
      region: dataCentre.region,
      port,
      url: `http://127.0.0.1:${port}`
    }
  })
}

function listProduct ({ name, program, dataCentre, region, port }: ProductProcess): ListedInstance {
  return {
    instanceId: name,
    role: program,
    address: `127.0.0.1:${port}`,
    dataCentre,
    region,
    rack: `${dataCentre}-rack-1`,
    state: 'live'
  }
}
