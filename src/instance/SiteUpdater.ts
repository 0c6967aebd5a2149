import { isListedAnew, type DispatchEngine, type WorkerEntry, type WorkerRecord } from '../dispatch/index.js'
import { findRunsToDrain } from '../dispatch/findRunsToMove.js'
import type { SiteConfiguration } from './SiteConfiguration.js'

/** The workers whose entries have changed or were removed; `all` after the whole list was read. */
export type ChangedWorkers = 'all' | readonly string[]

/** The configuration, the data centres and the listed workers of a site; an unchanged value is the same object. */
export interface SiteState {
  getConfiguration (): SiteConfiguration | null
  getDataCentresOut (): ReadonlySet<string>
  getWorkers (): ReadonlyMap<string, WorkerEntry>
}

/** Options of an updater. */
export interface SiteUpdaterOptions {
  site: SiteState
  engine: Pick<
    DispatchEngine,
    'setQueueServices' | 'setAccounts' | 'setDataCentresOut' | 'setWorker' | 'markRemoved' | 'markDirty' | 'workers'>
  /** Called for each worker whose entry was applied, with the entry. */
  follow (worker: WorkerRecord, entry: WorkerEntry): void
}

/**
 * Applies changes of the site to the engine.
 *
 * Answers sites with hundreds of workers, whose entries change hundreds of times a second: an update costs what has
 * changed, however many queues and workers there are.
 */
export class SiteUpdater {
  private configuration: SiteConfiguration | null = null
  private dataCentresOut: ReadonlySet<string> | null = null
  /** The listed workers that drain. */
  private readonly draining = new Set<string>()

  private constructor (private readonly options: SiteUpdaterOptions) {}

  /**
   * Creates an updater that has applied nothing.
   * @param options The site and the engine.
   * @returns The updater.
   */
  static create (options: SiteUpdaterOptions): SiteUpdater {
    return new SiteUpdater(options)
  }

  /**
   * Applies what has changed.
   * @param changed The workers to apply, `all` in the first update.
   * @returns Whether anything was applied.
   */
  update (changed: ChangedWorkers): boolean {
    const hasNewConfiguration = this.updateConfiguration()
    const hasNewDataCentres = this.updateDataCentres()
    if (changed === 'all') {
      this.applyAll()
      return true
    }
    for (const workerId of changed) this.apply(workerId)
    let hasReviewed = false
    for (const workerId of this.draining) hasReviewed = this.review(workerId) || hasReviewed
    return hasNewConfiguration || hasNewDataCentres || changed.length > 0 || hasReviewed
  }

  /**
   * Applies the unchanged entry of a worker again if it requires something of runs or reports that came after it.
   * @param workerId The worker.
   * @returns Whether the entry was applied.
   */
  review (workerId: string): boolean {
    const { site, engine } = this.options
    const entry = site.getWorkers().get(workerId)
    const worker = engine.workers.get(workerId)
    if (entry === undefined || worker === undefined) return false
    const isNewer = isListedAnew(worker, entry) && (worker.syncState === 'synchronized' || !worker.hasProcessEnded)
    const hasRunsToDrain = entry.state === 'draining' && findRunsToDrain(worker).length > 0
    if (isNewer || hasRunsToDrain) this.apply(workerId)
    return isNewer || hasRunsToDrain
  }

  private updateConfiguration (): boolean {
    const { site, engine } = this.options
    const configuration = site.getConfiguration()
    if (configuration === null || configuration === this.configuration) return false
    engine.setQueueServices(new Map(configuration.queues.map(queue => [queue.name, queue.serviceName])))
    engine.setAccounts(configuration.accounts ?? null)
    this.configuration = configuration
    return true
  }

  private updateDataCentres (): boolean {
    const { site, engine } = this.options
    const dataCentresOut = site.getDataCentresOut()
    if (dataCentresOut === this.dataCentresOut) return false
    engine.setDataCentresOut(dataCentresOut)
    this.dataCentresOut = dataCentresOut
    return true
  }

  private applyAll (): void {
    const { site, engine } = this.options
    const entries = site.getWorkers()
    for (const workerId of entries.keys()) this.apply(workerId)
    for (const workerId of engine.workers.keys()) if (!entries.has(workerId)) this.apply(workerId)
  }

  private apply (workerId: string): void {
    const { site, engine, follow } = this.options
    const entry = site.getWorkers().get(workerId)
    if (entry?.state === 'draining') this.draining.add(workerId)
    else this.draining.delete(workerId)
    if (entry !== undefined) return follow(engine.setWorker(entry), entry)
    engine.markRemoved(workerId)
    engine.markDirty()
  }
}
