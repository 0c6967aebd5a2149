import type {
  CommandResult, ExchangeOutcome, RunningTask, TaskEvent, TaskRun, WorkerAnswer
} from '../workers/WorkerProtocol.js'
import { expireStarts, getExchangeInterval, hasCommands } from './exchangeWorkers.js'
import type { OwnerCore } from './OwnerCore.js'
import type { SentExchange } from './ownerMessages.js'
import { isPlaced } from './taskMachine.js'
import type { TaskRecord, WorkerRecord } from './TaskRecord.js'

/** An unreachable worker is tried this often; its lease leaves time for thirty tries. */
const RETRY_MILLISECONDS = 1000
/** A kind that may be repeated is started at most this often after failures. */
const RETRY_ATTEMPT_LIMIT = 3

type AcceptedAnswer = Extract<WorkerAnswer, { kind: 'accepted' }>

/** Handles the outcome of one exchange. */
export function handleExchangeOutcome (
  core: OwnerCore,
  worker: WorkerRecord,
  sent: SentExchange,
  outcome: ExchangeOutcome,
  now: number
): void {
  worker.inFlight = false
  if (outcome.kind === 'answered' && outcome.answer.kind === 'stale-epoch') {
    core.dropped = true
    core.effects.push({ kind: 'drop', reason: 'a worker has seen a later epoch' })
    return
  }
  if (outcome.kind === 'answered' && outcome.answer.kind === 'accepted') {
    handleAccepted(core, worker, sent, outcome.answer, now)
  } else {
    handleFailure(core, worker, sent, outcome.kind === 'not-sent', now)
  }
}

function handleFailure (
  core: OwnerCore,
  worker: WorkerRecord,
  sent: SentExchange,
  notSent: boolean,
  now: number
): void {
  if (worker.consecutiveFailures === 0) core.workersChanged = true
  worker.consecutiveFailures++
  worker.nextExchangeAt = now + RETRY_MILLISECONDS
  core.counters.exchangeFailures++
  for (const { taskId, attempt, share } of sent.exchange.throttles) {
    if (!worker.throttles.has(taskId)) worker.throttles.set(taskId, { taskId, attempt, share })
  }
  for (const task of sent.starts) {
    if (task.startPhase !== 'sent' || task.worker !== worker) continue
    if (notSent) {
      task.startPhase = 'durable'
      if (task.state === 'cancelling') core.end(task, 'cancelled', now)
      else worker.durableStarts.add(task)
    } else if (core.rules.reconcileStarts) {
      worker.reconcileAt = Math.max(task.startExpiresAt, worker.reconcileAt === Infinity ? 0 : worker.reconcileAt)
    } else {
      core.requeue(task, task.checkpoint, now)
    }
  }
  expireStarts(core, worker, now)
}

function handleAccepted (
  core: OwnerCore,
  worker: WorkerRecord,
  sent: SentExchange,
  answer: AcceptedAnswer,
  now: number
): void {
  worker.lease.recordAnswer(answer.workerTime, now)
  if (worker.consecutiveFailures > 0) core.workersChanged = true
  worker.consecutiveFailures = 0
  if (worker.incarnation !== answer.incarnation) {
    if (worker.incarnation !== null) worker.reconcileAt = now
    worker.incarnation = answer.incarnation
    worker.processedSequence = 0
    worker.acknowledgedSequence = 0
  }
  for (const event of answer.events) handleEvent(core, worker, event, now)
  for (const result of answer.results) handleResult(core, worker, result, sent, now)
  if (answer.tasks !== null) reconcile(core, worker, answer.tasks, sent, now)
  if (answer.usage !== null) {
    for (const action of core.engine.recordUsage(worker.workerId, answer.usage, now)) {
      const task = findTask(core, worker, action)
      if (task === undefined) continue
      if (action.action === 'move') core.evict(task, now)
      else {
        const share = action.action === 'throttle' ? action.share : 1
        worker.throttles.set(task.taskId, { ...core.getRun(task), share })
      }
    }
  }
  expireStarts(core, worker, now)
  worker.nextExchangeAt = hasCommands(core, worker, now) ? now : now + getExchangeInterval(core, worker)
}

