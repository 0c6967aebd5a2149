import { z } from 'zod'
import { stepMachine } from '../shared/stepMachine.js'
import type { TaskRun } from '../workers/WorkerProtocol.js'
import { KindOutcomes } from './KindOutcomes.js'
import type { WorkerHealth } from './PlacementEngine.js'
import { workerHealthMachine } from './workerHealthMachine.js'

/** Failures count for this long; a worker that fails everything collects enough of them within seconds. */
const FAILURE_WINDOW_MILLISECONDS = 60_000

/** A worker is quarantined after this many failures of this many kinds. */
const QUARANTINE_FAILURES = 3
const QUARANTINE_KINDS = 2

/** Kinds that have not yet worked anywhere are weak evidence, so that more of them must fail. */
const QUARANTINE_UNPROVEN_KINDS = 3

/** How long a quarantined worker rests before its probe; doubled with each probe that fails. */
const QUARANTINE_MILLISECONDS = 30_000
const MAXIMUM_QUARANTINE_MILLISECONDS = 10 * 60_000

/** Only tasks that may be repeated probe a worker, unless none came for this long. */
const REPEATABLE_PROBE_MILLISECONDS = 60_000

/** The form of the learned health in a snapshot. */
export const exportedHealthSchema = z.array(z.object({
  workerId: z.string(),
  health: z.enum(['healthy', 'quarantined', 'probing']),
  byOperator: z.boolean()
}))

interface Failure {
  kind: string
  proven: boolean
  at: number
}

interface WorkerRecord {
  state: WorkerHealth
  failures: Failure[]
  /** When the present state began. */
  stateSince: number
  quarantineMilliseconds: number
  /** A worker that an operator quarantined stays so until an operator releases it. */
  byOperator: boolean
  probe: TaskRun | undefined
}

/**
 * Quarantines workers on which tasks of different kinds fail within a short time, probes them with one task, and
 * brings them back. Failures of a kind that fails on many workers do not count against a worker.
 */
export class WorkerHealthTracker {
  private readonly records = new Map<string, WorkerRecord>()
  private readonly kindOutcomes = KindOutcomes.create()

  /** Health from a snapshot, which is applied once the time is known. */
  private pendingImport: z.infer<typeof exportedHealthSchema> = []

  private constructor (private readonly onChange: (workerId: string) => void) {}

  /**
   * Creates a tracker that takes every worker for healthy.
   * @param options Called with a worker whose health has changed.
   * @returns The tracker.
   */
  static create (options: { onChange: (workerId: string) => void }): WorkerHealthTracker {
    return new WorkerHealthTracker(options.onChange)
  }

  getHealth (workerId: string): WorkerHealth {
    return this.records.get(workerId)?.state ?? 'healthy'
  }

  /**
   * Lists the workers that are not healthy.
   * @returns Their identifiers.
   */
  listUnhealthy (): string[] {
    return [...this.records].filter(([, record]) => record.state !== 'healthy').map(([workerId]) => workerId)
  }

  /**
   * Sets the health on an operator's word.
   * @param workerId The worker.
   * @param health The health.
   * @param now The time.
   */
  setHealth (workerId: string, health: WorkerHealth, now: number): void {
    const events = { healthy: 'operatorReleased', quarantined: 'operatorQuarantined', probing: 'operatorProbed' }
    const record = this.getOrCreate(workerId, now)
    record.byOperator = health === 'quarantined'
    record.failures = []
    record.quarantineMilliseconds = QUARANTINE_MILLISECONDS
    this.applyEvent(workerId, record, events[health], now)
  }

  /**
   * Records a failure, or an ending or a long run that was none.
   * @param workerId The worker.
   * @param run The run.
   * @param kind The kind of the task.
   * @param result Whether it failed, or was refused by the worker, which is no fault of the kind.
   * @param now The time.
   */
  record (workerId: string, run: TaskRun, kind: string, result: 'worked' | 'failed' | 'refused', now: number): void {
    if (result !== 'refused') this.kindOutcomes.record(kind, workerId, result === 'failed', now)
    const record = this.records.get(workerId)
    const isProbe = record?.probe !== undefined && isSameRun(record.probe, run)
    if (result === 'worked') {
      if (record === undefined) return
      record.failures = record.failures.filter(failure => failure.kind !== kind)
      if (isProbe) this.endProbe(workerId, record, 'probePassed', now)
      return
    }
    if (result === 'failed' && this.kindOutcomes.failsOnOtherWorkers(kind, workerId, now)) {
      if (isProbe) record.probe = undefined
      return
    }
    if (isProbe) {
      record.quarantineMilliseconds = Math.min(MAXIMUM_QUARANTINE_MILLISECONDS, record.quarantineMilliseconds * 2)
      this.endProbe(workerId, record, 'probeFailed', now)
      return
    }
    const proven = result === 'refused' || this.kindOutcomes.worksOnOtherWorker(kind, workerId, now)
    this.recordFailure(workerId, { kind, proven, at: now }, now)
  }

