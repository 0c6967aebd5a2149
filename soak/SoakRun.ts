import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { EMULATED_ROUTE, HttpPlatform } from '../platform/emulator/HttpPlatform.js'
import { HttpCaller } from '../src/shared/HttpCaller.js'
import { CapHistory, CapJudge } from '../stand-ins/accounts/index.js'
import { createRandom } from '../stand-ins/shared/createRandom.js'
import { findFreePorts } from '../stand-ins/shared/findFreePorts.js'
import { LoopbackProxy, type ProxyMode } from './LoopbackProxy.js'

/** Options of a soak run. */
export interface SoakRunOptions {
  seed: number
  /** Whether a worker stays cut off while all processes are killed several times; false by default. */
  cutsWorkerOff?: boolean
  processCount: number
  workerCount: number
  /** How long jobs are submitted and faults are injected. */
  durationMilliseconds: number
  /** Whether there are other faults than odd entries of workers; true by default. */
  hasOtherFaults?: boolean
}

/** The result of a soak run. */
export interface SoakResult {
  seed: number
  acceptedCount: number
  startCount: number
  faults: string[]
  violations: string[]
}

interface Program {
  name: string
  child: ChildProcess | null
  /** Whether the process was told to end. */
  isTerminating: boolean
  settingsPath: string
  callerPort: number
  proxy: LoopbackProxy
}

const HOST = '127.0.0.1'
const JOB_INTERVAL_MILLISECONDS = 120
/** One of this many jobs is long-running. */
const LONG_RUNNING_INTERVAL = 12
const LONG_RUNNING_TASK_COUNT = 3
/** One of this many jobs is a gang that no owner can start in time. */
const LARGE_GANG_INTERVAL = 10
const LARGE_GANG_TASK_COUNT = 50_000
/** When all processes are killed while a worker is cut off, as shares of the time in which faults are injected. */
const KILL_TIMES = [0.3, 0.6, 0.9]
const FAULT_INTERVAL_MILLISECONDS = 900
/**
 * All processes may crash just before the end, so that recovery includes their start, the election, the leases of lost
 * workers and the remaining work.
 */
const RECOVERY_MILLISECONDS = 25_000
const DOWN_MILLISECONDS = 1200
const CALL_TIMEOUT_MILLISECONDS = 3000
/** The mean time between two odd entries, and how long one stays in place of a worker's own entry. */
const ENTRY_FAULT_INTERVAL_MILLISECONDS = 1500
const HEARTBEAT_MILLISECONDS = 500
/** How much of the error output of a process is kept. */
const ERROR_TEXT_LENGTH = 1000
/** The callers' accounts; the jobs of the second one use three quarters of its cap, and reach it after an outage. */
const ACCOUNTS = [
  { name: 'coop', key: 'key-of-coop', processorsMilli: 0 },
  { name: 'utility', key: 'key-of-utility', processorsMilli: 8000 }
]
/** One of so many calls has a key that no version has. */
const UNKNOWN_KEY_INTERVAL = 20
const UNKNOWN_KEY = 'key-of-nobody'
/** What each task of a job asks for. */
const TASK = { processorsMilli: 1000, memoryMegabytes: 500, accelerators: 0 }
const PROXY_MODES: ProxyMode[] = ['delay', 'silent', 'silent-answers']

/** Runs the deployed program as separate processes and injects the faults that follow from one seed. */
export class SoakRun {
  private readonly random: () => number
  private readonly caller = HttpCaller.create({ connections: 4 })
  private readonly folder = mkdtempSync(join(tmpdir(), 'papayamoor-soak-'))
  private readonly programs: Program[] = []
  private readonly acceptedJobs = new Set<string>()
  private readonly faults: string[] = []
  private readonly violations: string[] = []
  private readonly caps: CapJudge
  private callCount = 0
  private isEnded = false

  private constructor (private readonly options: SoakRunOptions, private readonly platform: HttpPlatform) {
    this.random = createRandom(options.seed)
    const history = CapHistory.create({ now: () => performance.now(), getStoreDisturbedAt: () => -Infinity })
    history.recordVersion(ACCOUNTS.map(({ name, processorsMilli }) => (
      { name, keyDigests: [], weight: 1, cap: { processorsMilli, memoryMegabytes: 0, accelerators: 0 } }
    )))
    this.caps = CapJudge.create({
      history,
      getAccountName: taskName => getAccount(taskName.split('.', 1)[0]).name,
      getResources: () => TASK
    })
    platform.judge.observers.add(this.caps)
  }

