import type { LogFields } from '../../src/shared/Logger.js'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { createSiteCapJudge, type CapJudge } from '../accounts/index.js'
import { EMULATED_WAIT, EmulatedSite } from '../platform/EmulatedSite.js'
import type { EmulatedWorkerDescription } from '../platform/EmulatedWorkerDescription.js'
import { LostJobJudge } from '../platform/LostJobJudge.js'
import { SiteFaults } from '../platform/SiteFaults.js'
import { createRandom } from '../shared/createRandom.js'
import { SEARCH_QUEUES } from './searchQueues.js'
import type { SearchJob, SearchSchedule } from './SearchSchedule.js'

/** What a play has shown. */
export interface SearchResult {
  /** A description of each rule that was broken, beginning with the kind of the rule. */
  violations: string[]
  acceptedCount: number
  startCount: number
  /** The longest time after the finish for which a job with room for it had nothing running. */
  longestWaitMilliseconds: number
}

/** Receives a log line of an instance, with the time in milliseconds. */
export type SearchLog = (atMilliseconds: number, instanceId: string, message: string, fields: LogFields) => void

/** What a client knows of its job. */
interface ClientRecord {
  job: SearchJob
  isAccepted: boolean
  /** Whether the client has requested the cancellation. */
  isCancelled: boolean
}

/** Time from the end of the faults until jobs are judged, on the pages `finish_s`. */
const FINISH_MILLISECONDS = 14_000
/** How long jobs are judged from then on. */
const JUDGED_MILLISECONDS = 4000
/** Time for the jobs to end after the last fault. */
const SETTLE_MILLISECONDS = 16_000
/** On days on which clocks jump, scheduled tasks may start this much earlier, on the pages. */
const CLOCK_STEP_MILLISECONDS = 5250
const RETRY_MILLISECONDS = 500
const SUBMISSION_LIMIT = 6
const REPETITION_DELAY_MILLISECONDS = 3000
const LOOKUP_MILLISECONDS = 3000
/** Time in which the end of a job becomes durable after the acknowledgement of its last run. */
const DURABILITY_MILLISECONDS = 1000
const SAMPLE_MILLISECONDS = 250
/** The closing faults end at the latest after this time. */
const CLOSING_LIMIT_MILLISECONDS = 12_000
/** Time from the beginning of the lasting faults to the closing ones. */
const CLOSING_DELAY_MILLISECONDS = 300

/** Plays a schedule on an emulated site and judges every accepted job. */
export class SearchPlay {
  private readonly clock = VirtualClock.create()
  private readonly site: EmulatedSite
  private readonly faults: SiteFaults
  /** The faults of workers that last until the jobs were judged. */
  private readonly lastingFaults: SiteFaults
  private readonly lostJobs: LostJobJudge
  /** Null for a site without accounts. */
  private readonly caps: CapJudge | null
  private readonly clients: ClientRecord[] = []
  private readonly violations: string[] = []
  private readonly descriptions: Map<string, EmulatedWorkerDescription>

  private constructor (private readonly schedule: SearchSchedule, onLog?: SearchLog) {
    const { clock } = this
    const random = createRandom(schedule.seed)
    this.descriptions = new Map(schedule.workers.map(worker => [worker.workerId, worker]))
    this.site = EmulatedSite.create({
      clock,
      random,
      instanceCount: schedule.instanceCount,
      workerCount: schedule.workers.length,
      workers: schedule.workers,
      queues: [...SEARCH_QUEUES],
      accounts: schedule.accounts ?? undefined,
      interferenceSeed: schedule.seed,
      onLog: onLog === undefined
        ? undefined
        : (instanceId, message, fields) => onLog(clock.monotonicMilliseconds(), instanceId, message, fields)
    })
    const options = {
      site: this.site,
      clock,
      random,
      addWorker: (workerId: string, otherId: string) => this.addWorker(workerId, otherId)
    }
    this.faults = SiteFaults.create(options)
    this.lastingFaults = SiteFaults.create(options)
    this.caps = schedule.accounts === null ? null : createSiteCapJudge(this.site, clock)
    this.lostJobs = LostJobJudge.create({
      site: this.site,
      clock,
      getCalmSince: () => this.getCalmSince(),
      isWorkerAffected: workerId =>
        this.faults.isWorkerAffected(workerId) || this.lastingFaults.isWorkerAffected(workerId),
      mayWaitForCap: (jobId, step) => this.caps?.mayWait(this.site.jobs.getAccountName(jobId), step) === true
    })
  }

