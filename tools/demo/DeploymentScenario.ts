import { setTimeout as delay } from 'node:timers/promises'
import type { RunInterval } from '../../stand-ins/workers/RunLog.js'
import type { Deployment } from './deployments.js'
import { DeploymentProcesses } from './DeploymentProcesses.js'
import { summarizeTasks, type DemoSummary, type OutOfServicePeriod } from './DemoSummary.js'
import { JobSubmitter, type DemoJob } from './JobSubmitter.js'
import { operatorCommands } from './operatorCommands.js'
import type { ProcessGroup, ProgramExit } from './ProcessGroup.js'
import { RequestCallers, type CallerRequest } from './RequestCallers.js'

/** The options of a scenario. */
export interface DeploymentScenarioOptions {
  deployment: Deployment
  group: ProcessGroup
  seed: number
  /** Logs one line about the progress of the scenario. */
  log: (line: string) => void
}

const URGENT_PER_SECOND = 60
const SUBMISSIONS_PER_SECOND = 4
/** One in this many submissions is sent twice at the same time, as by a caller that retries early. */
const SUBMISSIONS_PER_DUPLICATE = 5
const URGENT_DEADLINE_MILLISECONDS = 2000
const SUBMISSION_DEADLINE_MILLISECONDS = 8000
const SERVICE_MILLISECONDS = { 'limit-check': 20, 'permit-submission': 60, proof: 80, 'chart-order': 60 }
const STANDING_RUN_MILLISECONDS = 1_000_000_000
/** How long callers send requests: from the applied policy until after the planned stop of an entry instance. */
const LOAD_MILLISECONDS = 28_000
const FINISH_DEADLINE_MILLISECONDS = 12_000

/** Runs one deployment from its start to its planned stop, with the faults of an ordinary week. */
export class DeploymentScenario {
  private readonly outOfServicePeriods: OutOfServicePeriod[] = []
  private readonly batchTaskIds: string[] = []
  private readonly standingTaskIds: string[] = []

  private constructor (
    private readonly options: DeploymentScenarioOptions,
    private readonly processes: DeploymentProcesses,
    private readonly callers: RequestCallers,
    private readonly submitter: JobSubmitter
  ) {}

  /**
   * Prepares a scenario with one entry instance and one scheduler in each data centre.
   * @param options The options of the scenario.
   * @returns The scenario.
   */
  static async create (options: DeploymentScenarioOptions): Promise<DeploymentScenario> {
    const { deployment, group, seed } = options
    const count = deployment.dataCentres.length
    const processes = await DeploymentProcesses.create({
      deployment, group, seed, entries: count, schedulers: count, serviceMilliseconds: SERVICE_MILLISECONDS
    })
    const entryUrls = processes.getProducts('entry').map(({ url }) => url)
    // The scenario kills the first scheduler, so jobs are submitted to the other schedulers first.
    const schedulerUrls = processes.getProducts('scheduler').map(({ url }) => url).reverse()
    const callers = RequestCallers.create({ service: deployment.service, entryUrls, name: deployment.name })
    return new DeploymentScenario(options, processes, callers, JobSubmitter.create({ schedulerUrls }))
  }

  /**
   * Runs the scenario.
   * @returns The summary of what the stand-ins and callers counted.
   */
  async run (): Promise<DemoSummary> {
    const { log, deployment } = this.options
    await this.processes.startStandIns()
    await this.processes.startProducts()
    const { workers, upstreams } = deployment
    const { products } = this.processes
    log(`${products.length} papayamoor processes are running with ${workers.count} workers and ${upstreams.count} upstreams`)
    await this.runOperatorCommand(operatorCommands.applyPolicy(deployment.policyFile))
    const load = this.sendRequests()
    await this.runFaults()
    await load
    await this.finishTasks()
    const forcedStops = await this.stopProducts()
    return await this.summarize(forcedStops)
  }

  private async sendRequests (): Promise<void> {
    const { urgentRequest, submission } = this.options.deployment.work
    const createUrgent = (): CallerRequest => ({
      method: 'GET', kind: urgentRequest, deadlineMilliseconds: URGENT_DEADLINE_MILLISECONDS
    })
    const createSubmission = (number: number): CallerRequest => ({
      method: 'POST',
      kind: submission,
      deadlineMilliseconds: SUBMISSION_DEADLINE_MILLISECONDS,
      idempotencyKey: `${submission}-${number}`,
      body: JSON.stringify({ number })
    })
    await Promise.all([
      this.callers.sendEvenly(createUrgent, URGENT_PER_SECOND, LOAD_MILLISECONDS),
      this.callers.sendEvenly(number => {
        const request = createSubmission(number)
        if (number % SUBMISSIONS_PER_DUPLICATE === 0) this.callers.startRequest(request)
        return request
      }, SUBMISSIONS_PER_SECOND, LOAD_MILLISECONDS)
    ])
  }