  /**
   * Runs the soak test with one seed.
   * @param options The seed and the sizes.
   * @returns The result; it has no violations if all invariants held.
   */
  static async execute (options: SoakRunOptions): Promise<SoakResult> {
    const ports = await findFreePorts(2 + options.workerCount + options.processCount * 4)
    const platform = await HttpPlatform.create({
      host: HOST,
      storePort: ports[0],
      machinesPort: ports[1],
      workerPorts: ports.slice(2, 2 + options.workerCount),
      random: createRandom(options.seed + 1),
      accounts: ACCOUNTS.map(({ name, key, processorsMilli }) => (
        { name, apiKeys: [key], weight: 1, cap: { cpu: processorsMilli, memMb: 0, gpu: 0 } }
      ))
    })
    platform.putOddEntries()
    const run = new SoakRun(options, platform)
    try {
      return await run.runSchedule(ports, ports.slice(2 + options.workerCount))
    } finally {
      await run.shutDown()
    }
  }

  private async runSchedule (platformPorts: number[], ports: number[]): Promise<SoakResult> {
    for (let index = 0; index < this.options.processCount; index++) {
      await this.addProgram(index, platformPorts, ports.slice(index * 4, index * 4 + 4))
    }
    await pause(1500)
    const end = Date.now() + this.options.durationMilliseconds
    await Promise.all([
      this.submitUntil(end),
      this.replaceEntriesUntil(end),
      this.options.hasOtherFaults === false ? null : this.injectFaultsUntil(end)
    ])
    await this.checkJobs()
    this.violations.push(...this.platform.judge.violations, ...this.caps.violations)
    return {
      seed: this.options.seed,
      acceptedCount: this.acceptedJobs.size,
      startCount: this.platform.judge.startCount,
      faults: this.faults,
      violations: this.violations
    }
  }

  private async addProgram (index: number, platformPorts: number[], ports: number[]): Promise<void> {
    const name = `instance-${index}`
    const [storeProxyPort, callerPort, readinessPort, peerPort] = ports
    const proxy = await LoopbackProxy.create({ host: HOST, port: storeProxyPort, targetPort: platformPorts[0] })
    const settingsPath = join(this.folder, `${name}.json`)
    writeFileSync(settingsPath, JSON.stringify({
      nodeName: name,
      ip: HOST,
      zone: 'south-a',
      region: 'south',
      listenAddrs: { front: `${HOST}:${callerPort}`, ready: `${HOST}:${readinessPort}` },
      portRange: [peerPort, peerPort],
      platform: { address: `${HOST}:${storeProxyPort}` },
      limits: { cpuShare: 1, linkMbps: 1000 },
      cloud: { address: `${HOST}:${platformPorts[1]}` },
      bounds: { maxHoldMs: 6000, graceS: 6, revokeStrict: true, revokeMs: 5000 },
      contracts: ['base', 'tenants']
    }))
    const program: Program = { name, child: null, isTerminating: false, settingsPath, callerPort, proxy }
    this.programs.push(program)
    this.startProgram(program)
  }

  private startProgram (program: Program): void {
    if (this.isEnded) return
    const environment = { PATH: process.env.PATH, PAPAYAMOOR_SETTINGS: program.settingsPath }
    const child = spawn(process.execPath, ['target/papayamoor.cjs'], {
      env: environment, stdio: ['ignore', 'ignore', 'pipe']
    })
    program.child = child
    program.isTerminating = false
    let errors = ''
    child.stderr.on('data', chunk => { errors = `${errors}${chunk}`.slice(0, ERROR_TEXT_LENGTH) })
    child.once('exit', code => {
      // Signals come from this run only; a process that ends by itself has an exit code.
      if (code !== null && !(code === 0 && program.isTerminating)) {
        this.violations.push(`ended: ${program.name} with code ${code}: ${errors}`)
      }
      if (program.child === child) program.child = null
      setTimeout(() => { if (program.child === null) this.startProgram(program) }, DOWN_MILLISECONDS)
    })
  }

