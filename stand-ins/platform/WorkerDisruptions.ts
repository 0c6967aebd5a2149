import type { WorkerEntry } from '../../src/dispatch/index.js'
import type { Row } from '../../src/table/TableService.js'
import { WORKER_TABLE } from './EmulatedSite.js'
import { getInstanceId } from './InstanceDisruptions.js'
import { OverlappingSettings } from './OverlappingSettings.js'
import { getPathId, type PathFault } from './PathFaults.js'
import type { SiteFault } from './SiteFaultKind.js'
import {
  CALL_LATENESS_LIMIT_MILLISECONDS, chooseCalls, chooseShare, createWorkerLoss, type LossForm
} from './siteWideFaults.js'
import { chooseForm, chooseNeighbours, type FaultStarters, type SiteFaultContext } from './SiteFaultContext.js'
import { createWorkerFaults, type WorkerFaults } from './WorkerFaults.js'

/** The faults of a worker, with those of its process and of its row in the list of the platform. */
interface WorkerSettings extends WorkerFaults {
  isDown: boolean
  isUnlisted: boolean
}

interface Lapse {
  workerIds: string[]
  /** When the platform removes the workers from its list. */
  afterMilliseconds: number
  durationMilliseconds: number
}

interface Departure {
  workerId: string
  remainingMilliseconds: number
  /** The time after the notice at which another worker comes, or null if none does. */
  replacedAfterMilliseconds: number | null
}

const PATH_FAULTS: readonly PathFault[] = ['silent', 'connections-fail', 'answers-lost']
/** The platform removes a worker that is silent from its list after this time. */
const ENTRY_LAPSE_MILLISECONDS = 4500
const SHORTEST_DARK_MILLISECONDS = 8000
const SHORTEST_DRAIN_MILLISECONDS = 2000
const LONGEST_DRAIN_MILLISECONDS = 8000
const SPOT_NOTICE_MILLISECONDS = 2000
const RECLAIM_NOTICE_MILLISECONDS = 2500
/** The time after a notice at which another worker comes. */
const REPLACEMENT_MILLISECONDS = 4000
const RELEASE_INTERVAL_MILLISECONDS = 1500
const FLAP_MILLISECONDS = 600
const FLAP_INTERVAL_MILLISECONDS = 900
const SHORTEST_RESTART_MILLISECONDS = 100
const LONGEST_RESTART_MILLISECONDS = 600
/** The times from the return of a worker to its cut. */
const RETURN_FORMS_MILLISECONDS = [300, 500, 1000, 2000] as const
/** Longer than any lease. */
const SHORTEST_RETURN_CUT_MILLISECONDS = 9000
const SHORTEST_LATENESS_MILLISECONDS = 2000
const LONGEST_LATENESS_MILLISECONDS = 12_000
/** The factor by which runs take longer while a share of all workers is slow. */
const SITE_WIDE_SLOWDOWN = 4
const FIRST_ADDED_NUMBER = 100

/** The faults of the workers of a site: their processes, their paths, their work and their rows in the list. */
export class WorkerDisruptions {
  /** Workers that are gone for good or about to leave. */
  private readonly leaving = new Set<string>()
  private readonly unlistedRows = new Map<string, Row>()
  private readonly initialCount: number
  private readonly settings: OverlappingSettings<WorkerSettings>
  private readonly paths: OverlappingSettings<{ fault: PathFault | null }>

  private constructor (private readonly context: SiteFaultContext) {
    this.initialCount = context.site.workers.size
    this.settings = OverlappingSettings.create<WorkerSettings>({
      defaults: { ...createWorkerFaults(), isDown: false, isUnlisted: false },
      apply: (workerId, settings) => this.apply(workerId, settings)
    })
    this.paths = OverlappingSettings.create<{ fault: PathFault | null }>({
      defaults: { fault: null },
      apply: (pathId, { fault }) => context.site.pathFaults.set(pathId, fault ?? null)
    })
  }

  /**
   * Creates the faults of a site without any.
   * @param context The site and what all of its faults share.
   * @returns The faults.
   */
  static create (context: SiteFaultContext): WorkerDisruptions {
    return new WorkerDisruptions(context)
  }

