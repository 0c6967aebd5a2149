import { createRun, type JobRecord, type RunRecord, type StepRecord, type TaskRecord } from '../jobs/index.js'
import type { IgnoredCompletionReason } from './DispatchObserver.js'
import type { JobTable } from './JobTable.js'
import { listsAllEnds } from './listsAllEnds.js'
import type { ListedCompletion, ListedRun, WorkerReport } from './WorkerProtocol.js'
import {
  addOrphanedRun, addRun, getRunKey, isServing, removeOrphanedRun, removeRun, type WorkerRecord
} from './WorkerRecord.js'

/** This many failed runs in a row, without a success between them, point to a fault of the worker, not of the tasks. */
const QUARANTINE_STREAK = 3
/** A step whose tasks have failed on this many workers, and succeeded on none, says nothing about further workers. */
const SUSPECT_STEP_WORKERS = 2
const FIRST_QUARANTINE_MILLISECONDS = 3000
const LONGEST_QUARANTINE_MILLISECONDS = 12_000

/** A run shows that its worker is sound if it has lasted this many times as long as the failed run of another one. */
const SOUND_RUN_FACTOR = 2

/** A run that has failed; the monotonic time of its start is null for one that this owner has not started. */
interface FailedRun {
  attempt: number
  startedAt: number | null
}

/** The state and callbacks for applying a report. */
export interface ReportContext {
  jobs: JobTable
  /** Monotonic time at which the call was sent; the report may lack runs that were confirmed later. */
  sentAt: number
  /** The monotonic time. */
  now: number
  /** Whether an earlier owner may have started tasks elsewhere after the call was sent. */
  mayEarlierOwnersStart: boolean
  stop (run: RunRecord): void
  /** Stops a run without a live task. */
  stopOrphaned (taskName: string, attempt: number): void
  failJob (job: JobRecord): void
  /** Stops all runs of a task. */
  stopRuns (task: TaskRecord): void
  /** Handles the end of a run whose task is not done; that of a member ends its gang. */
  handleGangEnd (step: StepRecord, attempt: number, run: RunRecord | undefined): void
  /** Handles the end of a run that has completed its task. */
  recordCompletedRun (run: RunRecord): void
  /** Handles a run that is over although the worker reported no completion of it. */
  markRunLost (run: RunRecord): void
  reportIgnoredCompletion (ended: ListedCompletion, reason: IgnoredCompletionReason): void
}

/**
 * Applies a worker's report to its runs and their tasks.
 * @param worker The worker.
 * @param report The report.
 * @param context The jobs, the times and the callbacks.
 * @returns Whether something changed that may let a task start.
 */
export function applyReport (worker: WorkerRecord, report: WorkerReport, context: ReportContext): boolean {
  let changed = applyCompletions(worker, report, context)
  const listed = new Set<string>()
  for (const row of report.running) {
    listed.add(getRunKey(row.taskName, row.attempt))
    applyRunning(worker, row, context)
  }
  // A worker frees the capacity of a run once it lists the end, which may be among those that follow.
  if (!listsAllEnds(report)) return changed
  for (const key of worker.orphanedRuns.keys()) {
    if (listed.has(key)) continue
    removeOrphanedRun(worker, key)
    changed = true
  }
  return removeMissingRuns(worker, listed, context) || changed
}

/**
 * Applies only the completions of a report, whose lists of runs may be outdated.
 * @param worker The worker.
 * @param report The report.
 * @param context The jobs, the times and the callbacks.
 * @returns Whether a completion was applied.
 */
export function applyCompletions (worker: WorkerRecord, report: WorkerReport, context: ReportContext): boolean {
  let changed = false
  for (const ended of report.ended) {
    if (ended.number <= worker.appliedCompletion) continue
    applyCompletionOrRestore(worker, ended, context)
    worker.appliedCompletion = ended.number
    changed = true
  }
  return changed
}

