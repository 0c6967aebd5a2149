import { fork, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'

/** The installation of a configuration version by a reader; `at` is in milliseconds of this machine's wall clock. */
export interface VersionInstallation {
  /** The number of the reader process. */
  reader: number
  /** The configuration that installed the version; `lonely` is the one without peers in the same process. */
  name: 'reader' | 'lonely'
  version: number
  at: number
}

const program = fileURLToPath(new URL('./readerProgram.js', import.meta.url))

/** Runs readers of the configuration in separate processes and collects the versions that they install. */
export class ReaderGroup {
  /** The installations that the readers reported, in the order of arrival. */
  readonly installations: VersionInstallation[] = []
  private readonly children: ChildProcess[] = []

  private constructor (private readonly options: { tableUrl: string, ports: readonly number[] }) {}

  /**
   * Creates a group without processes.
   * @param options The URL of the table service, and one port for each reader.
   * @returns The group.
   */
  static create (options: { tableUrl: string, ports: readonly number[] }): ReaderGroup {
    return new ReaderGroup(options)
  }

  /** Starts all readers and waits until they listen. */
  async startAll (): Promise<void> {
    await Promise.all(this.options.ports.map((_port, reader) => this.start(reader)))
  }

  /**
   * Starts one reader and waits until it listens.
   * @param reader The number of the reader.
   */
  async start (reader: number): Promise<void> {
    const { tableUrl, ports } = this.options
    const child = fork(program, [], {
      env: {
        TABLE_URL: tableUrl,
        READER_PORT: String(ports[reader]),
        PEER_PORTS: ports.filter((_port, other) => other !== reader).join(',')
      }
    })
    this.children[reader] = child
    await new Promise<void>((resolve, reject) => {
      child.once('exit', code => reject(new Error(`reader ${reader} exited with ${code}`)))
      child.on('message', (message: { name: 'ready' | 'reader' | 'lonely', version: number, at: number }) => {
        if (message.name === 'ready') resolve()
        else this.installations.push({ reader, name: message.name, version: message.version, at: message.at })
      })
    })
  }

  /**
   * Kills a reader with SIGKILL.
   * @param reader The number of the reader.
   */
  async kill (reader: number): Promise<void> {
    const child = this.children[reader]
    const exited = new Promise(resolve => child.once('exit', resolve))
    child.kill('SIGKILL')
    await exited
  }

  /**
   * Freezes or resumes a reader.
   * @param reader The number of the reader.
   * @param signal SIGSTOP to freeze, SIGCONT to resume.
   */
  signal (reader: number, signal: 'SIGSTOP' | 'SIGCONT'): void {
    this.children[reader].kill(signal)
  }

  /**
   * Sends a command to all readers.
   * @param command The command; it starts or stops the configurations without peers.
   */
  sendToAll (command: 'start-lonely' | 'stop-lonely'): void {
    for (const child of this.children) child.send(command)
  }

  /** Kills all readers. */
  async killAll (): Promise<void> {
    await Promise.all(this.children.map((_child, reader) => this.kill(reader)))
  }
}
