import type { DataCentreState } from '../configuration/Configuration.js'
import type { Row } from '../table/TableService.js'
import type { JournalBatch, PendingRecord } from './JournalQueue.js'
import type { OwnerCore } from './OwnerCore.js'
import type { JournalOutcome } from './ShardJournal.js'
import { setOutOfService } from './ShardOwner.js'
import type { TaskRecord } from './TaskRecord.js'

/** Handles the outcome of the batch in flight. */
export function handleJournalOutcome (
  core: OwnerCore,
  outcome: JournalOutcome,
  now: number
): 'committed' | 'retried' | 'amended' | 'dropped' {
  switch (outcome.kind) {
    case 'committed': {
      const batch = core.journal.commit()
      core.counters.batches++
      for (const { record, onDurable } of batch.entries) {
        if (record?.type === 'start') markStartDurable(core, record.taskId, record.attempt, now)
        onDurable?.(now)
      }
      for (const { rows } of batch.entries) {
        if (rows?.transfer !== undefined) core.effects.push({ kind: 'notify-shard', shardId: rows.transfer.shardId })
      }
      return 'committed'
    }
    case 'unavailable':
    case 'unknown':
      core.counters.batchRetries++
      core.journal.retry(now, outcome.kind === 'unknown')
      return 'retried'
    case 'data-centre-changed':
      core.counters.dataCentreConflicts++
      core.dataCentreVersion = outcome.current?.version ?? null
      setOutOfService(core, isOut(outcome.current), now)
      core.journal.amend(now, batch => { if (core.isOutOfService) removeStarts(core, batch, now) })
      return 'amended'
    case 'quota-changed':
      core.quotas.handleConflict(outcome.team)
      core.journal.amend(now, batch => {
        batch.entries = batch.entries.filter(({ rows }) => rows?.quotaChange?.team !== outcome.team)
      })
      return 'amended'
    default:
      core.dropped = true
      core.effects.push({ kind: 'drop', reason: describeDropReason(outcome) })
      return 'dropped'
  }
}

function isOut (row: Row | null): boolean {
  return row !== null && (row.value as unknown as { state: DataCentreState }).state === 'out'
}

function describeDropReason (outcome: JournalOutcome): string {
  return outcome.kind === 'out-of-date' ? `row ${outcome.table}/${outcome.key} is not as it was left` : 'deposed'
}

/** The start is durable: it goes out with the next exchange, unless it was cancelled meanwhile. */
function markStartDurable (core: OwnerCore, taskId: string, attempt: number, now: number): void {
  const task = findJournallingTask(core, taskId, attempt)
  if (task === undefined) return
  task.startPhase = 'durable'
  if (task.state === 'cancelling') return core.end(task, 'cancelled', now)
  task.worker!.durableStarts.add(task)
  core.requestExchange(task.worker!, now)
}

/** Takes the starts out of a batch that certainly did not and will not take effect. */
function removeStarts (core: OwnerCore, batch: JournalBatch, now: number): void {
  const kept: PendingRecord[] = []
  for (const entry of batch.entries) {
    if (entry.record?.type !== 'start') {
      kept.push(entry)
      continue
    }
    const task = findJournallingTask(core, entry.record.taskId, entry.record.attempt)
    if (task !== undefined) core.unplace(task, now)
  }
  batch.entries = kept
}

function findJournallingTask (core: OwnerCore, taskId: string, attempt: number): TaskRecord | undefined {
  const task = core.state.tasks.get(taskId)
  return task !== undefined && task.attempt === attempt && task.startPhase === 'journalling' ? task : undefined
}
