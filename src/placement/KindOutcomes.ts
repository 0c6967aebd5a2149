/** The workers whose last ending is remembered per kind. */
const MAXIMUM_WORKERS_PER_KIND = 32

/** Endings older than this say nothing about a kind any more. */
const OUTCOME_WINDOW_MILLISECONDS = 10 * 60_000

/** A kind that fails on this many workers, and on this share of those it ended on, is at fault itself. */
const FAULTY_KIND_WORKERS = 3
const FAULTY_KIND_SHARE = 0.5

interface WorkerOutcome {
  workerId: string
  failed: boolean
  at: number
}

/** How the tasks of each kind last ended on different workers, to tell a bad kind of task from a bad worker. */
export class KindOutcomes {
  private readonly outcomes = new Map<string, WorkerOutcome[]>()

  private constructor () {}

  /**
   * Creates a record without endings.
   * @returns The record.
   */
  static create (): KindOutcomes {
    return new KindOutcomes()
  }

  /**
   * Records how a task ended on a worker, or that it runs well there.
   * @param kind The kind of the task.
   * @param workerId The worker.
   * @param failed Whether it failed.
   * @param now The time.
   */
  record (kind: string, workerId: string, failed: boolean, now: number): void {
    const known = (this.outcomes.get(kind) ?? []).filter(ending => ending.workerId !== workerId)
    if (known.length === MAXIMUM_WORKERS_PER_KIND) known.shift()
    known.push({ workerId, failed, at: now })
    this.outcomes.set(kind, known)
  }

  /**
   * Tells whether a kind fails on many workers other than the given one.
   * @param kind The kind.
   * @param workerId The worker that is not counted.
   * @param now The time.
   * @returns Whether the kind itself is at fault.
   */
  failsOnOtherWorkers (kind: string, workerId: string, now: number): boolean {
    const elsewhere = this.listOnOtherWorkers(kind, workerId, now)
    const failed = elsewhere.filter(ending => ending.failed).length
    return failed >= FAULTY_KIND_WORKERS && failed >= FAULTY_KIND_SHARE * elsewhere.length
  }

  /**
   * Tells whether a kind works on another worker.
   * @param kind The kind.
   * @param workerId The worker that is not counted.
   * @param now The time.
   * @returns Whether its last ending on some other worker was no failure.
   */
  worksOnOtherWorker (kind: string, workerId: string, now: number): boolean {
    return this.listOnOtherWorkers(kind, workerId, now).some(ending => !ending.failed)
  }

  private listOnOtherWorkers (kind: string, workerId: string, now: number): WorkerOutcome[] {
    return (this.outcomes.get(kind) ?? [])
      .filter(ending => ending.workerId !== workerId && now - ending.at < OUTCOME_WINDOW_MILLISECONDS)
  }
}
