import type { VirtualClock } from '../../src/shared/VirtualClock.js'
import type { EmulatedSite } from './EmulatedSite.js'
import { InstanceDisruptions } from './InstanceDisruptions.js'
import { LastingFaults } from './LastingFaults.js'
import { PlatformDisruptions } from './PlatformDisruptions.js'
import type { FaultStarters } from './SiteFaultContext.js'
import type { SiteFault } from './SiteFaultKind.js'
import { WorkerDisruptions } from './WorkerDisruptions.js'

export {
  LOCAL_FAULT_KINDS, RESTART_FAULT_KINDS, SITE_FAULT_KINDS, SITE_WIDE_FAULT_KINDS, type SiteFault, type SiteFaultKind
} from './SiteFaultKind.js'

/** Options of the faults of a site. */
export interface SiteFaultsOptions {
  site: EmulatedSite
  clock: VirtualClock
  random: () => number
  /** Adds a worker in place of another one; by default, it is one without a description. */
  addWorker? (workerId: string, otherId: string): void
}

/** Plays faults on an emulated site; they may overlap, and one that ends leaves those that still last. */
export class SiteFaults {
  private readonly starters: FaultStarters

  private constructor (
    private readonly lasting: LastingFaults, private readonly workers: WorkerDisruptions, others: FaultStarters[]
  ) {
    this.starters = Object.assign({}, workers.starters, ...others)
  }

  /**
   * Creates the faults of a site that has none.
   * @param options The site, its clock, and the random number generator of delays.
   * @returns The faults.
   */
  static create (options: SiteFaultsOptions): SiteFaults {
    const lasting = LastingFaults.create({ clock: options.clock })
    const addWorker = options.addWorker ?? (workerId => { options.site.addWorker(workerId) })
    const context = { ...options, lasting, addWorker }
    const workers = WorkerDisruptions.create(context)
    const instances = InstanceDisruptions.create(context)
    const platform = PlatformDisruptions.create({ context, instances, workers })
    return new SiteFaults(lasting, workers, [instances.starters, platform.starters])
  }

  /** Starts a fault, which ends by itself. */
  start (fault: SiteFault): void {
    const start = this.starters[fault.kind]
    if (start === undefined) throw new Error(`no fault of kind ${fault.kind}`)
    start(fault)
  }

  /**
   * Ends all faults that still last, and those that wait for an event: all instances run, and all workers that are
   * neither gone nor about to leave are back.
   */
  endAll (): void {
    this.lasting.endAll()
  }

  /**
   * Time since which no fault lasts, or null while one does. A restart lasts until the new process has started, and
   * late messages until they have arrived.
   */
  get calmSince (): number | null {
    return this.lasting.calmSince
  }

  /** Returns whether a worker or an instance is affected by a fault, or a worker is down, gone or about to leave. */
  isWorkerAffected (workerId: string): boolean {
    return this.lasting.isAffected(workerId) || this.workers.isAway(workerId)
  }
}