  private async runFaults (): Promise<void> {
    const { log, deployment, group } = this.options
    const [first, second] = deployment.dataCentres
    // All tasks of a job are first queued in the same data centre, so a wave over all data centres takes several jobs.
    for (let job = 1; job <= 6; job++) await this.submit(`job ${job} of the first wave`, 10, 14_000)
    await this.submitStandingTasks()
    await this.submitOversizedTask()
    await delay(2000)

    const scheduler = this.processes.getProducts('scheduler')[0]
    const ownedBefore = await this.readOwners()
    await group.kill(scheduler.name)
    log(`${scheduler.name} in ${first.name} was killed; owners before the kill: ${formatOwners(ownedBefore)}`)
    await this.submit('wave after the kill', 30, 3000)

    await this.runOperatorCommand(operatorCommands.takeOut(second.name))
    const acceptedAt = Date.now()
    log(`${second.name} is out of service`)
    await this.processes.unlistInstance(scheduler.name)
    await this.submit('wave during the absence', 30, 3000)
    await delay(Math.max(0, acceptedAt + 9000 - Date.now()))
    log(formatOwners(await this.readOwners()))
    this.outOfServicePeriods.push({ dataCentre: second.name, acceptedAt, broughtBackAt: Date.now() })
    await this.runOperatorCommand(operatorCommands.bringBack(second.name))
    log(`${second.name} is back in service`)
    await this.submit(`wave for ${second.name} after its return`, 30, 2000, second.name)

    await this.announceUpstreamLeaving()
    const entry = this.processes.getProducts('entry')[0]
    const exit = await group.stop(entry.name)
    log(`${entry.name} was stopped under load: ${formatExit(exit)}`)
  }

  private async announceUpstreamLeaving (): Promise<void> {
    const upstream = this.processes.getUpstreams()[0]
    await this.processes.setUpstreamFaults(upstream.instanceId, { leaving: true })
    await this.processes.listInstance({ ...upstream, state: 'leaving' })
    this.options.log(`${upstream.instanceId} is leaving`)
  }

  private async submit (
    name: string,
    count: number,
    runMilliseconds: number,
    dataCentre?: string
  ): Promise<void> {
    const { work: { batch } } = this.options.deployment
    const job: DemoJob = {
      ...batch,
      key: name.replaceAll(' ', '-'),
      count,
      processors: 2,
      memoryMegabytes: 2000,
      runMilliseconds,
      ...(dataCentre === undefined ? {} : { dataCentre })
    }
    const outcome = await this.submitter.submit(job)
    if (outcome.kind === 'accepted') this.batchTaskIds.push(...outcome.taskIds)
    this.options.log(`${name}: ${count} ${batch.kind} tasks: ${formatSubmission(outcome)}`)
  }

  private async submitStandingTasks (): Promise<void> {
    const { work: { standing } } = this.options.deployment
    const outcome = await this.submitter.submit({
      ...standing, key: 'standing', count: 4, processors: 1, runMilliseconds: STANDING_RUN_MILLISECONDS
    })
    if (outcome.kind === 'accepted') this.standingTaskIds.push(...outcome.taskIds)
    this.options.log(`4 long-running ${standing.kind} tasks: ${formatSubmission(outcome)}`)
  }

  private async submitOversizedTask (): Promise<void> {
    const { work: { batch }, workers: { capacity } } = this.options.deployment
    const processors = capacity.processors + 1
    const outcome = await this.submitter.submit({
      ...batch, key: 'impossible', count: 1, processors, runMilliseconds: 1
    }, 1000)
    this.options.log(`a task with ${processors} processors, more than any worker has: ${formatSubmission(outcome)}`)
  }

  private async readOwners (): Promise<Map<string, string>> {
    const owners = new Map<string, string>()
    for (const { name } of this.options.deployment.dataCentres) {
      const row = await this.processes.readOwner(name)
      owners.set(name, row === null ? 'no scheduler' : `${row.owner} (epoch ${row.epoch})`)
    }
    return owners
  }

