import type { CompiledPolicy } from '../policy/CompiledPolicy.js'
import type { ResourceSize, TaskRun } from '../workers/WorkerProtocol.js'
import type {
  InterferenceAction, PlacementDecision, PlacementEngine, PlacementRequest, WorkerDescription, WorkerHealth
} from './PlacementEngine.js'

interface Commitment {
  run: TaskRun
  workerId: string
  size: ResourceSize
}

/**
 * The naive engine that tests and benches compare with: first fit on declared sizes, and no learning.
 *
 * It is plainly right about capacity and slow: each decision adds up the commitments of each worker anew.
 */
export class FirstFitPlacementEngine implements PlacementEngine {
  private workers: WorkerDescription[] = []
  private readonly commitments = new Map<string, Commitment>()
  private readonly dataCentresOut = new Set<string>()
  private readonly health = new Map<string, WorkerHealth>()

  private constructor () {}

  /**
   * Creates an engine without workers.
   * @returns The engine.
   */
  static create (): FirstFitPlacementEngine {
    return new FirstFitPlacementEngine()
  }

  setWorkers (workers: WorkerDescription[]): void {
    this.workers = workers
  }

  setPolicy (_policy: CompiledPolicy): void {}

  setDataCentreState (dataCentre: string, state: 'in-service' | 'out'): void {
    if (state === 'out') this.dataCentresOut.add(dataCentre)
    else this.dataCentresOut.delete(dataCentre)
  }

  setTeamHolding (_team: string, _holding: ResourceSize): void {}

  decide (request: PlacementRequest, now: number): PlacementDecision {
    const workers = this.workers.filter(
      worker => request.dataCentre === null || worker.dataCentre === request.dataCentre
    )
    if (!workers.some(worker => fits(request.size, worker.capacity))) {
      return { kind: 'never', reason: 'larger-than-every-worker' }
    }
    for (const worker of workers) {
      if (this.dataCentresOut.has(worker.dataCentre)) continue
      if ((this.health.get(worker.workerId) ?? 'healthy') !== 'healthy') continue
      if (fits(add(this.getCommitted(worker.workerId), request.size), worker.capacity)) {
        this.restore(request, worker.workerId, request.size, now)
        return { kind: 'placed', workerId: worker.workerId, reserved: request.size }
      }
    }
    return { kind: 'wait', reason: 'no-capacity' }
  }

  restore (request: PlacementRequest, workerId: string, reserved: ResourceSize, _now: number): void {
    const run = { taskId: request.taskId, attempt: request.attempt }
    this.commitments.set(getRunKey(run), { run, workerId, size: reserved })
  }

  release (run: TaskRun): void {
    this.commitments.delete(getRunKey(run))
  }

  recordUsage (): InterferenceAction[] {
    return []
  }

  recordOutcome (): void {}

  setWorkerHealth (workerId: string, health: WorkerHealth): void {
    this.health.set(workerId, health)
  }

  getWorkerHealth (workerId: string): WorkerHealth | undefined {
    return this.health.get(workerId) ?? 'healthy'
  }

  getCommitted (workerId: string): ResourceSize {
    return [...this.commitments.values()]
      .filter(commitment => commitment.workerId === workerId)
      .reduce((sum, commitment) => add(sum, commitment.size), { processors: 0, memoryMegabytes: 0, accelerators: 0 })
  }

  exportLearned (): unknown {
    return null
  }

  importLearned (): void {}
}

function getRunKey (run: TaskRun): string {
  return `${run.taskId}#${run.attempt}`
}

function fits (size: ResourceSize, capacity: ResourceSize): boolean {
  return size.processors <= capacity.processors &&
    size.memoryMegabytes <= capacity.memoryMegabytes &&
    size.accelerators <= capacity.accelerators
}

function add (left: ResourceSize, right: ResourceSize): ResourceSize {
  return {
    processors: left.processors + right.processors,
    memoryMegabytes: left.memoryMegabytes + right.memoryMegabytes,
    accelerators: left.accelerators + right.accelerators
  }
}
