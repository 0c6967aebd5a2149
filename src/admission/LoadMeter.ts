import type { JobTable } from '../dispatch/JobTable.js'
import { getUrgency, type Urgency } from '../dispatch/rankJobs.js'
import { getBestEffortProcessors } from '../dispatch/getWorkerCost.js'
import type { WorkerRecord } from '../dispatch/WorkerRecord.js'
import { hasLongRunningStep, type JobRecord, type StepRecord, type StepSpecification } from '../jobs/index.js'
import { CLASS_LIMIT, isPlainStep, isSameClass, type ClassLoad, type JobClass, type LoadSummary } from './LoadSummary.js'
import type { RunTimeRatios } from './RunTimeRatios.js'

/** Options of a meter. */
export interface LoadMeterOptions {
  /** The epoch of the owner. */
  epoch: number
  jobs: Pick<JobTable, 'getJobs'>
  workers: ReadonlyMap<string, WorkerRecord>
  runTimeRatios: RunTimeRatios
}

/** The least time between two measurements. */
const INTERVAL_MILLISECONDS = 250
/**
 * Added to it for each measured job, which bounds the share of the processor: a job of five steps takes about 10
 * microseconds of a whole one. Summaries of more than some 5,000 jobs are too old to be used.
 */
const JOB_INTERVAL_MILLISECONDS = 0.5
/** A load counts when it has lasted this long; bursts that drain sooner delay their own jobs only. */
const SUSTAINED_MILLISECONDS = 5000
/** After this time, work that has arrived or ended counts half. */
const HALF_LIFE_MILLISECONDS = 10_000

/** The work of a class, in thousandths of a processor times milliseconds. */
interface ClassTotals extends JobClass {
  /** The decayed work and number of the jobs that have arrived. */
  arrivedWork: number
  arrivedCount: number
  /** The decayed work of completed tasks. */
  endedWork: number
  /** The work that waits now, by the urgency of its job. */
  waiting: Record<Urgency, number>
}

/** What is known of a job from the last measurement. */
interface MeasuredJob {
  /** The completed work by kind of room. */
  doneWork: KindAmounts
}

/** An amount for reserved processors and one for best-effort tasks. */
type KindAmounts = [reserved: number, bestEffort: number]

/** What a service has for tasks that end. */
interface ServiceRoom {
  /** The processors that such tasks could use beside long-running ones. */
  processors: KindAmounts
  /** The processors that such tasks use now. */
  running: KindAmounts
  /** The largest worker. */
  processorsMilli: number
  memoryMegabytes: number
}

interface Measurement {
  at: number
  classes: ClassLoad[]
}

/**
 * Measures the load that new jobs meet, from the jobs and workers of the owner.
 *
 * Designed for lasting overloads of a site by jobs of several priorities. All values err on the side of less load: work
 * is compared with all processors that such work could use, work of higher priority that has yet to arrive does not
 * count, nor does work that may wait for something else than room, and the values of a summary are the lowest of some
 * seconds.
 */
export class LoadMeter {
  private readonly classes = new Map<string, ClassTotals>()
  private measuredJobs = new Map<JobRecord, MeasuredJob>()
  private history: Measurement[] = []
  private measuredAt = -Infinity

  private constructor (private readonly options: LoadMeterOptions) {}

  /**
   * Creates a meter without measurements.
   * @param options The jobs and the workers of the owner.
   * @returns The meter.
   */
  static create (options: LoadMeterOptions): LoadMeter {
    return new LoadMeter(options)
  }

  /**
   * Measures the load unless that was done a moment ago; called at short intervals.
   * @param now The monotonic time.
   * @param wallMilliseconds The time of day.
   */
  measure (now: number, wallMilliseconds: number): void {
    if (now - this.measuredAt < INTERVAL_MILLISECONDS + this.measuredJobs.size * JOB_INTERVAL_MILLISECONDS) return
    this.decay(now)
    const rooms = this.getRooms()
    this.measureJobs(rooms, wallMilliseconds)
    this.measuredAt = now
    this.history.push({ at: now, classes: this.getClassLoads(rooms) })
    // One measurement from before the time that counts remains, so that all of that time is covered.
    while (this.history.length > 1 && this.history[1].at <= now - SUSTAINED_MILLISECONDS) this.history.shift()
  }

