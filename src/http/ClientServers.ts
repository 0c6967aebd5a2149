import type { IncomingMessage, ServerResponse } from 'node:http'
import type { CancelTimer, Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'
import { BodyBlocks } from './BodyBlocks.js'
import { ByteBudget } from './ByteBudget.js'
import { createClientLimits, type MachineLimits, type ProcessClientLimits } from './ClientLimits.js'
import { GarbageTrigger, type CollectYoungObjects } from './GarbageTrigger.js'
import { ClientServer, type ReachedLimit } from './ClientServer.js'

/** Options of the servers of a process. */
export interface ClientServersOptions {
  machine: MachineLimits
  clock: Clock
  logger: Logger
  /** Counts a limit that a client of a server has reached. */
  onLimitReached (server: ClientServerName, limit: ReachedLimit): void
  /** Collects garbage that crowds leave; by default this is left to V8. */
  collectYoungObjects?: CollectYoungObjects
}

/** The servers of a process; also the value of a metric label. */
export type ClientServerName = 'caller' | 'ready' | 'peer'

/** The share of the memory of the machine that garbage of crowds may take. */
const GARBAGE_SHARE = 0.04
/** A crowd reaches limits thousands of times a second. */
const LOG_MILLISECONDS = 1000

/** Creates the servers of a process, which share a budget of memory. */
export class ClientServers {
  private readonly limits: ProcessClientLimits
  private readonly budget: ByteBudget
  private readonly blocks: BodyBlocks
  private readonly garbage: GarbageTrigger
  private reachedCounts: Record<string, number> = {}
  private cancelLog: CancelTimer | null = null

  private constructor (private readonly options: ClientServersOptions) {
    this.limits = createClientLimits(options.machine)
    this.budget = ByteBudget.create(this.limits.budgetBytes)
    this.blocks = BodyBlocks.create(this.limits.budgetBytes)
    const { clock, machine, collectYoungObjects = () => {} } = options
    this.garbage = GarbageTrigger.create(clock, machine.memoryMegabytes * 1e6 * GARBAGE_SHARE, collectYoungObjects)
  }

  /**
   * Creates the budget that the servers share.
   * @param options The machine.
   * @returns The factory of the servers.
   */
  static create (options: ClientServersOptions): ClientServers {
    return new ClientServers(options)
  }

  /**
   * Creates a server that does not listen yet.
   * @param name The server.
   * @param handle Handles its requests.
   * @returns The server.
   */
  createServer (
    name: ClientServerName, handle: (request: IncomingMessage, response: ServerResponse) => void
  ): ClientServer {
    return ClientServer.create({
      limits: this.limits[name],
      budget: this.budget,
      blocks: this.blocks,
      clock: this.options.clock,
      handle,
      onLimitReached: limit => this.record(name, limit),
      onReceived: bytes => this.garbage.add(bytes)
    })
  }

  /** Logs the numbers of reached limits in one line a second. */
  private record (name: ClientServerName, limit: ReachedLimit): void {
    this.options.onLimitReached(name, limit)
    const key = `${name} ${limit}`
    this.reachedCounts[key] = (this.reachedCounts[key] ?? 0) + 1
    this.cancelLog ??= this.options.clock.setTimer(LOG_MILLISECONDS, () => {
      this.cancelLog = null
      this.options.logger.warn('clients reached limits', this.reachedCounts)
      this.reachedCounts = {}
    })
  }
}
