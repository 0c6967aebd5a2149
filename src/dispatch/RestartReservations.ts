import type { RunRecord, StepRecord, TaskRecord } from '../jobs/index.js'
import { isEligible, type ChoiceConditions } from './chooseWorker.js'
import type { DispatchObserver } from './DispatchObserver.js'
import { estimateRemaining, estimateTimeUntilFit, mayStopForRestart, selectRunsToStop } from './estimateRoom.js'
import { fitsAccountCap } from './fitsAccountCap.js'
import { getSizeKey } from './getSizeKey.js'
import type { PendingOrders } from './PendingOrders.js'
import { countRunsOfStep, isUnsteady, NO_CAPACITY, type WorkerRecord } from './WorkerRecord.js'

/** The share of the workers of a service, and of those with a label, that may be reserved, so other work goes on. */
const RESERVED_WORKER_SHARE = 0.25
/** A reservation whose task has not started by then ends, and the task reserves another worker. */
const RESERVATION_MILLISECONDS = 3000
/** A task that has waited this long gets room by the stop of best-effort runs on the reserved worker. */
const STOP_WAIT_MILLISECONDS = 2000
/** The time in which a stop frees the room of a run; runs are not stopped if the room is free that soon anyway. */
const STOP_MILLISECONDS = 500
/** Interval at which the runs on a reserved worker are examined for a stop. */
const STOP_CHECK_MILLISECONDS = 200
/** A worker that responds unsteadily is reserved only when a steady one would have room this much later. */
const UNSTEADY_DELAY_MILLISECONDS = 1500
/** The interval between two searches, each of which looks at all runs of a service. */
const SEARCH_INTERVAL_MILLISECONDS = 30
/** Later than the end of any short run that a reservation waits for. */
const CANCELLATION_MILLISECONDS = 600_000
/** The time after which a worker is searched for again when none can get enough room. */
const RETRY_MILLISECONDS = 500

/** Options of the reservations. */
export interface RestartReservationsOptions {
  orders: PendingOrders
  /** Returns the observer, which receives the stops. */
  getObserver (): DispatchObserver
}

interface Reservation {
  worker: WorkerRecord
  madeAt: number
  /** Whether other tasks are kept from using the room. */
  isApplied: boolean
  nextStopCheckAt: number
}

/** The workers of one service during one plan. */
interface ServiceWorkers {
  name: string
  eligible: WorkerRecord[]
  /** The number of further workers that may be reserved. */
  remaining: number
  /** The same for the workers with each label. */
  remainingByLabel: Map<string, number>
  /** The workers that can get room, by the size of the task, the first to have it first. */
  rankings: Map<string, WorkerRecord[]>
}

/**
 * Reserves workers for restarts that fit nowhere, and for urgent tasks, see `UrgentReservations`.
 *
 * On a full service smaller tasks take each part of a worker that becomes free, so that a larger task never finds
 * enough room on one. A reserved worker gives no room that the restart needs to other tasks until the restart starts.
 * A worker has at most one reservation, and reservations are suspended while the restarts of a plan are placed, so that
 * the restart that has waited longest uses the first room.
 */
export class RestartReservations {
  private readonly reservations = new Map<TaskRecord, Reservation>()
  /** Monotonic time before which no worker is searched for, by the service and the size of the task. */
  private readonly retryTimes = new Map<string, number>()
  private services = new Map<string, ServiceWorkers>()
  /** The gangs whose reservations were decided in this plan. */
  private gangs = new Set<StepRecord>()
  private nextSearchAt = -Infinity

  private constructor (private readonly options: RestartReservationsOptions) {}

  /**
   * Creates an object without reservations.
   * @param options The orders and the observer.
   * @returns The object.
   */
  static create (options: RestartReservationsOptions): RestartReservations {
    return new RestartReservations(options)
  }

  /**
   * Returns the worker that is reserved for a task.
   * @param task The task.
   * @returns The worker, or null for none.
   */
  getWorker (task: TaskRecord): WorkerRecord | null {
    return this.reservations.get(task)?.worker ?? null
  }

