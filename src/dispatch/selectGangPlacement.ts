import type { StepRecord } from '../jobs/index.js'
import { isEligible, type ChoiceConditions } from './chooseWorker.js'
import { getFreeCapacity, isUnsteady, type WorkerRecord } from './WorkerRecord.js'

/** The number of members of a gang that a worker gets. */
export interface GangShare {
  worker: WorkerRecord
  count: number
}

/**
 * Up to so many members share a worker as long as there is room. Further ones are spread over all workers that have
 * room, because a worker takes few starts at a time and a gang has to start within a time limit.
 */
const PACKED_MEMBERS = 64

/**
 * Places all members of a gang at once, on one rack when the gang prefers that and a rack has the capacity.
 *
 * Either all members get a worker or none does: on a nearly full site, members that wait for the others would reserve
 * capacity without making progress. One worker that fails ends the whole gang, so the gang uses only sound workers if
 * it fits there.
 * @param step The step.
 * @param workers All workers.
 * @param conditions The conditions of the choice.
 * @returns The number of members by worker, or an empty list when not all fit or a member is done or still runs.
 */
export function selectGangPlacement (
  step: StepRecord, workers: Iterable<WorkerRecord>, conditions: ChoiceConditions
): GangShare[] {
  const { tasks } = step
  if (tasks.remainingCount < tasks.count || tasks.hasBusy()) return []
  const label = step.specification.requiredLabel
  const eligible = [...workers].filter(worker =>
    isEligible(worker, conditions) && (label === '' || worker.entry.labels.includes(label)))
  if (countRoom(step, eligible) < tasks.count) return []
  const refusing = new Set<string>()
  const failed = new Set<string>()
  for (const { refusingWorkerIds, failedWorkerIds } of tasks.getAllCreated()) {
    for (const workerId of refusingWorkerIds) refusing.add(workerId)
    for (const workerId of failedWorkerIds) failed.add(workerId)
  }
  const accepting = eligible.filter(({ entry: { workerId } }) => !refusing.has(workerId))
  const sound = accepting.filter(worker =>
    !failed.has(worker.entry.workerId) && !isLikelyToFail(worker, conditions))
  const placement = placeMembers(step, sound)
  if (placement.length > 0 || sound.length === eligible.length) return placement
  const other = placeMembers(step, accepting)
  return other.length > 0 || accepting.length === eligible.length ? other : placeMembers(step, eligible)
}

/** Returns whether a start on a worker is likely to get no response. */
function isLikelyToFail (worker: WorkerRecord, { now, unsteadyDataCentres }: ChoiceConditions): boolean {
  return isUnsteady(worker, now) || unsteadyDataCentres?.has(worker.entry.dataCentre) === true
}

/** Returns the number of members by worker, or an empty list when not all fit. */
function placeMembers (step: StepRecord, eligible: WorkerRecord[]): GangShare[] {
  const { preferredRack, rackSensitive } = step.specification
  const racks = rackSensitive || preferredRack !== '' ? getRacks(eligible) : []
  racks.sort((left, right) => Number(right.name === preferredRack) - Number(left.name === preferredRack))
  for (const rack of racks) {
    const placement = assignMembers(step, rack.workers)
    if (placement.length > 0) return placement
  }
  return assignMembers(step, eligible)
}

function getRacks (workers: WorkerRecord[]): Array<{ name: string, workers: WorkerRecord[] }> {
  const racks = new Map<string, WorkerRecord[]>()
  for (const worker of workers) {
    // The first label is the kind of the worker, the second one its rack.
    const name = worker.entry.labels[1] ?? ''
    racks.set(name, [...racks.get(name) ?? [], worker])
  }
  return [...racks].map(([name, members]) => ({ name, workers: members }))
}

/** Assigns all members to workers, or none when they do not fit. */
function assignMembers (step: StepRecord, workers: readonly WorkerRecord[]): GangShare[] {
  const { count } = step.tasks
  const rooms = workers.map(worker => ({ worker, room: countMembers(step, worker) }))
  const limit = getMembersPerWorker(count, rooms.map(({ room }) => room))
  if (limit === null) return []
  const shares: GangShare[] = []
  let remaining = count
  for (const { worker, room } of rooms) {
    const share = Math.min(room, limit, remaining)
    if (share > 0) shares.push({ worker, count: share })
    remaining -= share
  }
  return shares
}

/** Returns the lowest limit from `PACKED_MEMBERS` on by which all members fit, or null when they do not fit at all. */
function getMembersPerWorker (count: number, rooms: readonly number[]): number | null {
  const sorted = rooms.toSorted((left, right) => left - right)
  let remaining = count
  for (const [index, room] of sorted.entries()) {
    const evenShare = Math.ceil(remaining / (sorted.length - index))
    if (evenShare <= room) return Math.max(PACKED_MEMBERS, evenShare)
    remaining -= room
  }
  return remaining <= 0 ? PACKED_MEMBERS : null
}

function countRoom (step: StepRecord, workers: readonly WorkerRecord[]): number {
  return workers.reduce((sum, worker) => sum + countMembers(step, worker), 0)
}

/** Returns how many members a worker has room for. */
function countMembers (step: StepRecord, worker: WorkerRecord): number {
  const { specification, tasks } = step
  const { processorsMilli, memoryMegabytes, accelerators, maximumPerWorker, fills } = specification
  const free = getFreeCapacity(worker)
  return Math.max(0, Math.min(
    tasks.count,
    maximumPerWorker > 0 ? maximumPerWorker : Infinity,
    fills ? Infinity : countFits(free.processorsMilli, processorsMilli),
    countFits(free.memoryMegabytes, memoryMegabytes),
    countFits(free.accelerators, accelerators)
  ))
}

/** Returns how often an amount fits into the free one, which may be negative. */
function countFits (free: number, amount: number): number {
  if (amount > 0) return Math.floor(free / amount)
  return free >= 0 ? Infinity : 0
}
