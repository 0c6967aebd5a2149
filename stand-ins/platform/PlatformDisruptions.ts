import { createTableClientFaults, type TableClientFaults } from './EmulatedTables.js'
import { getInstanceId, type InstanceDisruptions } from './InstanceDisruptions.js'
import { OverlappingSettings } from './OverlappingSettings.js'
import type { SiteFault } from './SiteFaultKind.js'
import { chooseForm, type FaultStarters, type SiteFaultContext } from './SiteFaultContext.js'
import { chooseShare, createStoreLoss, WRITE_LATENESS_LIMIT_MILLISECONDS } from './siteWideFaults.js'
import { getDataCentre, type WorkerDisruptions } from './WorkerDisruptions.js'

/** Options of the faults. */
export interface PlatformDisruptionsOptions {
  context: SiteFaultContext
  instances: InstanceDisruptions
  workers: WorkerDisruptions
}

const STORE_SLOWDOWN = 60
const LOST_WRITE_SHARE = 0.3
const SHORTEST_LATENESS_MILLISECONDS = 1000
const LONGEST_LATENESS_MILLISECONDS = 6000
const FEED_PAUSE_MILLISECONDS = 1000
/** The only thing of its kind, to which all faults of the machine service and of the feeds apply. */
const WHOLE_SITE = 'site'

/** The faults of the store and of the machine service, and what operators do. */
export class PlatformDisruptions {
  private readonly tables: OverlappingSettings<TableClientFaults>
  private readonly machineService: OverlappingSettings<{ isAway: boolean }>
  private readonly feeds: OverlappingSettings<{ arePaused: boolean }>
  private readonly dataCentres: OverlappingSettings<{ isOut: boolean }>

  private constructor (private readonly options: PlatformDisruptionsOptions) {
    const { site } = options.context
    this.tables = OverlappingSettings.create({
      defaults: createTableClientFaults(),
      apply: (instanceId, faults) => {
        const instance = site.instances.find(other => getInstanceId(other) === instanceId)
        if (instance !== undefined) Object.assign(instance.tables.faults, faults)
      }
    })
    this.machineService = OverlappingSettings.create<{ isAway: boolean }>({
      defaults: { isAway: false },
      apply: (_id, faults) => { Object.assign(site.machineServiceFaults, faults) }
    })
    this.feeds = OverlappingSettings.create<{ arePaused: boolean }>({
      defaults: { arePaused: false },
      apply: (_id, { arePaused }) => {
        if (arePaused === true) site.tables.pauseFeeds()
        else site.tables.resumeFeeds()
      }
    })
    this.dataCentres = OverlappingSettings.create<{ isOut: boolean }>({
      defaults: { isOut: false },
      apply: (dataCentre, { isOut }) => site.setDataCentreOut(dataCentre, isOut === true)
    })
    site.listeners.started.add(instance => this.tables.reapply(getInstanceId(instance)))
  }

  /**
   * Creates the faults of a site without any.
   * @param options The site, and the faults of its instances and workers, which choose what is affected.
   * @returns The faults.
   */
  static create (options: PlatformDisruptionsOptions): PlatformDisruptions {
    return new PlatformDisruptions(options)
  }

