import type { StepRecord } from '../jobs/index.js'
import { isEligible, type ChoiceConditions } from './chooseWorker.js'
import { getFreeCapacity, isUnsteady, type WorkerRecord } from './WorkerRecord.js'

/**
 * Places all members of a gang at once, on one rack when the gang prefers that and a rack has the capacity.
 *
 * Either all members get a worker or none does: on a nearly full site, members that wait for the others would reserve
 * capacity without making progress. One worker that fails ends the whole gang, so the gang uses only sound workers if
 * it fits there.
 * @param step The step.
 * @param workers All workers.
 * @param conditions The conditions of the choice.
 * @returns The worker of each member in order, or an empty list when not all fit or a member is done or still runs.
 */
export function selectGangPlacement (
  step: StepRecord, workers: Iterable<WorkerRecord>, conditions: ChoiceConditions
): WorkerRecord[] {
  const { tasks } = step
  if (tasks.remainingCount < tasks.count) return []
  for (const task of tasks.getAllCreated()) if (task.runs.length > 0) return []
  const label = step.specification.requiredLabel
  const eligible = [...workers].filter(worker =>
    isEligible(worker, conditions) && (label === '' || worker.entry.labels.includes(label)))
  const members = [...tasks.getAllCreated()]
  const refusing = new Set(members.flatMap(({ refusingWorkerIds }) => [...refusingWorkerIds]))
  const failed = new Set(members.flatMap(({ failedWorkerIds }) => [...failedWorkerIds]))
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

/** Returns the worker of each member, or an empty list when not all fit. */
function placeMembers (step: StepRecord, eligible: WorkerRecord[]): WorkerRecord[] {
  const { tasks } = step
  const { preferredRack, rackSensitive } = step.specification
  const racks = rackSensitive || preferredRack !== '' ? getRacks(eligible) : []
  racks.sort((left, right) => Number(right.name === preferredRack) - Number(left.name === preferredRack))
  for (const rack of racks) {
    const placement = assignMembers(step, rack.workers)
    if (placement.length === tasks.count) return placement
  }
  const placement = assignMembers(step, eligible)
  return placement.length === tasks.count ? placement : []
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

function assignMembers (step: StepRecord, workers: WorkerRecord[]): WorkerRecord[] {
  const { specification, tasks } = step
  const placement: WorkerRecord[] = []
  for (const worker of workers) {
    const free = getFreeCapacity(worker)
    const limit = specification.maximumPerWorker > 0 ? specification.maximumPerWorker : Infinity
    for (let count = 0; count < limit && placement.length < tasks.count; count++) {
      if (!specification.fills && free.processorsMilli < specification.processorsMilli) break
      if (free.memoryMegabytes < specification.memoryMegabytes || free.accelerators < specification.accelerators) break
      free.processorsMilli -= specification.fills ? 0 : specification.processorsMilli
      free.memoryMegabytes -= specification.memoryMegabytes
      free.accelerators -= specification.accelerators
      placement.push(worker)
    }
  }
  return placement
}
