import { spawn, type ChildProcess } from 'node:child_process'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'

/** A Node.js program to start. */
export interface ProgramOptions {
  /** A name that is unique in the group. */
  name: string
  /** The file, relative to the root of the package, for example `bin/papayamoor-entry.js`. */
  file: string
  flags?: string[]
  /** All environment variables; those of the launcher are not passed on. */
  environment: Record<string, string>
  /** Answers 200 when the program is ready; null when it need not be waited for. */
  readyUrl: string | null
}

/** How a program ended. */
export interface ProgramExit {
  code: number | null
  signal: NodeJS.Signals | null
  /** From the signal to the exit. */
  milliseconds: number
}

interface ManagedProgram {
  child: ChildProcess
  output: string[]
  exited: Promise<{ code: number | null, signal: NodeJS.Signals | null }>
  hasExited: boolean
}

/** Loading the libraries takes under a second on an idle machine and several when others load it. */
const READY_DEADLINE_MILLISECONDS = 20_000
const READINESS_POLL_INTERVAL_MILLISECONDS = 50
/** Longer than the products take to finish requests in flight. */
const STOP_DEADLINE_MILLISECONDS = 15_000
const MAXIMUM_OUTPUT_LINES = 200

const packageRoot = fileURLToPath(new URL('../../../', import.meta.url))

/** Separate Node.js processes on this machine; each is signalled by its own process identifier only. */
export class ProcessGroup {
  private readonly programs = new Map<string, ManagedProgram>()
  private readonly killOnExit = () => {
    for (const program of this.programs.values()) if (!program.hasExited) program.child.kill('SIGKILL')
  }

  private constructor () {
    process.on('exit', this.killOnExit)
  }

  /**
   * Creates a group without processes; those that still run when this process exits are killed.
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
    if (this.programs.has(name) && !this.programs.get(name)!.hasExited) throw new Error(`${name} runs already`)
    const child = spawn(process.execPath, [file, ...flags], {
      cwd: packageRoot,
      env: environment,
      stdio: ['ignore', 'pipe', 'pipe'],
      // Ctrl-C reaches only the launcher, which stops the programs in its own order.
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
   * Stops a program with SIGTERM, and with SIGKILL when it takes too long.
   * @param name The program.
   * @param deadlineMilliseconds How long the program may take.
   * @returns How it ended; the signal is SIGKILL when it took too long.
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
   * @param name The program.
   */
  async kill (name: string): Promise<void> {
    const program = this.getProgramOrThrow(name)
    program.child.kill('SIGKILL')
    await program.exited
  }

  /**
   * Freezes a program with SIGSTOP.
   * @param name The program.
   */
  freeze (name: string): void {
    this.getProgramOrThrow(name).child.kill('SIGSTOP')
  }

  /**
   * Wakes a frozen program.
   * @param name The program.
   */
  wake (name: string): void {
    this.getProgramOrThrow(name).child.kill('SIGCONT')
  }

  /** Stops all programs, the latest started first, one after the other. */
  async stopAll (): Promise<Record<string, ProgramExit>> {
    const exits: Record<string, ProgramExit> = {}
    for (const name of this.getRunning().reverse()) exits[name] = await this.stop(name)
    process.off('exit', this.killOnExit)
    return exits
  }

  /** Kills all programs at once, for the end of a test. */
  async killAll (): Promise<void> {
    await Promise.all(this.getRunning().map(name => this.kill(name)))
    process.off('exit', this.killOnExit)
  }

  /**
   * Lists the programs that run.
   * @returns Their names in the order of their starts.
   */
  getRunning (): string[] {
    return [...this.programs].filter(([, program]) => !program.hasExited).map(([name]) => name)
  }

  /**
   * Returns the last lines that a program wrote.
   * @param name The program.
   * @returns The lines of both output streams.
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
    if (program === undefined) throw new Error(`no program ${name}`)
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