  /**
   * Ends the reservation of a task.
   * @param task The task, which was placed.
   */
  release (task: TaskRecord): void {
    const reservation = this.reservations.get(task)
    if (reservation === undefined) return
    setApplied(reservation, null)
    this.reservations.delete(task)
  }

  /**
   * Begins a plan: the reserved room counts as free until each task reserves it again.
   * @param now The monotonic time.
   */
  suspend (now: number): void {
    this.services = new Map()
    this.gangs = new Set()
    for (const [key, time] of this.retryTimes) if (now >= time) this.retryTimes.delete(key)
    for (const reservation of this.reservations.values()) setApplied(reservation, null)
  }

  /**
   * Reserves a worker for a restart that fits nowhere, or keeps the worker that it has. The first member of a gang does
   * so for all of them, or for none when there are too few workers.
   * @param task The task, which waits.
   * @param workers All workers.
   * @param conditions The conditions of the choice.
   */
  reserve (task: TaskRecord, workers: readonly WorkerRecord[], conditions: ChoiceConditions): void {
    const members = this.getMembers(task)
    if (members.length === 0 || this.keep(members, conditions)) return
    const service = this.getService(workers, conditions)
    const earlier = members.map(member => this.drop(member, service))
    const { requiredLabel } = task.step.specification
    if (service.remaining < members.length) return
    if (requiredLabel !== '' && (service.remainingByLabel.get(requiredLabel) ?? 0) < members.length) return
    const chosen = this.chooseWorkers(members, service, conditions, new Set(earlier))
    for (const [index, worker] of chosen.entries()) {
      const reservation = { worker, madeAt: conditions.now, isApplied: false, nextStopCheckAt: conditions.now }
      this.reservations.set(members[index], reservation)
      setApplied(reservation, members[index])
    }
  }

  /**
   * Ends the placement of restarts: the reservations of tasks that still wait apply again, all others end. Those of
   * tasks that wait for the cap of their account end as well.
   * @param getConditions Returns the conditions of a choice for a task.
   */
  resume (getConditions: (task: TaskRecord) => ChoiceConditions): void {
    for (const [task, reservation] of this.reservations) {
      if (reservation.isApplied) continue
      const isWaiting = task.runs.length === 0 && !task.done && task.step.occurrence.job.finalState === null &&
        fitsAccountCap(task.step)
      if (isWaiting && isUsable(reservation, getConditions(task))) setApplied(reservation, task)
      else this.reservations.delete(task)
    }
  }

  /**
   * Places tasks with reservations, which all of these may use; the reservations of the tasks that still wait go on.
   * @param tasks The tasks, in the order in which they are placed.
   * @param tryToPlace Returns whether a task was placed.
   */
  placeFirst (tasks: Iterable<TaskRecord>, tryToPlace: (task: TaskRecord) => boolean): void {
    const reserved = [...tasks].flatMap(task => {
      const reservation = this.reservations.get(task)
      return reservation === undefined ? [] : [{ task, reservation }]
    })
    for (const { reservation } of reserved) setApplied(reservation, null)
    for (const { task, reservation } of reserved) {
      if (tryToPlace(task)) this.reservations.delete(task)
      else setApplied(reservation, task)
    }
  }

  /** Returns the tasks that reserve together; none when the gang of the task has reserved or is not started. */
  private getMembers (task: TaskRecord): TaskRecord[] {
    const { step } = task
    if (!step.specification.gang) return [task]
    if (this.gangs.has(step) || !isGangWaiting(task)) return []
    this.gangs.add(step)
    return step.tasks.createAll()
  }

  /** Applies the reservations of tasks again; returns whether all of them have a usable one. */
  private keep (members: readonly TaskRecord[], conditions: ChoiceConditions): boolean {
    const existing = members.flatMap(member => this.reservations.get(member) ?? [])
    const isUsableFor = (reservation: Reservation): boolean => isUsable(reservation, conditions)
    if (existing.length < members.length || !existing.every(isUsableFor)) return false
    for (const [index, reservation] of existing.entries()) {
      setApplied(reservation, members[index])
      this.stopRuns(members[index], reservation, conditions.now)
    }
    return true
  }