  /** How the faults of each kind are started. */
  readonly starters: FaultStarters = {
    'worker-crash': fault => this.set(this.choose(fault), fault.durationMilliseconds, { isDown: true }),
    'worker-loss': fault => this.lose(fault),
    'rack-crash': fault => {
      const workerIds = chooseNeighbours(this.chooseGroup(fault, getRack).map(getWorkerId), fault.variant, fault.count)
      this.set(workerIds, fault.durationMilliseconds, { isDown: true })
    },
    'data-centre-crash': fault => this.set(
      this.chooseGroup(fault, getDataCentre).map(getWorkerId), fault.durationMilliseconds, { isDown: true }),
    'worker-dark': fault => {
      const workerIds = this.choose(fault)
      const durationMilliseconds = Math.max(SHORTEST_DARK_MILLISECONDS, fault.durationMilliseconds)
      if (fault.variant % 2 === 1) return this.set(workerIds, durationMilliseconds, { isDown: true, cutOff: true })
      this.set(workerIds, durationMilliseconds, { cutOff: true })
      this.lapse({ workerIds, afterMilliseconds: ENTRY_LAPSE_MILLISECONDS, durationMilliseconds })
    },
    'worker-drain': fault => this.drain(fault),
    'worker-addition': ({ target }) => {
      if (this.countStaying() >= 2 * this.initialCount) return
      this.context.lasting.begin({ affected: [this.add(`worker-${target}`)], durationMilliseconds: 0, end: () => {} })
    },
    'worker-rolling-release': fault => this.release(fault),
    'worker-flap': fault => this.flap(fault),
    'worker-hang': fault => this.set(this.choose(fault), fault.durationMilliseconds, { isHanging: true }),
    'worker-failures': fault =>
      this.set(this.choose(fault), fault.durationMilliseconds, { failingShare: chooseForm([1, 0.4], fault.variant) }),
    'worker-unhealthy': fault =>
      this.set(this.choose(fault), fault.durationMilliseconds, { unhealthyShare: chooseForm([1, 0.4], fault.variant) }),
    'worker-mute': fault => this.set(this.choose(fault), fault.durationMilliseconds, { isMute: true }),
    'worker-slow': fault =>
      this.set(this.choose(fault), fault.durationMilliseconds, { slowdown: chooseForm([4, 8], fault.variant) }),
    'worker-cut': fault => this.set(
      this.choose(fault), fault.durationMilliseconds, chooseForm([
        { cutOff: true }, { cutOff: true, failsToConnect: true }
      ], fault.variant)
    ),
    'worker-partial-cut': fault => {
      const instanceIds = this.context.site.instances.map(getInstanceId)
      const count = Math.max(1, Math.floor(instanceIds.length / 2))
      const form = chooseForm(PATH_FAULTS, fault.variant)
      const cutInstanceIds = chooseNeighbours(instanceIds, Math.floor(fault.variant / PATH_FAULTS.length), count)
      this.cutPaths(cutInstanceIds, this.choose(fault), fault, form)
    },
    'worker-one-way': fault =>
      this.cutPaths(this.context.site.instances.map(getInstanceId), this.choose(fault), fault, 'answers-lost'),
    'worker-late-orders': fault => this.delayOrders(fault),
    'worker-lost-answers': fault => this.set(
      this.choose(fault), fault.durationMilliseconds, { lostAnswerShare: chooseForm([0.3, 1], fault.variant) }),
    'worker-crash-behind-cut': fault => {
      const workerIds = this.choose(fault)
      const third = fault.durationMilliseconds / 3
      this.set(workerIds, fault.durationMilliseconds, { cutOff: true })
      this.context.lasting.schedule(third, () => this.set(workerIds, third, { isDown: true }))
    },
    'worker-return-cut': fault => this.cutAfterReturn(fault),
    'worker-unlisted': fault => this.lapse({
      workerIds: this.choose(fault), afterMilliseconds: 0, durationMilliseconds: fault.durationMilliseconds
    }),
    'workers-lose-responses': fault => this.loseResponses(fault, 'lost'),
    'workers-execute-late': fault => this.loseResponses(fault, 'late'),
    'workers-mute': fault => this.set(this.chooseByShare(fault), fault.durationMilliseconds, { isMute: true }),
    'workers-reset': fault => this.setAll(fault, { resetShare: chooseShare(fault.variant) }),
    'workers-slow': fault =>
      this.set(this.chooseByShare(fault), fault.durationMilliseconds, { slowdown: SITE_WIDE_SLOWDOWN })
  }

