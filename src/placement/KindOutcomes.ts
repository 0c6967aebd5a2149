/** The number of workers per kind whose last outcome is kept. */
const MAXIMUM_WORKERS_PER_KIND = 32

/** Outcomes older than this are ignored. */
const OUTCOME_WINDOW_MILLISECONDS = 10 * 60_000

/** A kind is considered faulty when it fails on this many workers and on this share of the workers with an outcome. */
const FAULTY_KIND_WORKERS = 3
const FAULTY_KIND_SHARE = 0.5

interface WorkerOutcome {
  workerId: string
  failed: boolean
  at: number
}

/** Keeps the last outcome of each kind per worker, to distinguish a faulty kind from a faulty worker. */
export class KindOutcomes {
  private readonly outcomes = new Map<string, WorkerOutcome[]>()

  private constructor () {}

  /**
   * Creates a store without outcomes.
   * @returns The store.
   */
  static create (): KindOutcomes {
    return new KindOutcomes()
  }

  /**
   * Records whether a task failed on a worker; a long run without failure counts as a success.
   * @param kind The kind of the task.
   * @param workerId The worker.
   * @param failed Whether the task failed.
   * @param now The time.
   */
  record (kind: string, workerId: string, failed: boolean, now: number): void {
    const known = (this.outcomes.get(kind) ?? []).filter(ending => ending.workerId !== workerId)
    if (known.length === MAXIMUM_WORKERS_PER_KIND) known.shift()
    known.push({ workerId, failed, at: now })
    this.outcomes.set(kind, known)
  }

  /**
   * Returns whether a kind fails on many workers other than the given one.
   * @param kind The kind.
   * @param workerId The worker to exclude.
   * @param now The time.
   * @returns Whether the kind is considered faulty.
   */
  failsOnOtherWorkers (kind: string, workerId: string, now: number): boolean {
    const elsewhere = this.listOnOtherWorkers(kind, workerId, now)
    const failed = elsewhere.filter(ending => ending.failed).length
    return failed >= FAULTY_KIND_WORKERS && failed >= FAULTY_KIND_SHARE * elsewhere.length
  }

  /**
   * Returns whether a kind works on another worker.
   * @param kind The kind.
   * @param workerId The worker to exclude.
   * @param now The time.
   * @returns Whether its last outcome on at least one other worker is not a failure.
   */
  worksOnOtherWorker (kind: string, workerId: string, now: number): boolean {
    return this.listOnOtherWorkers(kind, workerId, now).some(ending => !ending.failed)
  }

  private listOnOtherWorkers (kind: string, workerId: string, now: number): WorkerOutcome[] {
    return (this.outcomes.get(kind) ?? [])
      .filter(ending => ending.workerId !== workerId && now - ending.at < OUTCOME_WINDOW_MILLISECONDS)
  }
}
