import {
  SENT_START_EXPIRY_MILLISECONDS, DETACHED_RENEWAL_LIMIT_MILLISECONDS, type Proof
} from '../leases/WorkerLease.js'
import type { StartCommand, StopCommand } from '../workers/WorkerProtocol.js'
import { BUSY_EXCHANGE_MILLISECONDS, IDLE_EXCHANGE_MILLISECONDS, type OwnerCore } from './OwnerCore.js'
import type { TaskRecord, WorkerRecord } from './TaskRecord.js'

/** An unconfirmed stop command is sent again after this time. */
const STOP_REPEAT_MILLISECONDS = 2000

/**
 * A start is sent only with a proof that was received at most this long after its journal write began. The worker
 * then refuses it at the latest 1.5 s + 3.3 s after the data centre was checked to be in service; 5 s are allowed.
 */
export const PROOF_AFTER_WRITE_MILLISECONDS = 1500

/** Sends the exchanges that are due. */
export function exchangeWorkers (core: OwnerCore, now: number): void {
  // After this time without a renewed shard lease, a successor may start the tasks elsewhere.
  if (core.stopping || now - core.leaseRenewedAt > DETACHED_RENEWAL_LIMIT_MILLISECONDS) return
  for (const worker of core.state.workers.values()) {
    if (!worker.inFlight && now >= worker.nextExchangeAt) exchangeWith(core, worker, now)
  }
}

/** Returns the interval until the next exchange with a worker that has no pending commands. */
export function getExchangeInterval (core: OwnerCore, worker: WorkerRecord): number {
  return worker.tasks.size > 0 && core.queue.size > 0 ? BUSY_EXCHANGE_MILLISECONDS : IDLE_EXCHANGE_MILLISECONDS
}

/** Returns whether the worker has pending commands to send before the next regular exchange. */
export function hasCommands (core: OwnerCore, worker: WorkerRecord, now: number): boolean {
  if (worker.durableStarts.size > 0 && core.mayStart(now)) return true
  if (worker.orphanedRuns.length > 0 || worker.throttles.size > 0 || now >= worker.reconcileAt) return true
  for (const task of worker.stops) if (now - task.stopSentAt >= STOP_REPEAT_MILLISECONDS) return true
  return false
}

function exchangeWith (core: OwnerCore, worker: WorkerRecord, now: number): void {
  const { starts, proof: startProof } = chooseStarts(core, worker, now)
  const proof = startProof ?? worker.lease.getProof()
  const stops = collectStops(worker, now)
  const throttles = [...worker.throttles.values()]
  worker.throttles.clear()
  if (proof !== null) worker.lease.recordRenewal(proof)
  for (const task of starts) {
    worker.durableStarts.delete(task)
    task.startPhase = 'sent'
    task.startExpiresAt = proof!.receivedAt + SENT_START_EXPIRY_MILLISECONDS
  }
  worker.inFlight = true
  worker.nextExchangeAt = now + getExchangeInterval(core, worker)
  core.counters.exchanges++
  core.effects.push({
    kind: 'exchange',
    worker,
    sent: {
      sentAt: now,
      starts,
      proofReceivedAt: proof?.receivedAt ?? now,
      exchange: {
        shardId: core.options.shardId,
        epoch: core.options.epoch,
        proof: proof?.workerTime ?? null,
        starts: starts.map(createStart),
        stops,
        throttles,
        acknowledgedSequence: worker.acknowledgedSequence,
        acknowledgedIncarnation: worker.incarnation,
        listTasks: !worker.isReconciled || now >= worker.reconcileAt
      }
    }
  })
}

/** The starts of one exchange and the proof that all of them may use. */
interface ChosenStarts {
  starts: TaskRecord[]
  proof: Proof | null
}

/** Chooses a proof and the starts that may use it; the other starts wait for a later exchange or expire. */
function chooseStarts (core: OwnerCore, worker: WorkerRecord, now: number): ChosenStarts {
  const chosen: ChosenStarts = { starts: [], proof: null }
  if (!worker.isReconciled || !core.mayStart(now)) return chosen
  for (const task of worker.durableStarts) {
    const limit = core.rules.limitStartProof ? task.latestProofReceipt : Infinity
    const proof = worker.lease.getStartProof(limit, now)
    if (proof === null) continue
    chosen.proof ??= proof
    if (proof === chosen.proof) chosen.starts.push(task)
  }
  return chosen
}

/** Queues tasks again whose durable start can no longer be sent in time. */
export function expireStarts (core: OwnerCore, worker: WorkerRecord, now: number): void {
  if (!core.rules.limitStartProof) return
  for (const task of [...worker.durableStarts]) {
    const isUsable = worker.lease.getStartProof(task.latestProofReceipt, now) !== null
    if (now <= task.latestProofReceipt || (isUsable && worker.consecutiveFailures === 0 && core.mayStart(now))) continue
    core.counters.startsExpired++
    core.requeue(task, task.checkpoint, now)
  }
}

function collectStops (worker: WorkerRecord, now: number): StopCommand[] {
  const stops: StopCommand[] = worker.orphanedRuns.splice(0).map(run => ({ ...run, checkpoint: false }))
  for (const task of worker.stops) {
    if (now - task.stopSentAt < STOP_REPEAT_MILLISECONDS) continue
    task.stopSentAt = now
    stops.push({ taskId: task.taskId, attempt: task.attempt, checkpoint: task.state === 'evicting' })
  }
  return stops
}

function createStart (task: TaskRecord): StartCommand {
  const { taskId, attempt, checkpoint, job: { kind, payload } } = task
  return { taskId, attempt, kind, size: task.reserved!, checkpoint, payload }
}
