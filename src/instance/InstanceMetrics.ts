import { Counter, Gauge, Histogram, type Registry } from 'prom-client'

/** Buckets for calls to the store and to workers, which take milliseconds, or seconds during an outage. */
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5]
/** The owner's timer runs every 0.2 s; orders fail when it is delayed by about their time limit of 0.35 s. */
const LOOP_DELAY_BUCKETS_SECONDS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.35, 0.7, 1.5]
/** Tasks start at once, or wait for free capacity for up to a minute. */
const WAIT_BUCKETS_SECONDS = [0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60]

/** The counters and histograms that an instance updates. */
export interface InstanceMetrics {
  submissions: Counter<'outcome'>
  refusedCalls: Counter<'reason'>
  refusedSubmissions: Counter<'priority' | 'reason'>
  abandonedGangs: Counter<'cause'>
  clientLimits: Counter<'server' | 'limit'>
  submissionSeconds: Histogram
  starts: Counter<'outcome'>
  startSeconds: Histogram
  waitSeconds: Histogram
  finishedJobs: Counter<'state'>
  takeovers: Counter
  endedWorkers: Counter
  paceChanges: Counter
  lostRuns: Counter<'cause'>
  ignoredEndedRuns: Counter<'reason'>
  displacedRuns: Counter<'priority'>
  heldBackStarts: Counter
  reconciledWorkers: Counter<'cause'>
  longRunningRestartSeconds: Histogram
  workerCallFailures: Counter<'reason'>
  workerCallRepeats: Counter<'call'>
  storeCallRepeats: Counter<'write'>
  lateReports: Counter
  loopDelaySeconds: Histogram
  unexpectedErrors: Counter<'activity'>
  tableCopiesPublished: Counter
  tableCopiesUsed: Counter
  wholeTableReads: Counter<'cause'>
}

/** Functions that return the values of gauges, 0 or false for an instance that is not the owner. */
export interface InstanceGaugeReaders {
  isOwner (): boolean
  countLiveJobs (): number
  countUnreconciledWorkers (): number
  countOpenStarts (): number
}

/**
 * Creates the metrics of an instance.
 * @param registry The registry in which they are registered.
 * @param readers Functions that return the values of the gauges when these are collected.
 * @returns The metrics.
 */