function applyRunning (worker: WorkerRecord, row: ListedRun, context: ReportContext): void {
  const key = getRunKey(row.taskName, row.attempt)
  const { now } = context
  let run = worker.runs.get(key)
  if (run === undefined) {
    const task = context.jobs.findTask(row.taskName, now)
    if (task === undefined) {
      const known = worker.orphanedRuns.get(key)
      if (known === undefined || known.usage === null) {
        const usage = context.jobs.findEndedTask(row.taskName)
        addOrphanedRun(worker, { name: row.taskName, attempt: row.attempt, usage })
      }
      if (known === undefined) context.stopOrphaned(row.taskName, row.attempt)
      return
    }
    run = adoptRun(worker, task, row, now)
    // No other run of the task exists. A dependent step may have been started after an end that is not durable, and the
    // task itself again by an earlier owner that learns of its end.
    if (!context.mayEarlierOwnersStart) task.earlierRuns = 'none'
    recordAssignment(worker, task, context)
    if (task.runs.length > 1 && !task.step.specification.speculative) context.stop(run)
  }
  if (run.state === 'starting') run.state = 'running'
  run.startUncertain = false
  run.isListed = true
  run.task.hasRun = true
  run.task.step.occurrence.job.hasStarted = true
  run.confirmedAt ??= now
  if (row.percent !== run.percent) run.progressedAt = now
  run.percent = row.percent
  run.usageFigure = row.usageFigure
  if (isOverTarget(run)) run.overTargetSince ??= now
  else run.overTargetSince = null
  if (row.checkpoint !== '') run.task.checkpoint = row.checkpoint
}

/** Stores the worker of a long-running task that an earlier owner started without storing it. */
function recordAssignment (worker: WorkerRecord, task: TaskRecord, context: ReportContext): void {
  if (!task.step.specification.longRunning || task.assignedWorkerId === worker.entry.workerId) return
  task.assignedWorkerId = worker.entry.workerId
  if (task.step.occurrence.job.hasStoredAssignments) context.jobs.markTaskChanged(task)
}

function isOverTarget (run: RunRecord): boolean {
  return isServing(run.task) && run.percent >= 100 &&
    run.usageFigure > run.task.step.specification.targetMilliseconds
}

/** Adopts a reported run that an earlier owner started, or that was considered lost. */
function adoptRun (worker: WorkerRecord, task: TaskRecord, row: ListedRun, now: number): RunRecord {
  const run: RunRecord = {
    ...createRun(task, worker.entry.workerId, row.attempt, now),
    isAdopted: true,
    state: 'running',
    confirmedAt: now,
    percent: row.percent,
    usageFigure: row.usageFigure,
    // The pace that an earlier owner set is unknown.
    pacePercent: -1
  }
  task.nextAttempt = Math.max(task.nextAttempt, row.attempt + 1)
  addRun(worker, run)
  return run
}

/**
 * Applies a completion; after an unexpected error its run is kept, so that the task does not start again before the
 * worker repeats the completion.
 */
function applyCompletionOrRestore (worker: WorkerRecord, ended: ListedCompletion, context: ReportContext): void {
  const run = worker.runs.get(getRunKey(ended.taskName, ended.attempt))
  try {
    applyCompletion(worker, ended, context)
  } catch (error) {
    if (run !== undefined && !run.task.runs.includes(run)) addRun(worker, run)
    throw error
  }
}

function applyCompletion (worker: WorkerRecord, ended: ListedCompletion, context: ReportContext): void {
  const run = worker.runs.get(getRunKey(ended.taskName, ended.attempt))
  if (run !== undefined) removeRun(worker, run, context.now)
  const task = run?.task ?? context.jobs.findTask(ended.taskName, context.now)
  if (task === undefined) return context.reportIgnoredCompletion(ended, getIgnoredReason(ended, context))
  const { job } = task.step.occurrence
  job.hasStarted = true
  task.hasRun = true
  context.jobs.waitingRestarts.add(task)
  const isLive = job.finalState === null && !task.done
  task.nextAttempt = Math.max(task.nextAttempt, ended.attempt + 1)
  if (ended.end === 'done') {
    endQuarantine(worker, run)
    if (run !== undefined) context.recordCompletedRun(run)
    if (isLive) finishTask(task, context)
    return
  }
  // Members work, and so fail, only after all of them have started.
  if (ended.end !== 'failed') context.handleGangEnd(task.step, ended.attempt, run)
  if (ended.checkpoint !== '') {
    task.checkpoint = ended.checkpoint
    if (isLive) context.jobs.markTaskChanged(task)
  }
  const startedAt = run?.startedAt ?? null
  if (ended.end === 'failed') applyFailure(worker, task, { attempt: ended.attempt, startedAt }, isLive, context)
}

