import type { StepRecord, TaskRecord } from '../jobs/index.js'
import { isEligible, type ChoiceConditions } from './chooseWorker.js'
import type { WorkerCapacity, WorkerRecord } from './WorkerRecord.js'

/** One member of a gang and its worker. */
export interface GangMemberPlacement {
  task: TaskRecord
  worker: WorkerRecord
}

/**
 * Places all members of a gang at once, on one rack where that is possible and matters.
 *
 * Answers gangs beside a nearly full site: members that wait for the rest hold room and earn nothing, so either
 * all members get a worker or none does.
 * @param step The step.
 * @param workers All workers.
 * @param conditions The service, the data centres that are out, and the time.
 * @returns A worker for each member, or nothing when not all fit or some still run.
 */
export function selectGangPlacement (
  step: StepRecord, workers: Iterable<WorkerRecord>, conditions: ChoiceConditions
): GangMemberPlacement[] {
  if (step.tasks.some(task => task.done || task.runs.length > 0)) return []
  const label = step.specification.requiredLabel
  const eligible = [...workers].filter(worker =>
    isEligible(worker, conditions) && (label === '' || worker.entry.labels.includes(label)))
  const { preferredRack, rackSensitive } = step.specification
  const racks = rackSensitive || preferredRack !== '' ? getRacks(eligible) : []
  racks.sort((left, right) => Number(right.name === preferredRack) - Number(left.name === preferredRack))
  for (const rack of racks) {
    const placement = assignMembers(step, rack.workers)
    if (placement.length === step.tasks.length) return placement
  }
  const placement = assignMembers(step, eligible)
  return placement.length === step.tasks.length ? placement : []
}

function getRacks (workers: WorkerRecord[]): Array<{ name: string, workers: WorkerRecord[] }> {
  const racks = new Map<string, WorkerRecord[]>()
  for (const worker of workers) {
    // The first label is the kind, the second the rack.
    const name = worker.entry.labels[1] ?? ''
    racks.set(name, [...racks.get(name) ?? [], worker])
  }
  return [...racks].map(([name, members]) => ({ name, workers: members }))
}

function assignMembers (step: StepRecord, workers: WorkerRecord[]): GangMemberPlacement[] {
  const { specification } = step
  const placement: GangMemberPlacement[] = []
  const waiting = [...step.tasks]
  for (const worker of workers) {
    const free = getFreeCapacity(worker)
    const limit = specification.maximumPerWorker > 0 ? specification.maximumPerWorker : Infinity
    for (let count = 0; count < limit && waiting.length > 0; count++) {
      if (!specification.fills && free.processorsMilli < specification.processorsMilli) break
      if (free.memoryMegabytes < specification.memoryMegabytes || free.accelerators < specification.accelerators) break
      free.processorsMilli -= specification.fills ? 0 : specification.processorsMilli
      free.memoryMegabytes -= specification.memoryMegabytes
      free.accelerators -= specification.accelerators
      placement.push({ task: waiting.shift()!, worker })
    }
  }
  return placement
}

function getFreeCapacity (worker: WorkerRecord): WorkerCapacity {
  const { capacity } = worker.entry
  return {
    processorsMilli: capacity.processorsMilli - worker.reserved.processorsMilli,
    memoryMegabytes: capacity.memoryMegabytes - worker.reserved.memoryMegabytes,
    accelerators: capacity.accelerators - worker.reserved.accelerators
  }
}