export function createInstanceMetrics (
  registry: Registry, readers: InstanceGaugeReaders
): InstanceMetrics {
  const registers = [registry]
  const owner: Gauge = new Gauge({
    name: 'papayamoor_instance_owner',
    help: 'Whether this instance owns the shard.',
    registers,
    collect: () => owner.set(readers.isOwner() ? 1 : 0)
  })
  const liveJobs: Gauge = new Gauge({
    name: 'papayamoor_instance_live_jobs',
    help: 'Jobs of the owned shard that have no durable final state.',
    registers,
    collect: () => liveJobs.set(readers.countLiveJobs())
  })
  const unreconciledWorkers: Gauge = new Gauge({
    name: 'papayamoor_instance_unreconciled_workers',
    help: 'Workers of the owned shard that may run tasks of an earlier owner and have not reported yet.',
    registers,
    collect: () => unreconciledWorkers.set(readers.countUnreconciledWorkers())
  })
  const openStarts: Gauge = new Gauge({
    name: 'papayamoor_instance_open_starts',
    help: 'Tasks of the owned shard with a start without a response that a later process may execute.',
    registers,
    collect: () => openStarts.set(readers.countOpenStarts())
  })
  return {
    submissions: new Counter({
      name: 'papayamoor_instance_submissions_total',
      help: 'Submissions by what their callers were told.',
      labelNames: ['outcome'],
      registers
    }),
    refusedCalls: new Counter({
      name: 'papayamoor_instance_refused_calls_total',
      help: 'Calls of callers that were refused because of their keys, by reason.',
      labelNames: ['reason'],
      registers
    }),
    refusedSubmissions: new Counter({
      name: 'papayamoor_instance_refused_submissions_total',
      help: 'Submissions that were refused because of the load or can never run, by priority of the queue and reason.',
      labelNames: ['priority', 'reason'],
      registers
    }),
    abandonedGangs: new Counter({
      name: 'papayamoor_instance_abandoned_gangs_total',
      help: 'Attempts to start a gang that were given up before all members had started, by cause.',
      labelNames: ['cause'],
      registers
    }),
    clientLimits: new Counter({
      name: 'papayamoor_instance_client_limits_total',
      help: 'Limits of clients that were reached, by server and limit.',
      labelNames: ['server', 'limit'],
      registers
    }),
    submissionSeconds: new Histogram({
      name: 'papayamoor_instance_submission_seconds',
      help: 'Time from a submission to its answer.',
      buckets: LATENCY_BUCKETS_SECONDS,
      registers
    }),
    starts: new Counter({
      name: 'papayamoor_instance_starts_total',
      help: 'Starts of tasks by what the worker answered.',
      labelNames: ['outcome'],
      registers
    }),
    startSeconds: new Histogram({
      name: 'papayamoor_instance_start_seconds',
      help: 'Time from a start order to its outcome.',
      buckets: LATENCY_BUCKETS_SECONDS,
      registers
    }),
    waitSeconds: new Histogram({
      name: 'papayamoor_instance_task_wait_seconds',
      help: 'Time from the end of the last run of a task, or from its readiness, to its next start.',
      buckets: WAIT_BUCKETS_SECONDS,
      registers
    }),
    finishedJobs: new Counter({
      name: 'papayamoor_instance_finished_jobs_total',
      help: 'Jobs by final state, counted when it is durable.',
      labelNames: ['state'],
      registers
    }),
    takeovers: new Counter({
      name: 'papayamoor_instance_takeovers_total',
      help: 'How often this instance became owner.',
      registers
    }),
    endedWorkers: new Counter({
      name: 'papayamoor_instance_gone_workers_total',
      help: 'Workers whose process had ended according to the platform.',
      registers
    }),
    paceChanges: new Counter({
      name: 'papayamoor_instance_pace_changes_total',
      help: 'Orders that changed the pace of a task that fills.',
      registers
    }),
    lostRuns: new Counter({
      name: 'papayamoor_instance_lost_runs_total',
      help: 'Runs that were taken as over although their worker listed no end, by cause.',
      labelNames: ['cause'],
      registers
    }),
    ignoredEndedRuns: new Counter({
      name: 'papayamoor_instance_ignored_ends_total',
      help: 'Ends that workers listed and that changed no task, by reason.',
      labelNames: ['reason'],
      registers
    }),
    displacedRuns: new Counter({
      name: 'papayamoor_instance_displaced_runs_total',
      help: 'Runs of useless jobs that were stopped for jobs that could be in time, by the priority of the stopped job.',
      labelNames: ['priority'],
      registers
    }),
    heldBackStarts: new Counter({
      name: 'papayamoor_instance_held_back_starts_total',
      help: 'Long-running tasks whose first start was held back for urgent work.',
      registers
    }),
    reconciledWorkers: new Counter({
      name: 'papayamoor_instance_reconciled_workers_total',
      help: 'Workers whose runs of earlier owners became known or were certainly over, by cause.',
      labelNames: ['cause'],
      registers
    }),
    longRunningRestartSeconds: new Histogram({
      name: 'papayamoor_instance_long_running_restart_seconds',
      help: 'Time from the end of a run of a long-running task, or from a takeover, to its next start.',
      buckets: WAIT_BUCKETS_SECONDS,
      registers
    }),
    workerCallRepeats: new Counter({
      name: 'papayamoor_instance_worker_call_repeats_total',
      help: 'Calls to workers that were sent again because they had no response, by call: start, stop or renewal.',
      labelNames: ['call'],
      registers
    }),
    storeCallRepeats: new Counter({
      name: 'papayamoor_instance_store_call_repeats_total',
      help: 'Writes to the store that were sent again because they had no response, by what they write.',
      labelNames: ['write'],
      registers
    }),
    workerCallFailures: new Counter({
      name: 'papayamoor_instance_worker_call_failures_total',
      help: 'Renewals of leases that got no list back, by reason.',
      labelNames: ['reason'],
      registers
    }),
    lateReports: new Counter({
      name: 'papayamoor_instance_late_reports_total',
      help: 'Reports of workers that arrived after their calls had timed out.',
      registers
    }),
    loopDelaySeconds: new Histogram({
      name: 'papayamoor_instance_loop_delay_seconds',
      help: 'How late the periodic timer of the owner ran.',
      buckets: LOOP_DELAY_BUCKETS_SECONDS,
      registers
    }),
    unexpectedErrors: new Counter({
      name: 'papayamoor_instance_unexpected_errors_total',
      help: 'Errors that no code expected, by the activity that they ended.',
      labelNames: ['activity'],
      registers
    }),
    tableCopiesPublished: new Counter({
      name: 'papayamoor_instance_table_copies_published_total',
      help: 'Copies of a large table that this instance stored for the others.',
      registers
    }),
    tableCopiesUsed: new Counter({
      name: 'papayamoor_instance_table_copies_used_total',
      help: 'How often this instance read a copy instead of a large table.',
      registers
    }),
    wholeTableReads: new Counter({
      name: 'papayamoor_instance_whole_table_reads_total',
      help: 'How often this instance read a large table itself, by cause.',
      labelNames: ['cause'],
      registers
    })
  }
}
