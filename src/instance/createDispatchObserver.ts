import type { DispatchObserver } from '../dispatch/index.js'
import type { Logger } from '../shared/Logger.js'
import type { InstanceMetrics } from './InstanceMetrics.js'

/**
 * Creates an observer that counts lost runs and ignored ends, and logs those that need an explanation.
 * @param logger Where lines are written.
 * @param metrics The counters.
 * @returns The observer.
 */
export function createDispatchObserver (logger: Logger, metrics: InstanceMetrics): DispatchObserver {
  return {
    onRunLost: (worker, run, cause, now) => {
      metrics.lostRuns.inc({ cause })
      logger.info('run lost', {
        task: run.task.name,
        attempt: run.attempt,
        worker: worker.entry.workerId,
        cause,
        state: run.state,
        isStartUncertain: run.startUncertain,
        reportAgeMilliseconds: Number.isFinite(worker.reportedAt) ? Math.round(now - worker.reportedAt) : null
      })
    },
    onCompletionIgnored: (worker, ended, reason) => {
      metrics.ignoredEndedRuns.inc({ reason })
      // Ends of finished jobs are listed again to each new owner.
      if (reason === 'job-finished') return
      logger.info('end ignored', {
        task: ended.taskName,
        attempt: ended.attempt,
        worker: worker.entry.workerId,
        end: ended.end,
        number: ended.number,
        reason
      })
    }
  }
}