  /** Returns whether a worker is gone, about to leave, or down. */
  isAway (workerId: string): boolean {
    return this.leaving.has(workerId) || this.context.site.workers.get(workerId)?.isAlive === false
  }

  /**
   * Returns the workers of one of the groups of the listed workers that stay.
   * @param fault The fault, whose target selects the group, modulo the number of groups.
   * @param getGroup Returns the name of the group of a worker.
   * @returns The workers, none if no worker is listed.
   */
  chooseGroup (fault: SiteFault, getGroup: (entry: WorkerEntry) => string): WorkerEntry[] {
    const groups = new Map<string, WorkerEntry[]>()
    for (const { value } of this.context.site.tables.getTable(WORKER_TABLE).rows) {
      const entry = value as unknown as WorkerEntry
      if (this.leaving.has(entry.workerId)) continue
      const group = getGroup(entry)
      groups.set(group, [...groups.get(group) ?? [], entry])
    }
    return groups.size === 0 ? [] : chooseForm([...groups.values()], fault.target)
  }

  /** Chooses neighbours of the workers that stay, whether or not they are down. */
  private choose ({ target, count }: SiteFault): string[] {
    const workerIds = [...this.context.site.workers.keys()].filter(workerId => !this.leaving.has(workerId))
    return chooseNeighbours(workerIds, target, count)
  }

  /** Chooses the share of the workers that stay which the variant says. */
  private chooseByShare (fault: SiteFault): string[] {
    return this.choose({ ...fault, count: Math.round(chooseShare(fault.variant) * this.countStaying()) })
  }

  private loseResponses (fault: SiteFault, form: LossForm): void {
    const { variant } = fault
    const latenessMilliseconds = form === 'late' ? CALL_LATENESS_LIMIT_MILLISECONDS : 0
    this.setAll(fault, createWorkerLoss(form, chooseCalls(variant), chooseShare(variant)), latenessMilliseconds)
  }

  /** Changes settings of all workers, each of which still executes calls and counts as unaffected. */
  private setAll (fault: SiteFault, change: Partial<WorkerSettings>, latenessMilliseconds = 0): void {
    const { lasting } = this.context
    const workerIds = this.choose({ ...fault, count: this.countStaying() })
    const ends = workerIds.map(workerId => this.settings.add(workerId, { ...change }))
    lasting.begin({
      affected: [],
      durationMilliseconds: fault.durationMilliseconds,
      end: () => {
        for (const end of ends) end()
        if (latenessMilliseconds > 0) lasting.disturb(latenessMilliseconds)
      }
    })
  }

  private countStaying (): number {
    return [...this.context.site.workers.keys()].filter(workerId => !this.leaving.has(workerId)).length
  }

  private set (workerIds: string[], durationMilliseconds: number, change: Partial<WorkerSettings>): void {
    const ends = workerIds.map(workerId => this.settings.add(workerId, { ...change }))
    this.context.lasting.begin({
      affected: workerIds, durationMilliseconds, end: () => { for (const end of ends) end() }
    })
  }

  private apply (workerId: string, { isDown, isUnlisted, ...faults }: Partial<WorkerSettings>): void {
    const { site } = this.context
    const worker = site.workers.get(workerId)!
    Object.assign(worker.faults, faults)
    if (this.leaving.has(workerId)) return
    if (isDown === true && worker.isAlive) site.crashWorker(workerId)
    if (isDown === false && !worker.isAlive) {
      site.restartWorker(workerId)
      if (this.settings.get(workerId).isUnlisted) this.unlist(workerId)
    }
    if (isUnlisted === true) this.unlist(workerId)
    if (isUnlisted === false) this.listAgain(workerId)
  }

  private unlist (workerId: string): void {
    const { tables } = this.context.site
    const row = tables.get({ table: WORKER_TABLE, key: workerId })
    if (row === null) return
    this.unlistedRows.set(workerId, row)
    tables.apply({ operations: [{ kind: 'delete', table: WORKER_TABLE, key: workerId, condition: { kind: 'any' } }] })
  }