  private async finishTasks (): Promise<void> {
    const readRuns = () => this.processes.readRuns()
    const unfinished = await this.submitter.waitUntilFinished(this.batchTaskIds, readRuns, FINISH_DEADLINE_MILLISECONDS)
    this.options.log(`${this.batchTaskIds.length - unfinished.length} of ${this.batchTaskIds.length} tasks have completed`)
    for (const taskId of unfinished.slice(0, 3)) {
      this.options.log(`unfinished task: ${JSON.stringify(await this.submitter.getTask(taskId))}`)
    }
  }

  /** Stops all papayamoor processes while callers still send requests, the entry instances one after the other. */
  private async stopProducts (): Promise<number> {
    const { group, log } = this.options
    const running = new Set(group.getRunning())
    const isRunning = ({ name }: { name: string }) => running.has(name)
    const entries = this.processes.getProducts('entry').filter(isRunning)
    const schedulers = this.processes.getProducts('scheduler').filter(isRunning)
    const { urgentRequest } = this.options.deployment.work
    const lastRequests = this.callers.sendEvenly(
      () => ({ method: 'GET', kind: urgentRequest, deadlineMilliseconds: URGENT_DEADLINE_MILLISECONDS }),
      URGENT_PER_SECOND, 1000)
    const exits = await Promise.all(schedulers.map(async ({ name }) => await group.stop(name)))
    for (const { name } of entries.slice(0, -1)) exits.push(await group.stop(name))
    await lastRequests
    for (const { name } of entries.slice(-1)) exits.push(await group.stop(name))
    await this.callers.close()
    const forced = exits.filter(({ code }) => code !== 0)
    const slowest = Math.max(...exits.map(({ milliseconds }) => milliseconds))
    log(`${exits.length} processes were stopped, ${exits.length - forced.length} of them with exit code 0, in ${slowest} ms at most`)
    return forced.length
  }

  private async summarize (forcedStops: number): Promise<DemoSummary> {
    this.callers.compareWithUpstreams(await this.processes.readUpstreamCounters())
    const report = await this.processes.readRuns()
    this.logRunStatistics(report.runs)
    for (const fault of this.callers.faults) this.options.log(`caller fault: ${fault}`)
    for (const [kind, durations] of this.callers.durations) {
      this.options.log(`${kind}: ${durations.length} answered, ${formatDurations(durations)}`)
    }
    return {
      ...this.callers.tally,
      ...summarizeTasks(report, this.batchTaskIds, this.standingTaskIds, this.outOfServicePeriods),
      runsNotAccepted: this.submitter.countRunsNotAccepted(report),
      forcedStops
    }
  }

  private logRunStatistics (runs: RunInterval[]): void {
    this.options.log(`${runs.length} runs on the workers`)
    const stopped = runs.filter(run => run.ending === 'stopped').map(run => `${run.kind} in ${run.dataCentre}`)
    for (const name of new Set(stopped)) {
      this.options.log(`${stopped.filter(other => other === name).length} ${name} were evicted`)
    }
    for (const { dataCentre, broughtBackAt } of this.outOfServicePeriods) {
      const started = runs.filter(run => run.dataCentre === dataCentre && run.startedAt > broughtBackAt).length
      this.options.log(`${started} runs started in ${dataCentre} after it was brought back into service`)
    }
  }

  private async runOperatorCommand (commandLine: string[]): Promise<void> {
    const { code, standardOutput, standardError } = await this.processes.runOperatorCommand(...commandLine)
    if (code !== 0) throw new Error(`papayamoor ${commandLine.join(' ')}: exit code ${code}\n${standardError}`)
    this.options.log(`papayamoor ${commandLine.slice(0, 3).join(' ')}: ${standardOutput}`)
  }
}

function formatSubmission (outcome: { kind: string, reason?: string }): string {
  return outcome.reason === undefined ? outcome.kind : `${outcome.kind}: ${outcome.reason}`
}

function formatOwners (owners: Map<string, string>): string {
  return [...owners].map(([shardId, owner]) => `${shardId} is owned by ${owner}`).join(', ')
}

function formatExit (exit: ProgramExit): string {
  return `exit ${exit.code ?? exit.signal} after ${exit.milliseconds} ms`
}

function formatDurations (durations: number[]): string {
  const sorted = [...durations].sort((left, right) => left - right)
  const getQuantile = (share: number) => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]
  return `median ${getQuantile(0.5).toFixed(0)} ms, 99% within ${getQuantile(0.99).toFixed(0)} ms`
}