  /**
   * Plays a schedule.
   * @param schedule The jobs and the faults.
   * @param onLog Receives the log lines of all instances; by default, they are dropped.
   * @returns What the play has shown.
   */
  static async run (schedule: SearchSchedule, onLog?: SearchLog): Promise<SearchResult> {
    const play = new SearchPlay(schedule, onLog)
    try {
      return await play.run()
    } finally {
      play.shutDown()
    }
  }

  private async run (): Promise<SearchResult> {
    const { schedule, faults, lastingFaults, lostJobs } = this
    await this.playEvents()
    faults.endAll()
    for (const fault of schedule.lasting) lastingFaults.start(fault)
    await lostJobs.advance(CLOSING_DELAY_MILLISECONDS)
    for (const fault of schedule.closing) faults.start(fault)
    await this.waitForClosing()
    await lostJobs.advance(FINISH_MILLISECONDS)
    lostJobs.startFinish()
    await lostJobs.advance(JUDGED_MILLISECONDS)
    lastingFaults.endAll()
    await lostJobs.advance(SETTLE_MILLISECONDS)
    await this.checkStates()
    const lost = lostJobs.violations.map(work => `lost: ${JSON.stringify(work)}`)
    return {
      violations: [...this.getRunViolations(), ...this.caps?.violations ?? [], ...lost, ...this.violations],
      acceptedCount: this.clients.filter(({ isAccepted }) => isAccepted).length,
      startCount: this.site.judge.startCount,
      longestWaitMilliseconds: lostJobs.longestWaitMilliseconds
    }
  }

  /** Waits until the closing faults have ended and all instances that they have ended run again. */
  private async waitForClosing (): Promise<void> {
    const { clock, faults, lostJobs } = this
    const end = clock.monotonicMilliseconds() + CLOSING_LIMIT_MILLISECONDS
    while (faults.calmSince === null && clock.monotonicMilliseconds() < end) await lostJobs.advance(SAMPLE_MILLISECONDS)
    faults.endAll()
  }

  private getCalmSince (): number | null {
    const [first, second] = [this.faults.calmSince, this.lastingFaults.calmSince]
    return first === null || second === null ? null : Math.max(first, second)
  }

  /** Returns the violations of single runs; a scheduled task may start earlier by the step of a clock. */
  private getRunViolations (): string[] {
    const hasClockStep = this.schedule.faults.some(({ kind }) => kind === 'clock-step')
    return this.site.judge.violations.filter(violation => {
      const [, earlyMilliseconds] = /^order: (\d+) ms early/.exec(violation) ?? []
      return earlyMilliseconds === undefined || !hasClockStep || Number(earlyMilliseconds) > CLOCK_STEP_MILLISECONDS
    })
  }

  private async playEvents (): Promise<void> {
    const { schedule, clock, lostJobs } = this
    const events = [
      ...schedule.jobs.map(job => ({ at: job.atMilliseconds, run: () => { this.submit(job) } })),
      ...schedule.accountVersions.map(({ atMilliseconds, accounts }) => ({
        at: atMilliseconds, run: () => { this.site.operators.changeAccounts(accounts) }
      })),
      ...schedule.faults.map(fault => ({ at: fault.atMilliseconds, run: () => { this.faults.start(fault) } }))
    ]
    events.sort((left, right) => left.at - right.at)
    for (const { at, run } of events) {
      await lostJobs.advance(Math.max(0, at - clock.monotonicMilliseconds()))
      run()
    }
    await lostJobs.advance(Math.max(0, 2000 + schedule.lengthMilliseconds - clock.monotonicMilliseconds()))
  }

  /** Sends a job until it is accepted, as a client does that gets no answer or is told to come back. */
  private async submit (job: SearchJob): Promise<void> {
    const client: ClientRecord = { job, isAccepted: false, isCancelled: false }
    this.clients.push(client)
    for (let attempt = 0; attempt < SUBMISSION_LIMIT && !client.isAccepted; attempt++) {
      if (attempt > 0) await this.wait(RETRY_MILLISECONDS)
      await Promise.race([this.send(client), this.wait(EMULATED_WAIT.milliseconds)])
    }
  }