  /**
   * Ends the probe of a run that was released without an ending.
   * @param workerId The worker.
   * @param run The run.
   */
  releaseProbe (workerId: string, run: TaskRun): void {
    const record = this.records.get(workerId)
    if (record?.probe !== undefined && isSameRun(record.probe, run)) record.probe = undefined
  }

  /**
   * Lets quarantined workers that have rested be probed.
   * @param now The time.
   */
  advance (now: number): void {
    if (this.pendingImport.length > 0) this.applyImported(now)
    for (const [workerId, record] of this.records) {
      if (record.state === 'quarantined' && !record.byOperator && now - record.stateSince >= record.quarantineMilliseconds) {
        this.applyEvent(workerId, record, 'restPassed', now)
      } else if (record.state === 'healthy' && now - record.stateSince > MAXIMUM_QUARANTINE_MILLISECONDS &&
        record.failures.every(failure => now - failure.at > FAILURE_WINDOW_MILLISECONDS)) {
        this.records.delete(workerId)
      }
    }
  }

  /**
   * Lists the workers that wait for a probe.
   * @param mayRepeat Whether the task may be repeated when it fails.
   * @param kind The kind of the task; a kind that fails on many workers proves nothing.
   * @param now The time.
   * @returns The workers that the task may probe.
   */
  listProbeable (mayRepeat: boolean, kind: string, now: number): string[] {
    const probeable: string[] = []
    for (const [workerId, record] of this.records) {
      if (record.state !== 'probing' || record.probe !== undefined) continue
      if (!mayRepeat && now - record.stateSince < REPEATABLE_PROBE_MILLISECONDS) continue
      if (!this.kindOutcomes.failsOnOtherWorkers(kind, workerId, now)) probeable.push(workerId)
    }
    return probeable
  }

  /**
   * Records that a run probes a worker.
   * @param workerId The worker.
   * @param run The run.
   * @param now The time.
   */
  startProbe (workerId: string, run: TaskRun, now: number): void {
    const record = this.getOrCreate(workerId, now)
    record.probe = { taskId: run.taskId, attempt: run.attempt }
  }

  export (): z.infer<typeof exportedHealthSchema> {
    return [...this.records].filter(([, record]) => record.state !== 'healthy')
      .map(([workerId, { state, byOperator }]) => ({ workerId, health: state, byOperator }))
  }

  /**
   * Takes over the health of a snapshot; a worker rests anew from the next step on.
   * @param exported The health.
   */
  import (exported: z.infer<typeof exportedHealthSchema>): void {
    this.pendingImport = exported
  }

  private applyImported (now: number): void {
    const imported = this.pendingImport
    this.pendingImport = []
    for (const { workerId, health, byOperator } of imported) {
      if (this.records.has(workerId)) continue
      this.setHealth(workerId, health, now)
      this.getOrCreate(workerId, now).byOperator = byOperator
    }
  }

  private recordFailure (workerId: string, failure: Failure, now: number): void {
    const record = this.getOrCreate(workerId, now)
    record.failures = record.failures.filter(other => now - other.at < FAILURE_WINDOW_MILLISECONDS)
    record.failures.push(failure)
    if (record.state !== 'healthy') return
    const proven = record.failures.filter(other =>
      other.proven && !this.kindOutcomes.failsOnOtherWorkers(other.kind, workerId, now))
    const kinds = new Set(record.failures.map(other => other.kind))
    const provenKinds = new Set(proven.map(other => other.kind))
    const hasProvenEvidence = proven.length >= QUARANTINE_FAILURES && provenKinds.size >= QUARANTINE_KINDS
    const hasUnprovenEvidence = record.failures.length >= QUARANTINE_FAILURES && kinds.size >= QUARANTINE_UNPROVEN_KINDS &&
      [...kinds].every(kind => !this.kindOutcomes.failsOnOtherWorkers(kind, workerId, now))
    if (hasProvenEvidence || hasUnprovenEvidence) this.applyEvent(workerId, record, 'suspected', now)
  }

  private endProbe (workerId: string, record: WorkerRecord, event: 'probePassed' | 'probeFailed', now: number): void {
    if (event === 'probePassed') record.quarantineMilliseconds = QUARANTINE_MILLISECONDS
    this.applyEvent(workerId, record, event, now)
  }

  private applyEvent (workerId: string, record: WorkerRecord, event: string, now: number): void {
    const next = stepMachine<WorkerHealth>(workerHealthMachine, record.state, event)
    if (next === undefined) return
    record.state = next
    record.stateSince = now
    record.probe = undefined
    record.failures = []
    this.onChange(workerId)
  }

  private getOrCreate (workerId: string, now: number): WorkerRecord {
    let record = this.records.get(workerId)
    if (record === undefined) {
      record = {
        state: 'healthy',
        failures: [],
        stateSince: now,
        quarantineMilliseconds: QUARANTINE_MILLISECONDS,
        byOperator: false,
        probe: undefined
      }
      this.records.set(workerId, record)
    }
    return record
  }
}

function isSameRun (left: TaskRun, right: TaskRun): boolean {
  return left.taskId === right.taskId && left.attempt === right.attempt
}