function getIgnoredReason (ended: ListedCompletion, context: ReportContext): IgnoredCompletionReason {
  const [jobId] = ended.taskName.split('.', 1)
  const job = context.jobs.getJob(jobId)
  if (job !== undefined && job.finalState === null) return 'task-done'
  return context.jobs.getState(jobId) === null ? 'unknown-job' : 'job-finished'
}

function finishTask (task: TaskRecord, context: ReportContext): void {
  // The members of a gang complete together, so the worker reports one completion for all of them.
  const members = task.step.specification.gang ? task.step.tasks.createAll() : [task]
  if (task.step.specification.longRunning) return
  for (const member of members) {
    context.jobs.markDone(member)
    if (!task.step.specification.gang) context.stopRuns(member)
  }
}

function applyFailure (
  worker: WorkerRecord, task: TaskRecord, { attempt, startedAt }: FailedRun, isLive: boolean, context: ReportContext
): void {
  const { now } = context
  task.step.tasks.addFailedWorker(worker.entry.workerId)
  if (!isStepSuspect(task, startedAt === null ? Infinity : now - startedAt, now)) countFailure(worker, now)
  task.failedWorkerIds.add(worker.entry.workerId)
  if (!isLive || task.step.specification.longRunning) return
  // The members of a gang fail together, with the same attempt number.
  const members = task.step.specification.gang ? task.step.tasks.createAll() : [task]
  for (const member of members) {
    member.failedAttempts.add(attempt)
    context.jobs.markTaskChanged(member)
  }
  const { job } = task.step.occurrence
  if (task.failedAttempts.size >= job.submission.attemptLimit) context.failJob(job)
}

/** Counts a failed run of a worker, and pauses the worker after several in a row. */
function countFailure (worker: WorkerRecord, now: number): void {
  worker.failureStreak++
  if (worker.failureStreak < QUARANTINE_STREAK) return
  worker.quarantineMilliseconds =
    Math.min(LONGEST_QUARANTINE_MILLISECONDS, worker.quarantineMilliseconds * 2 || FIRST_QUARANTINE_MILLISECONDS)
  worker.quarantinedUntil = now + worker.quarantineMilliseconds
  // The first task after the quarantine is a probe: if it fails, the quarantine starts again.
  worker.failureStreak = QUARANTINE_STREAK - 1
}

/** Handles a successful run; one that has started in a quarantine shows that the worker is sound again. */
function endQuarantine (worker: WorkerRecord, run: RunRecord | undefined): void {
  const hasStartedPaused = worker.quarantineMilliseconds > 0 && run !== undefined &&
    run.startedAt >= worker.quarantinedUntil - worker.quarantineMilliseconds
  if (hasStartedPaused) worker.quarantinedUntil = Math.min(worker.quarantinedUntil, run.startedAt)
  worker.failureStreak = 0
  worker.quarantineMilliseconds = 0
}

/**
 * Returns whether the failures of a step point to a fault of its tasks rather than of the workers: they have failed on
 * several workers, none has succeeded, and there are not as many other workers on which runs last clearly longer than
 * the one that has failed. Long-running tasks never succeed.
 */
function isStepSuspect ({ step: { tasks, specification } }: TaskRecord, failedAfter: number, now: number): boolean {
  if (specification.longRunning || tasks.remainingCount < tasks.count) return false
  if (tasks.failedWorkerCount < SUSPECT_STEP_WORKERS) return false
  const soundWorkers = new Set<string>()
  for (const { runs } of tasks.getAllCreated()) {
    for (const { workerId, confirmedAt } of runs) {
      if (confirmedAt === null || tasks.hasFailedOn(workerId)) continue
      if (now - confirmedAt >= failedAfter * SOUND_RUN_FACTOR) soundWorkers.add(workerId)
    }
    if (soundWorkers.size >= SUSPECT_STEP_WORKERS) return false
  }
  return true
}

/** Marks confirmed runs as lost that a later report lists neither as running nor as ended. */
function removeMissingRuns (worker: WorkerRecord, listed: Set<string>, context: ReportContext): boolean {
  let changed = false
  for (const [key, run] of worker.runs) {
    if (listed.has(key) || run.confirmedAt === null || run.confirmedAt >= context.sentAt) continue
    context.markRunLost(run)
    changed = true
  }
  return changed
}
