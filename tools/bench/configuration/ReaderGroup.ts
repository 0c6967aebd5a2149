import { fork, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'

/** A version that a reader installed, by the wall clock of this machine. */
export interface VersionInstallation {
  reader: number
  /** `lonely` is the reader without peers. */
  name: 'reader' | 'lonely'
  version: number
  at: number
}

const program = fileURLToPath(new URL('./readerProgram.js', import.meta.url))

/** Readers of the configuration in processes of their own; each is signalled by its own process identifier only. */
export class ReaderGroup {
  /** Everything that the readers reported, in the order of arrival. */
  readonly installations: VersionInstallation[] = []
  private readonly children: ChildProcess[] = []

  private constructor (private readonly options: { tableUrl: string, ports: readonly number[] }) {}

  /**
   * Creates a group without processes.
   * @param options The address of the table service, and one port for each reader.
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
   * Freezes or wakes a reader.
   * @param reader The number of the reader.
   * @param signal SIGSTOP or SIGCONT.
   */
  signal (reader: number, signal: 'SIGSTOP' | 'SIGCONT'): void {
    this.children[reader].kill(signal)
  }

  /**
   * Sends a command to all readers.
   * @param command Starts or stops the readers without peers.
   */
  sendToAll (command: 'start-lonely' | 'stop-lonely'): void {
    for (const child of this.children) child.send(command)
  }

  /** Kills all readers. */
  async killAll (): Promise<void> {
    await Promise.all(this.children.map((_child, reader) => this.kill(reader)))
  }
}