  /** Ends the reservation of a task that waits; returns its worker. */
  private drop (task: TaskRecord, service: ServiceWorkers): WorkerRecord | null {
    const reservation = this.reservations.get(task)
    if (reservation === undefined) return null
    this.reservations.delete(task)
    if (reservation.worker.entry.serviceName === service.name) countReserved(service, reservation.worker, -1)
    return reservation.worker
  }

  private getService (workers: readonly WorkerRecord[], conditions: ChoiceConditions): ServiceWorkers {
    const known = this.services.get(conditions.serviceName)
    if (known !== undefined) return known
    const eligible = workers.filter(worker => isEligible(worker, conditions))
    const service: ServiceWorkers = {
      name: conditions.serviceName,
      eligible,
      remaining: getReservableCount(eligible.length),
      remainingByLabel: new Map(),
      rankings: new Map()
    }
    for (const [label, count] of countLabels(eligible)) service.remainingByLabel.set(label, getReservableCount(count))
    for (const { worker } of this.reservations.values()) {
      if (worker.entry.serviceName === conditions.serviceName) countReserved(service, worker)
    }
    this.services.set(conditions.serviceName, service)
    return service
  }

  /** Chooses a worker for each of the tasks of one step, earlier ones last; returns none when there are too few. */
  private chooseWorkers (
    members: readonly TaskRecord[], service: ServiceWorkers, conditions: ChoiceConditions,
    earlier: ReadonlySet<WorkerRecord | null>
  ): WorkerRecord[] {
    const [task] = members
    const size = getSizeKey(task.step)
    const retryKey = `${JSON.stringify(service.name)} ${size}`
    if (this.retryTimes.has(retryKey)) return []
    let ranking = service.rankings.get(size)
    if (ranking === undefined) {
      if (conditions.now < this.nextSearchAt) return []
      this.nextSearchAt = conditions.now + SEARCH_INTERVAL_MILLISECONDS
      ranking = rankWorkers(task, service.eligible, conditions)
      service.rankings.set(size, ranking)
    }
    const reserved = new Set([...this.reservations.values()].map(({ worker }) => worker))
    const candidates = ranking.filter(candidate => !reserved.has(candidate))
      .toSorted((left, right) => Number(earlier.has(left)) - Number(earlier.has(right)))
    const chosen: WorkerRecord[] = []
    for (const worker of candidates) {
      if (chosen.length === members.length) break
      if (!mayReserve(service, worker)) continue
      countReserved(service, worker)
      chosen.push(worker)
    }
    if (chosen.length === members.length) return chosen
    for (const worker of chosen) countReserved(service, worker, -1)
    this.retryTimes.set(retryKey, conditions.now + RETRY_MILLISECONDS)
    return []
  }

  private stopRuns (task: TaskRecord, reservation: Reservation, now: number): void {
    const { worker } = reservation
    if (now - task.waitingSince < STOP_WAIT_MILLISECONDS || now < reservation.nextStopCheckAt) return
    reservation.nextStopCheckAt = now + STOP_CHECK_MILLISECONDS
    // Without the reservation itself, whose room the task uses.
    setApplied(reservation, null)
    const remaining = estimateTimeUntilFit(worker, task, run => estimateRemaining(run, now))
    if (remaining > STOP_MILLISECONDS) {
      const isEnding = (run: RunRecord): boolean => estimateRemaining(run, now) <= STOP_MILLISECONDS
      for (const run of selectRunsToStop(worker, task, isEnding)) {
        this.options.orders.stop(worker, run)
        this.options.getObserver().onRunStoppedForRestart(run, task, now)
        reservation.madeAt = now
      }
    }
    setApplied(reservation, task)
  }
}

function getReservableCount (workerCount: number): number {
  return Math.ceil(workerCount * RESERVED_WORKER_SHARE)
}

/** Returns the number of workers with each label. */
function countLabels (workers: readonly WorkerRecord[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { entry } of workers) {
    for (const label of new Set(entry.labels)) counts.set(label, (counts.get(label) ?? 0) + 1)
  }
  return counts
}