  /** Lists a worker that has lived all the while; the restart of one that is down lists it. */
  private listAgain (workerId: string): void {
    const row = this.unlistedRows.get(workerId)
    this.unlistedRows.delete(workerId)
    if (row === undefined || this.context.site.workers.get(workerId)?.isAlive !== true) return
    const { value } = row
    this.context.site.tables.apply({
      operations: [{ kind: 'put', table: WORKER_TABLE, key: workerId, value, condition: { kind: 'any' } }]
    })
  }

  /** Removes workers from the list of the platform although they live, and lists them again at the end. */
  private lapse ({ workerIds, afterMilliseconds, durationMilliseconds }: Lapse): void {
    const unlist = () => this.set(workerIds, durationMilliseconds - afterMilliseconds, { isUnlisted: true })
    if (afterMilliseconds === 0) unlist()
    else this.context.lasting.schedule(afterMilliseconds, unlist)
  }

  /** Crashes workers for good; another one may come for each, and does where too few stay. */
  private lose (fault: SiteFault): void {
    for (const workerId of this.choose(fault)) {
      this.leaving.add(workerId)
      this.context.site.crashWorker(workerId)
      this.context.site.workers.get(workerId)!.shutDown()
      this.replace(workerId, fault.durationMilliseconds, fault.variant % 2 === 0)
    }
  }

  private drain (fault: SiteFault): void {
    const form = chooseForm(['announced', 'spot', 'reclaimed', 'reclaimed-for-good'] as const, fault.variant)
    const isReclaimed = form === 'reclaimed' || form === 'reclaimed-for-good'
    const workerIds = isReclaimed ? this.chooseGroup(fault, getDataCentre).map(getWorkerId) : this.choose(fault)
    const announcedMilliseconds = Math.max(SHORTEST_DRAIN_MILLISECONDS, fault.durationMilliseconds)
    const remainingMilliseconds = {
      announced: Math.min(LONGEST_DRAIN_MILLISECONDS, announcedMilliseconds),
      spot: SPOT_NOTICE_MILLISECONDS,
      reclaimed: RECLAIM_NOTICE_MILLISECONDS,
      'reclaimed-for-good': RECLAIM_NOTICE_MILLISECONDS
    }[form]
    const replacedAfterMilliseconds = {
      announced: remainingMilliseconds,
      spot: REPLACEMENT_MILLISECONDS,
      reclaimed: RECLAIM_NOTICE_MILLISECONDS + fault.durationMilliseconds,
      'reclaimed-for-good': null
    }[form]
    for (const workerId of workerIds) this.depart({ workerId, remainingMilliseconds, replacedAfterMilliseconds })
  }

  /** Announces that a worker leaves, which ends its process. */
  private depart ({ workerId, remainingMilliseconds, replacedAfterMilliseconds }: Departure): void {
    const { site, lasting } = this.context
    if (!site.workers.get(workerId)!.isAlive) return
    this.leaving.add(workerId)
    site.drainWorker(workerId, remainingMilliseconds)
    lasting.begin({
      affected: [workerId],
      durationMilliseconds: remainingMilliseconds,
      end: () => {
        site.workers.get(workerId)!.shutDown()
        site.tables.apply({
          operations: [{ kind: 'delete', table: WORKER_TABLE, key: workerId, condition: { kind: 'any' } }]
        })
      }
    })
    this.replace(workerId, replacedAfterMilliseconds ?? REPLACEMENT_MILLISECONDS, replacedAfterMilliseconds !== null)
  }

  /** Adds a worker later, in the data centre of one that leaves; always where less than half of all workers stay. */
  private replace (workerId: string, delayMilliseconds: number, isCertain: boolean): void {
    if (!isCertain && this.countStaying() >= this.initialCount / 2) return
    this.context.lasting.begin({
      affected: [], durationMilliseconds: delayMilliseconds, end: () => { this.add(workerId) }
    })
  }

  /** Replaces workers one after the other, each before or after the new one has come. */
  private release (fault: SiteFault): void {
    const { lasting } = this.context
    const workerIds = this.choose(fault)
    lasting.begin({
      affected: workerIds, durationMilliseconds: workerIds.length * RELEASE_INTERVAL_MILLISECONDS, end: () => {}
    })
    const replacedAfterMilliseconds = chooseForm([0, SHORTEST_DRAIN_MILLISECONDS], fault.variant)
    for (const [index, workerId] of workerIds.entries()) {
      lasting.schedule(index * RELEASE_INTERVAL_MILLISECONDS, () => {
        if (this.leaving.has(workerId)) return
        this.depart({ workerId, remainingMilliseconds: SHORTEST_DRAIN_MILLISECONDS, replacedAfterMilliseconds })
      })
    }
  }

