import type { JobRecord, RunRecord, StepRecord, TaskRecord } from '../../jobs/index.js'
import { estimateRemaining } from '../estimateRoom.js'
import { getBestEffortProcessors } from '../getWorkerCost.js'
import type { Urgency } from '../rankJobs.js'
import { countRunsOfStep, type WorkerRecord } from '../WorkerRecord.js'

/** A run that ends within this time by itself frees its capacity as soon as a stop would. */
const ENDING_MILLISECONDS = 500

/** Tasks of one step that wait for capacity. */
export interface WaitingTasks {
  /** One of the tasks, which stands for the others. */
  task: TaskRecord
  count: number
}

/** What the selection depends on beside the waiting tasks. */
export interface DisplacementInputs {
  /** The most runs to select. */
  limit: number
  /** The monotonic time. */
  now: number
  /** Returns the workers that may run a task and on which it does not interfere. */
  getWorkers (task: TaskRecord): readonly WorkerRecord[]
  getUrgency (job: JobRecord): Urgency
  /** Returns whether runs of a job may be stopped; false after it was displaced too often. */
  mayDisplace (job: JobRecord): boolean
}

/** A run to stop, and the task that gets its capacity. */
export interface DisplacedRun {
  worker: WorkerRecord
  run: RunRecord
  waiting: TaskRecord
  /** Processors times milliseconds that the stop loses, in thousandths of a processor. */
  lostWork: number
}

/** What is free on a worker once the runs that end soon are over; negative where tasks ask for more than there is. */
interface Room {
  reservedMilli: number
  bestEffortMilli: number
  memoryMegabytes: number
  accelerators: number
}

interface Candidate {
  run: RunRecord
  lostWork: number
}

interface WorkerState {
  room: Room
  /** The runs that may be stopped and are not selected yet, those with the least lost work first. */
  candidates: Candidate[]
}

/**
 * Selects runs whose stop lets waiting tasks start that can still be in time.
 *
 * Designed for a service whose room for best-effort tasks is full of jobs that end too late to be of use, while others
 * wait that could be in time. Best-effort tasks displace best-effort runs of the same or a lower priority; tasks that
 * reserve processors displace such runs of a lower priority. Only runs of jobs that are useless by now are stopped, no
 * long-running ones, no members of gangs, and none that end soon anyway.
 * @param waiting The tasks, the first to get capacity first.
 * @param inputs The workers, the jobs and the limit.
 * @returns The runs, for each task none or as many as it needs.
 */
export function selectRunsToDisplace (waiting: readonly WaitingTasks[], inputs: DisplacementInputs): DisplacedRun[] {
  const states = new Map<WorkerRecord, WorkerState>()
  const selected: DisplacedRun[] = []
  for (const { task, count } of waiting) {
    const workers = inputs.getWorkers(task)
    for (let index = 0; index < count; index++) {
      const found = findDisplacement(task, workers, states, inputs)
      if (found === null || selected.length + found.runs.length > inputs.limit) break
      const { worker, runs } = found
      const state = states.get(worker)!
      for (const candidate of runs) {
        addRoom(state.room, candidate.run)
        state.candidates.splice(state.candidates.indexOf(candidate), 1)
        selected.push({ worker, run: candidate.run, waiting: task, lostWork: candidate.lostWork })
      }
      addRoom(state.room, { task }, -1)
    }
    if (selected.length >= inputs.limit) break
  }
  return selected
}

/** Returns the worker on which a task loses the least work of others, and the runs to stop there; null for none. */
function findDisplacement (
  task: TaskRecord, workers: readonly WorkerRecord[], states: Map<WorkerRecord, WorkerState>, inputs: DisplacementInputs
): { worker: WorkerRecord, runs: Candidate[] } | null {
  let best: { worker: WorkerRecord, runs: Candidate[], lostWork: number } | null = null
  for (const worker of workers) {
    const { maximumPerWorker } = task.step.specification
    if (maximumPerWorker > 0 && countRunsOfStep(worker, task.step) >= maximumPerWorker) continue
    let state = states.get(worker)
    if (state === undefined) {
      state = createState(worker, inputs)
      states.set(worker, state)
    }
    const runs = selectOnWorker(task, state)
    if (runs === null) continue
    const lostWork = runs.reduce((sum, candidate) => sum + candidate.lostWork, 0)
    if (best === null || lostWork < best.lostWork) best = { worker, runs, lostWork }
    if (runs.length === 0) break
  }
  return best
}