  private async submitUntil (end: number): Promise<void> {
    const pending: Array<Promise<void>> = []
    for (let number = 0; Date.now() < end; number++) {
      const jobId = (BigInt(this.options.seed) * 1_000_000n + BigInt(number)).toString(16).padStart(16, '0').slice(-16)
      if (number % LARGE_GANG_INTERVAL === 1) {
        pending.push(this.submitLargeGang(jobId))
      } else {
        if (number % LONG_RUNNING_INTERVAL === 0) this.platform.longRunningJobs.add(jobId)
        pending.push(this.submit(jobId))
      }
      await pause(JOB_INTERVAL_MILLISECONDS)
    }
    await Promise.all(pending)
  }

  /** Submits a job up to five times, each time to a random process, until it is accepted or rejected. */
  private async submit (jobId: string): Promise<void> {
    const { processorsMilli: cpu, memoryMegabytes: memMb } = TASK
    const step = { count: LONG_RUNNING_TASK_COUNT, cpu, memMb, estimateMs: 300 }
    const isLongRunning = this.platform.longRunningJobs.has(jobId)
    const steps = isLongRunning ? [{ ...step, longRunning: true }] : [step, { ...step, count: 2, after: [0] }]
    const body = JSON.stringify({ taskSpec: 'text', steps })
    this.platform.judge.recordSubmission(jobId)
    for (let attempt = 0; attempt < 5; attempt++) {
      const response = await this.call('POST', jobId, body)
      if (response?.statusCode === 200) {
        this.acceptedJobs.add(jobId)
        return
      }
      if (response?.statusCode === 503) return
      await pause(200)
    }
  }

  /** Submits a gang that is too large; it must be refused, and the judge is not told of it, so that it must not run. */
  private async submitLargeGang (jobId: string): Promise<void> {
    const step = { count: LARGE_GANG_TASK_COUNT, cpu: 1, memMb: 1, estimateMs: 300, gang: true }
    const response = await this.call('POST', jobId, JSON.stringify({ taskSpec: 'text', steps: [step] }))
    if (response?.statusCode === 200) this.violations.push(`gang: ${jobId} was accepted`)
  }

  private async injectFaultsUntil (end: number): Promise<void> {
    const cut = this.options.cutsWorkerOff === true ? this.cutWorkerDuringKillsUntil(end) : null
    while (Date.now() < end) {
      await pause(FAULT_INTERVAL_MILLISECONDS * (0.5 + this.random()))
      const program = this.programs[Math.floor(this.random() * this.programs.length)]
      const choice = Math.floor(this.random() * 7)
      if (choice === 0) this.signal(program, 'SIGKILL')
      if (choice === 1) this.signal(program, 'SIGTERM')
      if (choice === 2) this.freeze(program)
      if (choice === 3) this.disturbConnections(program)
      if (choice === 4) this.resetConnections(program)
      if (choice === 5) this.crashWorker()
      if (choice === 6) this.signal(program, 'SIGHUP')
    }
    for (const { proxy } of this.programs) proxy.mode = 'pass'
    await cut
  }

  /** Keeps a worker cut off while all processes are killed several times. */
  private async cutWorkerDuringKillsUntil (end: number): Promise<void> {
    const start = Date.now()
    const [workerId, worker] = [...this.platform.workers][this.options.seed % this.platform.workers.size]
    this.faults.push(`cut ${workerId}`)
    worker.faults.cutOff = true
    for (const share of KILL_TIMES) {
      await pause(Math.max(0, start + (end - start) * share - Date.now()))
      for (const program of this.programs) this.signal(program, 'SIGKILL')
    }
    await pause(Math.max(0, end - Date.now()))
    worker.faults.cutOff = false
  }

  /** Replaces entries of workers with odd ones, until the worker writes its entry again. */
  private async replaceEntriesUntil (end: number): Promise<void> {
    const random = createRandom(this.options.seed + 2)
    while (Date.now() < end) {
      await pause(ENTRY_FAULT_INTERVAL_MILLISECONDS * (0.5 + random()))
      const workerIds = [...this.platform.workers.keys()]
      const workerId = workerIds[Math.floor(random() * workerIds.length)]
      this.faults.push(`odd entry ${workerId}`)
      this.platform.replaceWithOddEntry(workerId)
      await pause(HEARTBEAT_MILLISECONDS)
      this.platform.restoreEntry(workerId)
    }
  }

  private signal (program: Program, signal: NodeJS.Signals): void {
    this.faults.push(`${signal} ${program.name}`)
    if (signal === 'SIGTERM') program.isTerminating = true
    program.child?.kill(signal)
  }