  /** Makes workers unreachable for short times, or crashes them again and again. */
  private flap (fault: SiteFault): void {
    const { lasting } = this.context
    const workerIds = this.choose(fault)
    const change = chooseForm<Partial<WorkerSettings>>([
      { cutOff: true }, { cutOff: true, failsToConnect: true }, { isDown: true }
    ], fault.variant)
    lasting.begin({ affected: workerIds, durationMilliseconds: fault.durationMilliseconds, end: () => {} })
    for (let delay = 0; delay < fault.durationMilliseconds; delay += FLAP_INTERVAL_MILLISECONDS) {
      lasting.schedule(delay, () => this.set(workerIds, FLAP_MILLISECONDS, change))
    }
  }

  /** Crashes workers, which start again under their IDs and are unreachable soon after. */
  private cutAfterReturn (fault: SiteFault): void {
    const { lasting } = this.context
    const workerIds = this.choose(fault)
    const restartMilliseconds = SHORTEST_RESTART_MILLISECONDS +
      fault.target % (LONGEST_RESTART_MILLISECONDS - SHORTEST_RESTART_MILLISECONDS)
    const cutAt = restartMilliseconds + chooseForm(RETURN_FORMS_MILLISECONDS, fault.variant)
    const cutMilliseconds = Math.max(SHORTEST_RETURN_CUT_MILLISECONDS, fault.durationMilliseconds)
    lasting.begin({ affected: workerIds, durationMilliseconds: cutAt + cutMilliseconds, end: () => {} })
    this.set(workerIds, restartMilliseconds, { isDown: true })
    lasting.schedule(cutAt, () => this.set(workerIds, cutMilliseconds, { cutOff: true }))
  }

  private delayOrders (fault: SiteFault): void {
    const { lasting, random } = this.context
    const lateMilliseconds = SHORTEST_LATENESS_MILLISECONDS +
      random() * (LONGEST_LATENESS_MILLISECONDS - SHORTEST_LATENESS_MILLISECONDS)
    const workerIds = this.choose(fault)
    const change = { lateShare: 0.5, lateMilliseconds }
    const ends = workerIds.map(workerId => this.settings.add(workerId, { ...change }))
    lasting.begin({
      affected: workerIds,
      durationMilliseconds: fault.durationMilliseconds,
      end: () => {
        for (const end of ends) end()
        lasting.disturb(lateMilliseconds)
      }
    })
  }

  /** Gives all paths between some instances and some workers a fault. */
  cutPaths (instanceIds: string[], workerIds: string[], fault: SiteFault, pathFault: PathFault): void {
    const ends = workerIds.flatMap(workerId => instanceIds.map(instanceId =>
      this.paths.add(getPathId(instanceId, workerId), { fault: pathFault })))
    this.context.lasting.begin({
      affected: workerIds,
      durationMilliseconds: fault.durationMilliseconds,
      end: () => { for (const end of ends) end() }
    })
  }

  /** Adds a worker in place of another one; of both, the numbers are even or odd, which decides the data centre. */
  private add (otherId: string): string {
    const { site, addWorker } = this.context
    let number = FIRST_ADDED_NUMBER + (Number(otherId.split('-')[1]) % 2 || 0)
    while (site.workers.has(`worker-${number}`)) number += 2
    addWorker(`worker-${number}`, otherId)
    return `worker-${number}`
  }
}

/** Returns the ID of a worker. */
function getWorkerId ({ workerId }: WorkerEntry): string {
  return workerId
}

/**
 * Returns the data centre of a worker.
 * @param entry The worker.
 * @returns The name of the data centre.
 */
export function getDataCentre ({ dataCentre }: WorkerEntry): string {
  return dataCentre
}

/** Returns the data centre and the rack of a worker, which its label of the form `r1` names. */
function getRack ({ dataCentre, labels }: WorkerEntry): string {
  return `${dataCentre}/${labels.find(label => /^r\d+$/.test(label)) ?? ''}`
}