function createState (worker: WorkerRecord, inputs: DisplacementInputs): WorkerState {
  const { reserved, reservedForRestart, bestEffortDemand, excessDemand, entry: { capacity } } = worker
  const room = {
    reservedMilli: capacity.processorsMilli - reserved.processorsMilli - reservedForRestart.processorsMilli,
    bestEffortMilli: getBestEffortProcessors(worker) - (bestEffortDemand - excessDemand),
    memoryMegabytes: capacity.memoryMegabytes - reserved.memoryMegabytes - reservedForRestart.memoryMegabytes,
    accelerators: capacity.accelerators - reserved.accelerators - reservedForRestart.accelerators
  }
  const candidates: Candidate[] = []
  for (const run of worker.runs.values()) {
    // Such a run takes no room from others, so its end frees none.
    if (run.exceedsUnusedProcessors) continue
    if (estimateRemaining(run, inputs.now) <= ENDING_MILLISECONDS) addRoom(room, run)
    else if (mayDisplace(run, inputs)) candidates.push({ run, lostWork: getLostWork(run) })
  }
  candidates.sort((left, right) => left.lostWork - right.lostWork)
  return { room, candidates }
}

function mayDisplace (run: RunRecord, inputs: DisplacementInputs): boolean {
  return run.state === 'running' && mayDisplaceStep(run.task.step, inputs)
}

/**
 * Returns whether runs of a step may be stopped for tasks that they could make room for.
 * @param step The step.
 * @param inputs The urgency of jobs, and which were displaced too often.
 * @returns Whether they may.
 */
export function mayDisplaceStep (
  step: StepRecord, { getUrgency, mayDisplace }: Pick<DisplacementInputs, 'getUrgency' | 'mayDisplace'>
): boolean {
  const { specification: { longRunning, gang, maximumAway, targetMilliseconds }, occurrence: { job } } = step
  if (longRunning || gang || maximumAway > 0 || targetMilliseconds > 0) return false
  return job.finalState === null && getUrgency(job) === 'useless' && mayDisplace(job)
}

/** Returns the work since the latest checkpoint, whose place is not known: tasks with checkpoints lose little. */
function getLostWork ({ task, percent }: RunRecord): number {
  const { checkpointing, processorsMilli, estimateMilliseconds } = task.step.specification
  return checkpointing ? 0 : processorsMilli * estimateMilliseconds * percent / 100
}

/** Returns the runs of a worker to stop for a task; none when it has room, null when they do not free enough. */
function selectOnWorker (task: TaskRecord, { room, candidates }: WorkerState): Candidate[] | null {
  if (hasRoom(room, task)) return []
  const { fills } = task.step.specification
  const { priority } = task.step.occurrence.job.submission
  const left = { ...room }
  const runs: Candidate[] = []
  for (const candidate of candidates) {
    const { specification, occurrence: { job } } = candidate.run.task.step
    const isLower = job.submission.priority > priority
    if (specification.fills !== fills || !(isLower || (fills && job.submission.priority === priority))) continue
    addRoom(left, candidate.run)
    runs.push(candidate)
    if (hasRoom(left, task)) return runs
  }
  return null
}

function hasRoom (room: Room, { step: { specification } }: TaskRecord): boolean {
  const { fills, processorsMilli, memoryMegabytes, accelerators } = specification
  return processorsMilli <= (fills ? room.bestEffortMilli : room.reservedMilli) &&
    memoryMegabytes <= room.memoryMegabytes && accelerators <= room.accelerators
}

function addRoom (room: Room, { task }: Pick<RunRecord, 'task'>, sign: 1 | -1 = 1): void {
  const { fills, processorsMilli, memoryMegabytes, accelerators } = task.step.specification
  room.bestEffortMilli += sign * processorsMilli
  if (!fills) room.reservedMilli += sign * processorsMilli
  room.memoryMegabytes += sign * memoryMegabytes
  room.accelerators += sign * accelerators
}