  private freeze (program: Program): void {
    const { child } = program
    this.faults.push(`freeze ${program.name}`)
    child?.kill('SIGSTOP')
    setTimeout(() => { child?.kill('SIGCONT') }, 1000 + this.random() * 4000)
  }

  private disturbConnections (program: Program): void {
    const mode = PROXY_MODES[Math.floor(this.random() * PROXY_MODES.length)]
    this.faults.push(`${mode} ${program.name}`)
    program.proxy.mode = mode
    setTimeout(() => { program.proxy.mode = 'pass' }, 1000 + this.random() * 4000)
  }

  private resetConnections (program: Program): void {
    this.faults.push(`reset ${program.name}`)
    program.proxy.reset()
  }

  private crashWorker (): void {
    const [workerId, worker] = [...this.platform.workers][Math.floor(this.random() * this.platform.workers.size)]
    if (!worker.isAlive) return
    this.faults.push(`crash ${workerId}`)
    worker.crash()
    setTimeout(() => { if (!this.isEnded) worker.restart() }, 2000 + this.random() * 3000)
  }

  /** Adds a violation for each accepted job that is not reported as completed within the recovery time. */
  private async checkJobs (): Promise<void> {
    const end = Date.now() + RECOVERY_MILLISECONDS
    const { longRunningJobs } = this.platform
    const shortJobs = [...this.acceptedJobs].filter(jobId => !longRunningJobs.has(jobId))
    const unfinished = new Map(shortJobs.map(jobId => [jobId, 'not asked']))
    while (unfinished.size > 0 && Date.now() < end) {
      for (const jobId of [...unfinished.keys()]) {
        const response = await this.call('GET', jobId)
        const isKnown = response?.statusCode === 200
        const state = isKnown ? (JSON.parse(response.body.toString()) as { state: string }).state : null
        if (state === 'completed') unfinished.delete(jobId)
        else unfinished.set(jobId, state ?? `status ${response?.statusCode}`)
      }
      await pause(200)
    }
    for (const [jobId, state] of unfinished) this.violations.push(`lost: ${jobId} is told as ${state}`)
    while (this.getLongRunningTasksAway().length > 0 && Date.now() < end) await pause(200)
    for (const taskName of this.getLongRunningTasksAway()) this.violations.push(`lost: ${taskName} does not run`)
  }

  private getLongRunningTasksAway (): string[] {
    const running = new Set(this.platform.judge.getRunningTasks())
    return [...this.acceptedJobs].filter(jobId => this.platform.longRunningJobs.has(jobId))
      .flatMap(jobId => Array.from({ length: LONG_RUNNING_TASK_COUNT }, (_, index) => `${jobId}.0.0.${index}`))
      .filter(taskName => !running.has(taskName))
  }

  private async call (method: 'GET' | 'POST', jobId: string, body?: string) {
    const program = this.programs[Math.floor(Math.random() * this.programs.length)]
    const isUnknown = ++this.callCount % UNKNOWN_KEY_INTERVAL === 0
    const key = isUnknown ? UNKNOWN_KEY : getAccount(jobId).key
    const response = await this.caller.call({
      address: `${HOST}:${program.callerPort}`,
      method,
      path: `${EMULATED_ROUTE.prefix}${jobId}`,
      headers: { host: EMULATED_ROUTE.host, 'deadline-ms': '2500', authorization: `Token ${key}` },
      body,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS
    })
    if (response.kind !== 'answered') return null
    const { statusCode } = response
    if (isUnknown && statusCode === 200) this.violations.push(`route: ${program.name} accepted ${key}`)
    if (!isUnknown && (statusCode === 401 || statusCode === 403)) {
      this.violations.push(`config: ${program.name} refused ${key} with ${statusCode}`)
    }
    return response
  }

  private async shutDown (): Promise<void> {
    this.isEnded = true
    for (const { child, proxy } of this.programs) {
      child?.kill('SIGCONT')
      child?.kill('SIGKILL')
      proxy.close()
    }
    this.caller.close()
    await this.platform.close()
    rmSync(this.folder, { recursive: true, force: true })
  }
}

/** Returns the account of a job; long-running ones, which would fill a cap, have even numbers. */
function getAccount (jobId: string) {
  return ACCOUNTS[Number(BigInt(`0x${jobId}`) % 2n)]
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}