/** Counts a worker as reserved, or with the sign -1 as no longer reserved. */
function countReserved (service: ServiceWorkers, { entry }: WorkerRecord, sign: 1 | -1 = 1): void {
  service.remaining -= sign
  for (const label of new Set(entry.labels)) {
    service.remainingByLabel.set(label, (service.remainingByLabel.get(label) ?? 0) - sign)
  }
}

/** Returns whether one more worker with each label of a worker may be reserved. */
function mayReserve ({ remainingByLabel }: ServiceWorkers, { entry }: WorkerRecord): boolean {
  return entry.labels.every(label => (remainingByLabel.get(label) ?? 0) > 0)
}

/** Makes a reservation keep room for its task, or leave the room to all. */
function setApplied (reservation: Reservation, task: TaskRecord | null): void {
  const { worker } = reservation
  if (task === null && !reservation.isApplied) return
  reservation.isApplied = task !== null
  worker.reservingTask = task
  worker.reservedForRestart = task === null
    ? NO_CAPACITY
    : {
        processorsMilli: task.step.specification.fills ? 0 : task.step.specification.processorsMilli,
        memoryMegabytes: task.step.specification.memoryMegabytes,
        accelerators: task.step.specification.accelerators
      }
}

function isUsable ({ worker, madeAt }: Reservation, conditions: ChoiceConditions): boolean {
  if (conditions.now - madeAt >= RESERVATION_MILLISECONDS || !isEligible(worker, conditions)) return false
  // Another restart may have used the room.
  for (const { task, startedAt } of worker.runs.values()) {
    if (startedAt >= madeAt && task.step.specification.longRunning) return false
  }
  return true
}

/** Returns whether all members of a gang wait; a gang with a running member is not started. */
function isGangWaiting ({ step: { tasks } }: TaskRecord): boolean {
  return tasks.remainingCount === tasks.count && !tasks.hasBusy()
}

/**
 * Returns a delay by which workers are ranked that get enough room only when long-running jobs there are cancelled:
 * behind all others, those that miss the least first. Restarts wait for no such worker.
 */
function getCancellationDelay ({ entry, reserved }: WorkerRecord, { step: { specification } }: TaskRecord): number {
  const { longRunning, processorsMilli, memoryMegabytes, accelerators } = specification
  if (longRunning) return Infinity
  const { capacity } = entry
  if (processorsMilli > capacity.processorsMilli || memoryMegabytes > capacity.memoryMegabytes) return Infinity
  if (accelerators > capacity.accelerators) return Infinity
  return CANCELLATION_MILLISECONDS + reserved.processorsMilli + processorsMilli - capacity.processorsMilli
}

function isLikelyToFail (worker: WorkerRecord, { now, unsteadyDataCentres }: ChoiceConditions): boolean {
  return isUnsteady(worker, now) || unsteadyDataCentres?.has(worker.entry.dataCentre) === true
}

/** Returns the workers that can get room for a task, the first to have it first. */
function rankWorkers (
  task: TaskRecord, eligible: readonly WorkerRecord[], conditions: ChoiceConditions
): WorkerRecord[] {
  const { now } = conditions
  const { requiredLabel, maximumPerWorker, longRunning } = task.step.specification
  const stopTime = Math.max(0, STOP_WAIT_MILLISECONDS - (now - task.waitingSince)) + STOP_MILLISECONDS
  const getRemaining = (run: RunRecord): number => {
    const remaining = estimateRemaining(run, now)
    return longRunning && mayStopForRestart(run) ? Math.min(remaining, stopTime) : remaining
  }
  const ranked: Array<{ worker: WorkerRecord, delay: number }> = []
  for (const worker of eligible) {
    if (worker.reservingTask !== null) continue
    if (requiredLabel !== '' && !worker.entry.labels.includes(requiredLabel)) continue
    if (maximumPerWorker > 0 && countRunsOfStep(worker, task.step) >= maximumPerWorker) continue
    const delay = Math.min(estimateTimeUntilFit(worker, task, getRemaining), getCancellationDelay(worker, task))
    if (delay === Infinity) continue
    ranked.push({ worker, delay: delay + (isLikelyToFail(worker, conditions) ? UNSTEADY_DELAY_MILLISECONDS : 0) })
  }
  return ranked.sort((left, right) => left.delay - right.delay).map(({ worker }) => worker)
}