  /**
   * Returns the load that has lasted.
   * @param now The monotonic time.
   * @returns The lowest values of the last seconds; none before as many seconds have been measured.
   */
  getSummary (now: number): LoadSummary {
    const { epoch } = this.options
    const ageMilliseconds = Math.max(0, Math.round(now - this.measuredAt))
    const [first, ...others] = this.history
    const isCovered = first !== undefined && first.at <= this.measuredAt - SUSTAINED_MILLISECONDS
    if (!isCovered) return { epoch, ageMilliseconds: 0, classes: [] }
    const classes = others.reduce((lowest, { classes }) => lowest.flatMap(load => {
      const other = classes.find(candidate => isSameClass(candidate, load))
      return other === undefined ? [] : [getLowest(load, other)]
    }), first.classes)
    return { epoch, ageMilliseconds, classes: classes.slice(0, CLASS_LIMIT) }
  }

  private measureJobs (rooms: ReadonlyMap<string, ServiceRoom>, wallMilliseconds: number): void {
    for (const totals of this.classes.values()) totals.waiting = { 'in-time': 0, late: 0, useless: 0 }
    const isFirst = this.measuredAt === -Infinity
    const measuredJobs = new Map<JobRecord, MeasuredJob>()
    const previousJobs = this.measuredJobs
    for (const job of this.options.jobs.getJobs()) {
      if (job.submission.specification.repeatCount > 0 || hasLongRunningStep(job)) continue
      const previous = previousJobs.get(job)
      previousJobs.delete(job)
      // The arrivals of the jobs that an earlier owner accepted are not known.
      if (previous === undefined && !isFirst) this.countArrival(job)
      const doneWork = this.countEnds(job, isFirst ? null : previous?.doneWork ?? [0, 0])
      if (job.finalState !== null) continue
      measuredJobs.set(job, { doneWork })
      const room = rooms.get(job.submission.serviceName)
      if (room !== undefined) this.addWaiting(job, getUrgency(job, wallMilliseconds), room)
    }
    // The other ones have ended since, and their final states are durable.
    for (const [job, { doneWork }] of previousJobs) this.countEnds(job, doneWork)
    this.measuredJobs = measuredJobs
  }

  private countArrival (job: JobRecord): void {
    const work: KindAmounts = [0, 0]
    for (const step of job.submission.specification.steps) {
      work[Number(step.fills)] += step.taskCount * step.processorsMilli * this.getRunTime(job, step)
    }
    for (const fills of [false, true]) {
      if (work[Number(fills)] === 0) continue
      const totals = this.getTotals(job, fills)
      totals.arrivedWork += work[Number(fills)]
      totals.arrivedCount++
    }
  }

  /** Counts the work that was completed since the last measurement, null for none; returns all that is completed. */
  private countEnds (job: JobRecord, previous: KindAmounts | null): KindAmounts {
    const done: KindAmounts = [0, 0]
    const steps = job.occurrences.get(0)?.steps
    for (const [index, step] of job.submission.specification.steps.entries()) {
      const isOver = steps === undefined && job.finalState === 'completed'
      const remaining = isOver ? 0 : steps?.[index].tasks.remainingCount ?? step.taskCount
      done[Number(step.fills)] += (step.taskCount - remaining) * step.processorsMilli * step.estimateMilliseconds
    }
    if (previous === null) return done
    for (const fills of [false, true]) {
      const estimated = done[Number(fills)] - previous[Number(fills)]
      if (estimated <= 0) continue
      const ratio = this.options.runTimeRatios.getRunTimeRatio(job.submission.queueName, fills)
      this.getTotals(job, fills).endedWork += estimated * ratio
    }
    return done
  }

  private addWaiting (job: JobRecord, urgency: Urgency, room: ServiceRoom): void {
    // The cap of its account may hold the work back, whatever room there is.
    if (job.account?.hasCap === true) return
    for (const { steps } of job.occurrences.values()) {
      for (const step of steps) {
        const { fills, processorsMilli } = step.specification
        if (!mayFit(step.specification, room)) continue
        const waiting = countIdle(step) * processorsMilli * this.getRunTime(job, step.specification)
        if (waiting > 0) this.getTotals(job, fills).waiting[urgency] += waiting
      }
    }
  }

  private getRunTime ({ submission }: JobRecord, step: { estimateMilliseconds: number, fills: boolean }): number {
    return step.estimateMilliseconds * this.options.runTimeRatios.getRunTimeRatio(submission.queueName, step.fills)
  }