function handleEvent (core: OwnerCore, worker: WorkerRecord, event: TaskEvent, now: number): void {
  if (event.sequence <= worker.processedSequence) return
  worker.processedSequence = event.sequence
  const { incarnation } = worker
  const acknowledge = () => {
    if (worker.incarnation === incarnation) worker.acknowledgedSequence = event.sequence
  }
  const task = findTask(core, worker, event)
  // The end of a run that is already on record is acknowledged in its turn, after all earlier ends.
  if (task === undefined) return core.journal.append(null, acknowledge)
  core.engine.recordOutcome(event, event.ending, now)
  if (event.ending === 'completed') core.end(task, 'completed', now, acknowledge)
  else if (event.ending === 'stopped') core.requeue(task, event.checkpoint ?? task.checkpoint, now, acknowledge)
  else handleRunFailure(core, task, now, acknowledge)
}

function handleRunFailure (core: OwnerCore, task: TaskRecord, now: number, acknowledge: () => void): void {
  const mayRepeat = core.policy.getKindPolicy(task.job.kind).mayRepeat && task.attempt < RETRY_ATTEMPT_LIMIT
  if (mayRepeat && task.state !== 'cancelling') core.requeue(task, task.checkpoint, now, acknowledge)
  else core.end(task, 'failed', now, acknowledge)
}

function handleResult (
  core: OwnerCore,
  worker: WorkerRecord,
  result: CommandResult,
  sent: SentExchange,
  now: number
): void {
  const task = findTask(core, worker, result)
  if (task === undefined) return
  if (result.command === 'start') {
    if (result.outcome === 'refused') return handleRefusal(core, worker, task, result.reason, now)
    task.startPhase = 'none'
    core.state.advance(task, 'started', now)
  } else if (result.command === 'stop') {
    if (result.outcome === 'stopped') return core.requeue(task, result.checkpoint ?? task.checkpoint, now)
    // A start that may still arrive is settled by the next list of running tasks.
    if (task.startPhase === 'sent' && sent.sentAt < task.startExpiresAt) worker.reconcileAt = task.startExpiresAt
    else core.handleLostRun(task, now)
  }
}

/**
 * Only a proof that is too old stays so; a copy of another refused start might still be accepted, so that
 * start is settled by a list of the running tasks when every copy is certainly refused.
 */
function handleRefusal (core: OwnerCore, worker: WorkerRecord, task: TaskRecord, reason: string, now: number): void {
  core.counters.startsRefused++
  core.engine.recordOutcome(core.getRun(task), 'refused', now)
  core.workersChanged = true
  if (reason === 'proof-too-old') {
    task.startPhase = 'durable'
    core.requeue(task, task.checkpoint, now)
  } else {
    worker.reconcileAt = reason === 'already-ended' ? now : task.startExpiresAt
  }
}

/** Compares the record with the tasks that the worker runs; the ends that it reported have been handled. */
function reconcile (
  core: OwnerCore,
  worker: WorkerRecord,
  running: RunningTask[],
  sent: SentExchange,
  now: number
): void {
  worker.reconcileAt = Infinity
  const listed = new Set<TaskRecord>()
  for (const run of running) {
    const task = findTask(core, worker, run)
    if (task === undefined) {
      worker.orphanedRuns.push({ taskId: run.taskId, attempt: run.attempt })
      continue
    }
    listed.add(task)
    task.startPhase = 'none'
    task.isLost = false
    core.state.advance(task, 'started', now)
    if (task.state === 'evicting') core.evicting.add(task)
    if (task.state === 'evicting' || task.state === 'cancelling') core.requestStop(task, now)
  }
  for (const task of [...worker.tasks]) {
    if (listed.has(task) || task.startPhase === 'journalling' || task.startPhase === 'durable') continue
    if (task.startPhase === 'sent' && sent.sentAt < task.startExpiresAt) {
      worker.reconcileAt = Math.max(task.startExpiresAt, worker.reconcileAt === Infinity ? 0 : worker.reconcileAt)
    } else {
      core.handleLostRun(task, now)
    }
  }
  if (!worker.isReconciled) {
    worker.isReconciled = true
    core.workersChanged = true
  }
}

function findTask (core: OwnerCore, worker: WorkerRecord, run: TaskRun): TaskRecord | undefined {
  const task = core.state.tasks.get(run.taskId)
  const matches = task !== undefined && task.attempt === run.attempt && task.worker === worker && isPlaced(task.state)
  return matches ? task : undefined
}
