import type { DispatchObserver } from '../dispatch/index.js'
import type { StepRecord } from '../jobs/index.js'
import type { Logger } from '../shared/Logger.js'
import type { InstanceMetrics } from './InstanceMetrics.js'

/**
 * Creates an observer that counts and logs lost runs and ignored ended runs, and logs runs stopped for others.
 * @param logger The logger.
 * @param metrics The counters.
 * @returns The observer.
 */
export function createDispatchObserver (logger: Logger, metrics: InstanceMetrics): DispatchObserver {
  return {
    onRunLost: (worker, run, cause, now) => {
      const { task } = run
      // Workers list one end for all members of a gang that is done.
      if (task.step.specification.gang && task.done) return
      metrics.lostRuns.inc({ cause })
      // A line for each of the starts that are withdrawn with their gang would say no more than that of the gang.
      if (task.step.specification.gang && cause === 'not-sent') return
      logger.info('run lost', {
        task: task.name,
        attempt: run.attempt,
        worker: worker.entry.workerId,
        cause,
        state: run.state,
        isStartUncertain: run.startUncertain,
        reportAgeMilliseconds: Number.isFinite(worker.reportedAt) ? Math.round(now - worker.reportedAt) : null
      })
    },
    onWorkerRestarted: (worker, bornAtMilliseconds, lostRunCount) => logger.info('worker reports from another process', {
      worker: worker.entry.workerId,
      earlierBornAt: worker.entry.bornAtMilliseconds,
      bornAt: bornAtMilliseconds,
      lostRuns: lostRunCount,
      unsettledStarts: worker.runs.size
    }),
    onCompletionIgnored: (worker, ended, reason) => {
      metrics.ignoredEndedRuns.inc({ reason })
      // Not logged, because workers report the ended runs of finished jobs again to each new owner.
      if (reason === 'job-finished') return
      logger.info('ended run ignored', {
        task: ended.taskName,
        attempt: ended.attempt,
        worker: worker.entry.workerId,
        end: ended.end,
        number: ended.number,
        reason
      })
    },
    onRunStoppedForRestart: (run, waiting, now) => logger.info('run stopped for a long-running task', {
      task: run.task.name,
      attempt: run.attempt,
      worker: run.workerId,
      percent: run.percent,
      waitingTask: waiting.name,
      waitMilliseconds: Math.round(now - waiting.waitingSince)
    }),
    onRunDisplaced: (run, waiting, lostWork) => {
      metrics.displacedRuns.inc({ priority: String(run.task.step.occurrence.job.submission.priority) })
      logger.info('run displaced', {
        task: run.task.name,
        attempt: run.attempt,
        worker: run.workerId,
        percent: run.percent,
        lostProcessorMilliseconds: Math.round(lostWork / 1000),
        waitingTask: waiting.name
      })
    },
    onStartHeldBack: (task, { missingMilli, pieceMilli, freeMilli, waitMilliseconds }) => {
      metrics.heldBackStarts.inc()
      logger.info('long-running start held back', {
        task: task.name,
        processorsMilli: task.step.specification.processorsMilli,
        urgentMissingMilli: Math.round(missingMilli),
        urgentPieceMilli: Math.round(pieceMilli),
        freeInPiecesMilli: Math.round(freeMilli),
        waitMilliseconds: Math.round(waitMilliseconds)
      })
    },
    onGangAbandoned: ({ step, attempt, cause, pauseMilliseconds }) => {
      metrics.abandonedGangs.inc({ cause })
      const { occurrence: { job, number }, index, tasks } = step
      logger.info('gang start given up', {
        job: job.submission.jobId,
        occurrence: number,
        step: index,
        attempt,
        cause,
        members: tasks.count,
        startedMembers: countStartedMembers(step, attempt),
        pauseMilliseconds
      })
    },
    onReconciled: (worker, cause) => {
      metrics.reconciledWorkers.inc({ cause })
      // Not logged, because nearly all workers report within a second of a takeover.
      if (cause === 'reported') return
      logger.info('worker reconciled', { worker: worker.entry.workerId, cause })
    }
  }
}

/** Counts the members of an attempt that workers have confirmed. */
function countStartedMembers ({ tasks }: StepRecord, attempt: number): number {
  let count = 0
  for (const { runs } of tasks.getAllCreated()) {
    if (runs.some(run => run.attempt === attempt && run.confirmedAt !== null)) count++
  }
  return count
}
