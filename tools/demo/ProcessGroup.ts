import { spawn, type ChildProcess } from 'node:child_process'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'

/** A Node.js program that a process group starts. */
export interface ProgramOptions {
  /** The name of the program, unique in the group. */
  name: string
  /** The path of the program relative to the root of the package, for example `bin/papayamoor-entry.js`. */
  file: string
  flags?: string[]
  /** All environment variables of the program; it does not inherit those of the launcher. */
  environment: Record<string, string>
  /** The URL that returns status 200 once the program is ready; null to start without waiting. */
  readyUrl: string | null
}

/** How a program ended. */
export interface ProgramExit {
  code: number | null
  signal: NodeJS.Signals | null
  /** The time from the signal to the exit. */
  milliseconds: number
}

interface ManagedProgram {
  child: ChildProcess
  output: string[]
  exited: Promise<{ code: number | null, signal: NodeJS.Signals | null }>
  hasExited: boolean
}

/** Loading the libraries takes less than a second on an idle machine and several seconds on a busy one. */
const READY_DEADLINE_MILLISECONDS = 20_000
const READINESS_POLL_INTERVAL_MILLISECONDS = 50
/** Longer than the papayamoor processes take to finish their requests in flight. */
const STOP_DEADLINE_MILLISECONDS = 15_000
const MAXIMUM_OUTPUT_LINES = 200

const packageRoot = fileURLToPath(new URL('../../../', import.meta.url))

/** Starts, signals and stops Node.js processes on this machine; signals go to process identifiers, never to groups. */
export class ProcessGroup {
  private readonly programs = new Map<string, ManagedProgram>()
  private readonly killOnExit = () => {
    for (const program of this.programs.values()) if (!program.hasExited) program.child.kill('SIGKILL')
  }

  private constructor () {
    process.on('exit', this.killOnExit)
  }

  /**
   * Creates a group without processes; processes that still run when the current process exits are killed.
   * @returns The group.
   */
  static create (): ProcessGroup {
    return new ProcessGroup()
  }

  /**
   * Starts a program and waits until it is ready.
   * @param options The program.
   */
  async start (options: ProgramOptions): Promise<void> {
    const { name, file, flags = [], environment, readyUrl } = options
    if (this.programs.has(name) && !this.programs.get(name)!.hasExited) throw new Error(`program ${name} is already running`)
    const child = spawn(process.execPath, [file, ...flags], {
      cwd: packageRoot,
      env: environment,
      stdio: ['ignore', 'pipe', 'pipe'],
      // Detached programs do not receive the terminal's SIGINT, so the launcher controls the order in which they stop.
      detached: true
    })
    const program: ManagedProgram = {
      child,
      output: [],
      hasExited: false,
      exited: new Promise(resolve => child.once('exit', (code, signal) => {
        program.hasExited = true
        resolve({ code, signal })
      }))
    }
    this.programs.set(name, program)
    for (const stream of [child.stdout!, child.stderr!]) {
      stream.setEncoding('utf8').on('data', (text: string) => {
        program.output.push(...text.split('\n').filter(line => line !== ''))
        program.output.splice(0, program.output.length - MAXIMUM_OUTPUT_LINES)
      })
    }
    if (readyUrl !== null) await this.waitUntilReady(name, program, readyUrl)
  }

  /**
   * Stops a program with SIGTERM, and with SIGKILL if it has not exited by the deadline.
   * @param name The name of the program.
   * @param deadlineMilliseconds How long the program may take to exit after SIGTERM.
   * @returns How the program ended; the signal is SIGKILL if it missed the deadline.
   */
  async stop (name: string, deadlineMilliseconds = STOP_DEADLINE_MILLISECONDS): Promise<ProgramExit> {
    const program = this.getProgramOrThrow(name)
    const startedAt = performance.now()
    program.child.kill('SIGTERM')
    const timer = setTimeout(() => program.child.kill('SIGKILL'), deadlineMilliseconds)
    const exit = await program.exited
    clearTimeout(timer)
    return { ...exit, milliseconds: Math.round(performance.now() - startedAt) }
  }

  /**
   * Kills a program with SIGKILL.
   * @param name The name of the program.
   */
  async kill (name: string): Promise<void> {
    const program = this.getProgramOrThrow(name)
    program.child.kill('SIGKILL')
    await program.exited
  }

  /**
   * Freezes a program with SIGSTOP.
   * @param name The name of the program.
   */
  freeze (name: string): void {
    this.getProgramOrThrow(name).child.kill('SIGSTOP')
  }

  /**
   * Resumes a frozen program with SIGCONT.
   * @param name The name of the program.
   */
  wake (name: string): void {
    this.getProgramOrThrow(name).child.kill('SIGCONT')
  }

  /** Stops all programs one after the other, in the reverse order of their starts. */
  async stopAll (): Promise<Record<string, ProgramExit>> {
    const exits: Record<string, ProgramExit> = {}
    for (const name of this.getRunning().reverse()) exits[name] = await this.stop(name)
    process.off('exit', this.killOnExit)
    return exits
  }

  /** Kills all programs in parallel, for the cleanup after a test or a failure. */
  async killAll (): Promise<void> {
    await Promise.all(this.getRunning().map(name => this.kill(name)))
    process.off('exit', this.killOnExit)
  }

  /**
   * Returns the programs that have not exited.
   * @returns The names of the programs in the order of their first starts.
   */
  getRunning (): string[] {
    return [...this.programs].filter(([, program]) => !program.hasExited).map(([name]) => name)
  }

  /**
   * Returns the last lines of a program's output.
   * @param name The name of the program.
   * @returns The lines of standard output and standard error together.
   */
  getOutput (name: string): string[] {
    return [...this.getProgramOrThrow(name).output]
  }

  private async waitUntilReady (name: string, program: ManagedProgram, url: string): Promise<void> {
    const deadline = performance.now() + READY_DEADLINE_MILLISECONDS
    while (!program.hasExited && performance.now() < deadline) {
      if (await isReady(url)) return
      await delay(READINESS_POLL_INTERVAL_MILLISECONDS)
    }
    const state = program.hasExited ? 'exited before it was ready' : `was not ready at ${url} in time`
    program.child.kill('SIGKILL')
    throw new Error([`${name} ${state}`, ...program.output].join('\n  '))
  }

  private getProgramOrThrow (name: string): ManagedProgram {
    const program = this.programs.get(name)
    if (program === undefined) throw new Error(`no program named ${name} in the group`)
    return program
  }
}

async function isReady (url: string): Promise<boolean> {
  try {
    const response = await request(url, { reset: true, signal: AbortSignal.timeout(1000) })
    await response.body.dump()
    return response.statusCode === 200
  } catch {
    return false
  }
}
