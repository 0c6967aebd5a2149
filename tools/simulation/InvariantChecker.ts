import { DATA_CENTRE_TABLE } from '../../src/configuration/Configuration.js'
import type { ShardRow } from '../../src/leases/ShardLease.js'
import { SHARD_TABLE } from '../../src/leases/ShardLease.js'
import {
  getJobId, QUOTA_TABLE, type InboxEntry, type JournalRow, type QuotaRow
} from '../../src/tasks/JournalRecord.js'
import type { Transaction, TransactionOutcome } from '../../src/table/TableService.js'
import type { MemoryTableService } from '../../stand-ins/table-service/MemoryTableService.js'
import { countDoubleRuns, type RunInterval, type RunLog } from '../../stand-ins/workers/RunLog.js'

/** How long after a data centre is taken out of service tasks may still start there, in milliseconds. */
const START_AFTER_TAKE_OUT_MILLISECONDS = 5000
/** Allows for rounding errors in sums of fractional processors. */
const QUOTA_TOLERANCE_PROCESSORS = 1e-6

/** A violated invariant. */
export interface Violation {
  kind:
    | 'two-places' | 'run-repeated' | 'start-after-take-out' | 'over-capacity' | 'deposed-write' | 'two-owners'
    | 'task-lost' | 'completed-twice' | 'over-quota' | 'quota-sum' | 'quota-lost'
  detail: string
}

/** Checks invariants on the store and the workers of a simulation, independently of the scheduler's own counters. */
export class InvariantChecker {
  readonly violations: Violation[] = []
  private readonly takenOutAt = new Map<string, number>()
  private readonly outages: Array<{ dataCentre: string, from: number, to: number }> = []
  private checkedRunCount = 0
  private readonly runKeys = new Set<string>()
  /** The number of processors that all running tasks together may be charged. */
  quotaProcessors = Infinity
  /** The processors of one task as declared at its submission, by job. */
  private readonly declaredProcessors = new Map<string, number>()
  /** The processors that each shard holds of each team's quota, by team and shard. */
  private readonly heldProcessors = new Map<string, Map<string, number>>()

  private constructor (
    private readonly runLog: RunLog,
    private readonly now: () => number
  ) {}

  /**
   * Creates a checker.
   * @param options The log of all runs and a function that returns the current time in milliseconds.
   * @returns The checker.
   */
  static create (options: { runLog: RunLog, now: () => number }): InvariantChecker {
    return new InvariantChecker(options.runLog, options.now)
  }

  /** Checks every further transaction of a store at the moment at which it is applied. */
  watchTransactions (store: MemoryTableService): void {
    const epochs = new Map<string, number>()
    // The store may respond late or not at all, so the checker wraps the private method that applies a transaction.
    const internals = store as unknown as { apply: (transaction: Transaction) => TransactionOutcome }
    const apply = internals.apply.bind(store)
    internals.apply = transaction => {
      const outcome = apply(transaction)
      if (outcome.kind === 'committed') this.checkTransaction(transaction, epochs)
      return outcome
    }
  }

  /** Checks the runs that the workers have recorded so far, and that each shard has at most one valid owner. */
  check (owners: Map<string, string[]>): void {
    const { runs, overCommitments } = this.runLog.getReport()
    for (const run of runs.slice(this.checkedRunCount)) this.checkStart(run)
    if (runs.length > this.checkedRunCount && countDoubleRuns([...runs]) > 0) {
      this.addViolation('two-places', describeDoubleRuns(runs))
    }
    this.checkedRunCount = runs.length
    if (this.quotaProcessors < Infinity) this.checkQuota(runs)
    if (overCommitments > 0) this.addViolation('over-capacity', `${overCommitments} starts beyond the capacity of their worker`)
    for (const [shardId, holders] of owners) {
      if (holders.length > 1) this.addViolation('two-owners', `${shardId}: ${holders.join(', ')}`)
    }
  }

  /** Records that an accepted task did not end. */
  addLostTask (taskId: string, state: string): void {
    this.addViolation('task-lost', `${taskId} is ${state}`)
  }

  /** Records a violation if a task completed more than once; call it only when no worker was lost. */
  checkCompletions (): void {
    const { repeatedCompletions } = this.runLog.getReport()
    if (repeatedCompletions > 0) this.addViolation('completed-twice', `${repeatedCompletions} tasks`)
  }

  /** Records that part of a quota was not returned. */
  addLostQuota (detail: string): void {
    this.addViolation('quota-lost', detail)
  }

  private checkQuota (runs: RunInterval[]): void {
    const used = runs.filter(run => run.endedAt === null).reduce((sum, run) => sum + this.getCharge(run), 0)
    if (used > this.quotaProcessors + QUOTA_TOLERANCE_PROCESSORS) {
      this.addViolation('over-quota', `${used} processors of ${this.quotaProcessors}`)
    }
  }