  /** How the faults of each kind are started. */
  readonly starters: FaultStarters = {
    'store-away': fault => this.setTables(this.getAll(), fault, chooseForm([
      { cutOff: true }, { isRefusing: true }
    ], fault.variant)),
    'store-away-for-some': fault => {
      const instances = this.options.instances.choose(fault, ['owner', 'target', 'owner', 'target', 'last-writer'])
      const change = chooseForm([{ cutOff: true }, { isRefusing: true }], Math.floor(fault.variant / 2))
      this.setTables(instances.map(getInstanceId), fault, change)
    },
    'instance-isolation': fault => this.isolate(fault),
    'store-slow': fault => this.setTables(this.getAll(), fault, { slowdown: STORE_SLOWDOWN }),
    'store-lost-answers': fault => this.setTables(this.getAll(), fault, { lostAnswerShare: LOST_WRITE_SHARE }),
    'store-late-writes': fault => {
      const lateMilliseconds = SHORTEST_LATENESS_MILLISECONDS +
        this.options.context.random() * (LONGEST_LATENESS_MILLISECONDS - SHORTEST_LATENESS_MILLISECONDS)
      const change = { lateShare: LOST_WRITE_SHARE, lateMilliseconds }
      this.setTables(this.getAll(), fault, change, () => this.options.context.lasting.disturb(lateMilliseconds))
    },
    'store-loses-responses': fault =>
      this.setTables(this.getAll(), fault, createStoreLoss('lost', chooseShare(fault.variant))),
    'store-writes-late': fault => {
      const { lasting } = this.options.context
      this.setTables(this.getAll(), fault, createStoreLoss('late', chooseShare(fault.variant)),
        () => lasting.disturb(WRITE_LATENESS_LIMIT_MILLISECONDS))
    },
    'store-compaction': fault => this.compact(fault),
    'store-lost-renewals': fault => {
      const [owner] = this.options.instances.choose(fault, ['owner'])
      this.setTables([getInstanceId(owner)], fault, { losesRenewals: true })
    },
    'machine-service-away': ({ durationMilliseconds }) =>
      this.begin([], durationMilliseconds, this.machineService.add(WHOLE_SITE, { isAway: true })),
    'data-centre-out': fault => {
      const workers = this.options.workers.chooseGroup(fault, getDataCentre)
      if (workers.length === 0) return
      const end = this.dataCentres.add(workers[0].dataCentre, { isOut: true })
      this.begin(workers.map(({ workerId }) => workerId), fault.durationMilliseconds, end)
    },
    'configuration-change': ({ variant }) => {
      this.options.context.site.operators.changeQueues(chooseForm([
        { priority: 1 }, { timeoutMilliseconds: 2000 }, { stretch: 3 }, {}
      ], variant))
      this.begin([], 0, () => {})
    }
  }

  /**
   * Drops the history of the tables, at once or after feeds have heard of no change for a while; or they hear of none
   * for the whole fault, and of all changes after it.
   */
  private compact ({ variant, durationMilliseconds }: SiteFault): void {
    const { tables } = this.options.context.site
    const form = chooseForm(['at-once', 'after-pause', 'pause'] as const, variant)
    if (form === 'at-once') {
      tables.compact()
      this.begin([], 0, () => {})
      return
    }
    const resume = this.feeds.add(WHOLE_SITE, { arePaused: true })
    this.begin([], form === 'pause' ? durationMilliseconds : FEED_PAUSE_MILLISECONDS, () => {
      if (form === 'after-pause') tables.compact()
      resume()
    })
  }

  /** Cuts instances off from the store, from the other instances and from all workers. */
  private isolate (fault: SiteFault): void {
    const { context: { site }, instances, workers } = this.options
    const isolated = instances.choose(fault, ['owner', 'target'])
    const instanceIds = isolated.map(getInstanceId)
    this.setTables(instanceIds, fault, { cutOff: true })
    instances.cutPeers(isolated, fault.durationMilliseconds)
    const workerIds = [...site.workers.keys()].filter(workerId => !workers.isAway(workerId))
    workers.cutPaths(instanceIds, workerIds, fault, 'silent')
  }

  private getAll (): string[] {
    return this.options.context.site.instances.map(getInstanceId)
  }

  private setTables (
    instanceIds: string[], { durationMilliseconds }: SiteFault, change: Partial<TableClientFaults>,
    onEnd: () => void = () => {}
  ): void {
    const ends = instanceIds.map(instanceId => this.tables.add(instanceId, { ...change }))
    this.begin(instanceIds, durationMilliseconds, () => {
      for (const end of ends) end()
      onEnd()
    })
  }

  private begin (affected: string[], durationMilliseconds: number, end: () => void): void {
    this.options.context.lasting.begin({ affected, durationMilliseconds, end })
  }
}
