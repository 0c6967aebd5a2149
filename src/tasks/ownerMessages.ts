import type { Configuration } from '../configuration/Configuration.js'
import type { ListedInstance } from '../membership/InstanceList.js'
import type { CompiledPolicy } from '../policy/CompiledPolicy.js'
import type { ShardSummary } from '../leases/ShardLease.js'
import type { CancelOutcome } from '../scheduler/SchedulerApi.js'
import type { Row } from '../table/TableService.js'
import type { ExchangeOutcome, WorkerExchange } from '../workers/WorkerProtocol.js'
import type { JournalBatch } from './JournalQueue.js'
import type { JournalOutcome } from './ShardJournal.js'
import type { ShardSnapshot } from './ShardState.js'
import type { TaskRecord, WorkerRecord } from './TaskRecord.js'

/** Another shard as a target of transfers. */
export interface OtherShard {
  shardId: string
  region: string
  summary: ShardSummary
}

/** An input of a shard's owner: a result, a notification or a request. */
export type OwnerMessage =
  /** The owner's timer has fired; see `getNextWake`. */
  | { kind: 'wake' }
  | { kind: 'lease-renewed', renewedAt: number }
  | { kind: 'journal-settled', outcome: JournalOutcome }
  | { kind: 'exchanged', workerId: string, sent: SentExchange, outcome: ExchangeOutcome }
  | { kind: 'inbox-scanned', rows: Row[] | null }
  | { kind: 'inbox-changed' }
  | { kind: 'quotas-read', teams: string[], rows: Array<Row | null> | null }
  | { kind: 'checkpoint-looked-up', taskId: string, attempt: number, checkpoint: string | null | 'unavailable' }
  | { kind: 'workers-listed', workers: ListedInstance[] }
  | { kind: 'configuration', configuration: Configuration, policy: CompiledPolicy }
  | { kind: 'other-shards', shards: OtherShard[] }
  | { kind: 'cancel', taskId: string, answer: (outcome: CancelOutcome) => void }
  | { kind: 'snapshot-written', written: boolean }
  /** All earlier owners have confirmed that they no longer renew leases on workers. */
  | { kind: 'earlier-owners-stopped' }
  /** The process shuts down: the owner sends no more starts and writes the pending journal records. */
  | { kind: 'stop' }

/** An exchange in flight, with the state that is needed to handle its outcome. */
export interface SentExchange {
  exchange: WorkerExchange
  sentAt: number
  starts: TaskRecord[]
  /** When the proof that the exchange carries was received. */
  proofReceivedAt: number
}

/** An action that the owner of a shard requests; `ShardRunner` executes it. */
export type OwnerEffect =
  | { kind: 'write-journal', batch: JournalBatch, dataCentreVersion: number | null }
  | { kind: 'exchange', worker: WorkerRecord, sent: SentExchange }
  | { kind: 'scan-inbox' }
  | { kind: 'read-quotas', teams: string[] }
  | { kind: 'look-up-checkpoint', taskId: string, attempt: number, fallback: string | null }
  | { kind: 'write-snapshot', sequence: number, snapshot: ShardSnapshot }
  | { kind: 'notify-shard', shardId: string }
  /** Another process owns the shard, or memory and store disagree: the owner ends, and its state is discarded. */
  | { kind: 'drop', reason: string }
  /** All records are durable after a `stop`; the lease may be released. */
  | { kind: 'stopped' }
  | { kind: 'answer', run: () => void }