  /** Returns what a run counts towards its quota: the size reserved for it, at most the declared one. */
  private getCharge (run: RunInterval): number {
    return Math.min(run.size.processors, this.declaredProcessors.get(getJobId(run.taskId)) ?? Infinity)
  }

  private checkStart (run: RunInterval): void {
    const key = `${run.taskId}#${run.attempt}`
    if (this.runKeys.has(key)) this.addViolation('run-repeated', `${key} on ${run.workerId}`)
    this.runKeys.add(key)
    for (const { dataCentre, from, to } of this.getOutages()) {
      const limit = from + START_AFTER_TAKE_OUT_MILLISECONDS
      if (run.dataCentre === dataCentre && run.startedAt > limit && run.startedAt < to) {
        this.addViolation('start-after-take-out', `${key} ${run.startedAt - from} ms after the take-out of ${dataCentre}`)
      }
    }
  }

  private getOutages (): Array<{ dataCentre: string, from: number, to: number }> {
    const open = [...this.takenOutAt].map(([dataCentre, from]) => ({ dataCentre, from, to: Infinity }))
    return [...this.outages, ...open]
  }

  private checkTransaction (transaction: Transaction, epochs: Map<string, number>): void {
    for (const operation of transaction.operations) {
      if (operation.kind !== 'put') continue
      if (operation.table === SHARD_TABLE) {
        epochs.set(operation.key, (operation.value as unknown as ShardRow).epoch)
      } else if (operation.table === DATA_CENTRE_TABLE) {
        this.setDataCentre(operation.key, (operation.value as { state: string }).state)
      } else if (operation.table.startsWith('journal-')) {
        const shardId = operation.table.slice('journal-'.length)
        const { epoch } = operation.value as { epoch: number }
        if (epoch < (epochs.get(shardId) ?? 0)) {
          this.addViolation('deposed-write', `${operation.table}/${operation.key} of epoch ${epoch}`)
        }
        this.recordHoldings(shardId, operation.value as unknown as JournalRow)
      } else if (operation.table.startsWith('inbox-')) {
        this.recordDeclaredSizes(operation.value as unknown as InboxEntry)
      } else if (operation.table === QUOTA_TABLE) {
        // The journal row precedes the quota row in the transaction, so the holdings are those after it.
        this.checkQuotaSum(operation.key, operation.value as unknown as QuotaRow)
      }
    }
  }

  private recordDeclaredSizes (entry: InboxEntry): void {
    const jobs = entry.kind === 'job' ? [entry.job] : entry.tasks.map(({ job }) => job)
    for (const { jobId, size } of jobs) this.declaredProcessors.set(jobId, size.processors)
  }

  private recordHoldings (shardId: string, { records }: JournalRow): void {
    for (const record of records) {
      if (record.type !== 'holding') continue
      const held = this.heldProcessors.get(record.team) ?? new Map<string, number>()
      this.heldProcessors.set(record.team, held.set(shardId, record.holding.processors))
    }
  }

  private checkQuotaSum (team: string, { total, unallocated }: QuotaRow): void {
    const held = [...this.heldProcessors.get(team)?.values() ?? []].reduce((sum, processors) => sum + processors, 0)
    const difference = Math.abs(held + unallocated.processors - total.processors)
    if (difference <= QUOTA_TOLERANCE_PROCESSORS) return
    this.addViolation('quota-sum', `${held} held and ${unallocated.processors} unallocated of ${total.processors} processors`)
  }

  private setDataCentre (dataCentre: string, state: string): void {
    const from = this.takenOutAt.get(dataCentre)
    if (state === 'out' && from === undefined) this.takenOutAt.set(dataCentre, this.now())
    if (state === 'in-service' && from !== undefined) {
      this.outages.push({ dataCentre, from, to: this.now() })
      this.takenOutAt.delete(dataCentre)
    }
  }

  private addViolation (kind: Violation['kind'], detail: string): void {
    if (this.violations.some(violation => violation.kind === kind)) return
    this.violations.push({ kind, detail: `${detail} at ${this.now()} ms` })
  }
}

function describeDoubleRuns (runs: RunInterval[]): string {
  for (const run of runs) {
    const other = runs.find(candidate => candidate !== run && candidate.taskId === run.taskId &&
      candidate.startedAt >= run.startedAt && candidate.startedAt < (run.endedAt ?? Infinity))
    if (other !== undefined) {
      return `${run.taskId}: attempt ${run.attempt} on ${run.workerId} and ${other.attempt} on ${other.workerId}`
    }
  }
  return 'overlap'
}