  private getClassLoads (rooms: ReadonlyMap<string, ServiceRoom>): ClassLoad[] {
    const groups = new Map<string, ClassTotals[]>()
    for (const totals of this.classes.values()) {
      const key = `${totals.fills} ${totals.serviceName}`
      const group = groups.get(key)
      if (group === undefined) groups.set(key, [totals])
      else group.push(totals)
    }
    const loads = [...groups.values()].flatMap(group => getGroupLoads(group, rooms.get(group[0].serviceName)))
    return loads.sort((left, right) => right.aheadMilliseconds - left.aheadMilliseconds)
  }

  private getRooms (): Map<string, ServiceRoom> {
    const rooms = new Map<string, ServiceRoom>()
    for (const worker of this.options.workers.values()) {
      const { entry: { serviceName, capacity } } = worker
      const room = rooms.get(serviceName) ??
        { processors: [0, 0], running: [0, 0], processorsMilli: 0, memoryMegabytes: 0 }
      rooms.set(serviceName, room)
      let longRunning = 0
      for (const { task: { step: { specification } } } of worker.runs.values()) {
        if (!specification.longRunning) room.running[Number(specification.fills)] += specification.processorsMilli
        else if (!specification.fills) longRunning += specification.processorsMilli
      }
      room.processors[0] += Math.max(0, capacity.processorsMilli - longRunning)
      room.processors[1] += getBestEffortProcessors(worker)
      room.processorsMilli = Math.max(room.processorsMilli, capacity.processorsMilli)
      room.memoryMegabytes = Math.max(room.memoryMegabytes, capacity.memoryMegabytes)
    }
    return rooms
  }

  private getTotals ({ submission }: JobRecord, fills: boolean): ClassTotals {
    const { serviceName, accountName = null, priority } = submission
    const key = `${priority} ${fills} ${serviceName.length} ${serviceName} ${accountName ?? ''}`
    const existing = this.classes.get(key)
    if (existing !== undefined) return existing
    const waiting = { 'in-time': 0, late: 0, useless: 0 }
    const totals = {
      serviceName, accountName, priority, fills, arrivedWork: 0, arrivedCount: 0, endedWork: 0, waiting
    }
    this.classes.set(key, totals)
    return totals
  }

  private decay (now: number): void {
    const factor = 0.5 ** ((now - this.measuredAt) / HALF_LIFE_MILLISECONDS)
    for (const totals of this.classes.values()) {
      totals.arrivedWork *= factor
      totals.arrivedCount *= factor
      totals.endedWork *= factor
    }
  }
}

function countIdle ({ tasks }: StepRecord): number {
  let count = tasks.remainingCount
  if (count > 0) for (const { runs } of tasks.getAllCreated()) if (runs.length > 0) count--
  return Math.max(0, count)
}

/** Returns whether the tasks of a step need nothing that the workers of its service may lack for ever. */
function mayFit (step: StepSpecification, room: ServiceRoom): boolean {
  return isPlainStep(step) && step.processorsMilli <= room.processorsMilli &&
    step.memoryMegabytes <= room.memoryMegabytes
}

/** Returns the loads of the classes of one service and kind of room; none where it has no room for such work. */
function getGroupLoads (group: readonly ClassTotals[], room: ServiceRoom | undefined): ClassLoad[] {
  const kind = Number(group[0].fills)
  const ended = group.reduce((sum, { endedWork }) => sum + endedWork, 0) * Math.LN2 / HALF_LIFE_MILLISECONDS
  const rate = Math.max(ended, room?.processors[kind] ?? 0, room?.running[kind] ?? 0)
  if (rate <= 0) return []
  return group.flatMap((totals): ClassLoad[] => {
    const { serviceName, accountName, priority, fills, arrivedWork, arrivedCount, endedWork } = totals
    let ahead = 0
    for (const { priority: other, waiting } of group) {
      if (other < priority) ahead += waiting['in-time'] + waiting.late + waiting.useless
      if (other === priority) ahead += waiting['in-time']
    }
    const aheadMilliseconds = Math.round(ahead / rate)
    const excessShare = arrivedWork > 0 ? Math.max(0, 1 - endedWork / arrivedWork) : 0
    if (aheadMilliseconds === 0 || excessShare === 0) return []
    const meanWork = arrivedCount > 0 ? arrivedWork / arrivedCount : 0
    return [{ serviceName, accountName, priority, fills, aheadMilliseconds, excessShare, meanWork }]
  })
}

function getLowest (left: ClassLoad, right: ClassLoad): ClassLoad {
  return {
    ...right,
    aheadMilliseconds: Math.min(left.aheadMilliseconds, right.aheadMilliseconds),
    excessShare: Math.min(left.excessShare, right.excessShare)
  }
}