  private async send (client: ClientRecord): Promise<void> {
    const { job } = client
    const { jobId, steps, task, schedule, queueName, accountName, isRepeated, cancelAfterMilliseconds } = job
    const outcome = await this.site.submit(
      jobId, steps, task, this.site.chooseInstance(), { queueName, accountName, ...schedule })
    if (outcome.kind !== 'accepted' || client.isAccepted) return
    client.isAccepted = true
    if (task.failsAlways !== true) this.lostJobs.recordAcceptedJob(jobId)
    if (isRepeated) this.clock.setTimer(REPETITION_DELAY_MILLISECONDS, () => { this.send(client) })
    if (cancelAfterMilliseconds !== null) this.clock.setTimer(cancelAfterMilliseconds, () => this.cancel(client))
  }

  private cancel (client: ClientRecord): void {
    client.isCancelled = true
    const { jobId } = client.job
    this.lostJobs.recordCancellation(jobId)
    const { instance, process } = this.site.chooseInstance()
    process.receive(instance.gateway.cancel(jobId, EMULATED_WAIT))
  }

  /** Looks all accepted jobs up and compares their states with what their runs have done. */
  private async checkStates (): Promise<void> {
    const accepted = this.clients.filter(({ isAccepted }) => isAccepted)
    const { judge } = this.site
    // Tasks whose completions were lost with their workers must run again when there is room, and wait otherwise.
    const wereDone = accepted.map(({ job }) => !judge.hasRunning(job.jobId) &&
      getTaskNames(job).every(name => judge.isDone(name)) && !this.lostJobs.mayHaveToRepeat(job.jobId))
    await this.lostJobs.advance(DURABILITY_MILLISECONDS)
    const { instance, process } = this.site.chooseInstance()
    const states = Promise.all(accepted.map(async ({ job: { jobId } }) => {
      const outcome = await process.receive(instance.gateway.getState(jobId, EMULATED_WAIT))
      return outcome.kind === 'known' ? outcome.state : outcome.kind
    }))
    await this.lostJobs.advance(LOOKUP_MILLISECONDS)
    const answered = await Promise.race([states, Promise.resolve(null)])
    if (answered === null) this.violations.push('lost: a job was looked up and no answer came')
    for (const [index, client] of (answered === null ? [] : accepted).entries()) {
      const { job } = client
      const failure = this.findFalseState(client, answered![index], wereDone[index])
      if (failure === null) continue
      this.violations.push(`state: ${job.jobId} (${job.kind}) is ${answered![index]}, ${failure}`)
    }
  }

  private findFalseState ({ job, isCancelled }: ClientRecord, state: string, wasDone: boolean): string | null {
    const { judge } = this.site
    if (state === 'completed') {
      return getTaskNames(job).every(name => judge.isDone(name)) ? null : 'but not all of its tasks are done'
    }
    if (state === 'failed') return judge.mayHaveFailed(job.jobId) ? null : 'but no task of it has failed so often'
    if (state === 'cancelled') return isCancelled ? null : 'but nobody cancelled it'
    if (state === 'missing' || state === 'unavailable') return 'but it was accepted'
    if (isCancelled) return null
    return wasDone ? 'but all of its tasks are done' : null
  }

  /** Adds a worker of the size and at the place of another one. */
  private addWorker (workerId: string, otherId: string): void {
    const { workers } = this.schedule
    const other = this.descriptions.get(otherId) ?? workers[Number(otherId.split('-')[1]) % workers.length]
    const description = { ...other, workerId }
    this.descriptions.set(workerId, description)
    this.site.addWorker(workerId, description)
  }

  private shutDown (): void {
    for (const worker of this.site.workers.values()) worker.shutDown()
    for (const { process } of this.site.instances) process.kill()
  }

  private wait (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.clock.setTimer(milliseconds, resolve) })
  }
}

function getTaskNames ({ jobId, steps, schedule }: SearchJob): string[] {
  const occurrences = Array.from({ length: Math.max(1, schedule.repeatCount) }, (_, occurrence) => occurrence)
  return occurrences.flatMap(occurrence => steps.flatMap(({ taskCount = 1 }, step) =>
    Array.from({ length: taskCount }, (_, index) => `${jobId}.${occurrence}.${step}.${index}`)))
}
