import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { openSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

/** Options of a process. */
export interface OwnerProcessOptions {
  host: string
  /** The folder for the settings and the log. */
  folder: string
  storePort: number
  machinesPort: number
  callerPort: number
  readyPort: number
  peerPort: number
  /** Further options of Node.js, for example those of its profiler. */
  nodeOptions: string[]
}

/** Processor time in milliseconds. */
export interface ProcessorTime {
  mainThreadMilliseconds: number
  /** The threads of the runtime, which collect garbage and compile. */
  otherThreadsMilliseconds: number
}

const PROGRAM = 'target/papayamoor.cjs'
/** The options of the deployed program. */
const DEPLOYED_OPTIONS = ['--max-old-space-size=160']
const NANOSECONDS_PER_MILLISECOND = 1e6

/** Runs the deployed program of the present folder as the only instance of an emulated platform. */
export class OwnerProcess {
  private constructor (private readonly child: ChildProcess) {}

  /**
   * Starts the program.
   * @param options The ports and folders.
   * @returns The process, which is not ready yet.
   */
  static start (options: OwnerProcessOptions): OwnerProcess {
    const { host, folder, nodeOptions } = options
    const settingsPath = join(folder, 'settings.json')
    writeFileSync(settingsPath, JSON.stringify({
      nodeName: 'instance-0',
      ip: host,
      zone: 'south-a',
      region: 'south',
      listenAddrs: { front: `${host}:${options.callerPort}`, ready: `${host}:${options.readyPort}` },
      portRange: [options.peerPort, options.peerPort],
      platform: { address: `${host}:${options.storePort}` },
      limits: { cpuShare: 1, linkMbps: 1000 },
      cloud: { address: `${host}:${options.machinesPort}` },
      bounds: { maxHoldMs: 6000, graceS: 6 }
    }))
    const log = openSync(join(folder, 'log'), 'w')
    const child = spawn(process.execPath, [...DEPLOYED_OPTIONS, ...nodeOptions, PROGRAM], {
      env: { PATH: process.env.PATH, PAPAYAMOOR_SETTINGS: settingsPath, ROARR_LOG: 'true' },
      stdio: ['ignore', log, 'inherit']
    })
    return new OwnerProcess(child)
  }

  /** Returns the processor time that the process has used; Linux only. */
  readProcessorTime (): ProcessorTime {
    const { pid } = this.child
    const times = readdirSync(`/proc/${pid}/task`).map(thread => ({
      isMain: thread === String(pid),
      milliseconds: Number(readFileSync(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').split(' ', 1)[0]) /
        NANOSECONDS_PER_MILLISECOND
    }))
    const sum = (isMain: boolean) =>
      times.filter(time => time.isMain === isMain).reduce((total, { milliseconds }) => total + milliseconds, 0)
    return { mainThreadMilliseconds: sum(true), otherThreadsMilliseconds: sum(false) }
  }

  /** Returns the anonymous memory of the process in megabytes; Linux only. */
  readAnonymousMegabytes (): number {
    const [, kilobytes] = /^RssAnon:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${this.child.pid}/status`, 'utf8'))!
    return Number(kilobytes) / 1000
  }

  /** Ends the process, which then writes its profile. */
  async stop (): Promise<void> {
    if (this.child.exitCode !== null) return
    const exit = once(this.child, 'exit')
    this.child.kill('SIGTERM')
    await exit
  }
}
