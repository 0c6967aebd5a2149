import { setTimeout as delay } from 'node:timers/promises'
import type { RunInterval, RunReport } from '../../stand-ins/workers/RunLog.js'
import { thuanPhat, type Deployment } from './deployments.js'
import { DeploymentProcesses, type ProductProcess } from './DeploymentProcesses.js'
import { JobSubmitter, type DemoJob } from './JobSubmitter.js'
import { operatorCommands } from './operatorCommands.js'
import { ProcessGroup } from './ProcessGroup.js'
import { RequestCallers } from './RequestCallers.js'

/** The number of processes of each program that a failure test needs, and the seed of the stand-ins. */
export interface SmallDeploymentOptions {
  entries: number
  schedulers: number
  seed: number
}

/** Two workers and two upstreams in each data centre, so that one of each can fail and the processes start quickly. */
const smallDeployment: Deployment = {
  ...thuanPhat,
  upstreams: { ...thuanPhat.upstreams, count: 6 },
  workers: { ...thuanPhat.workers, count: 6 },
  policyFile: 'tools/demo/small.policy'
}

const POLL_INTERVAL_MILLISECONDS = 50
/** How often the state of an unfinished task is read, to fail early when the task has failed. */
const STATE_CHECK_INTERVAL_MILLISECONDS = 3000

/** A small deployment in separate processes, for failure tests. */
export class SmallDeployment {
  private constructor (
    readonly group: ProcessGroup,
    readonly processes: DeploymentProcesses,
    readonly callers: RequestCallers,
    readonly submitter: JobSubmitter
  ) {}

  /**
   * Starts the processes, applies the policy, runs a test and kills all processes.
   * @param options The number of processes and the seed.
   * @param run Runs the test on the deployment.
   */
  static async runTest (
    options: SmallDeploymentOptions,
    run: (deployment: SmallDeployment) => Promise<void>
  ): Promise<void> {
    const group = ProcessGroup.create()
    const processes = await DeploymentProcesses.create({ deployment: smallDeployment, group, ...options })
    const [entryUrls, schedulerUrls] = (['entry', 'scheduler'] as const)
      .map(program => processes.getProducts(program).map(({ url }) => url))
    const callers = RequestCallers.create({ service: smallDeployment.service, entryUrls, name: 'caller' })
    const submitter = JobSubmitter.create({ schedulerUrls })
    const deployment = new SmallDeployment(group, processes, callers, submitter)
    try {
      await processes.startStandIns()
      await processes.startProducts()
      await deployment.runOperatorCommand(operatorCommands.applyPolicy(smallDeployment.policyFile))
      await run(deployment)
    } finally {
      await callers.close()
      await group.killAll()
    }
  }

  /**
   * Runs the operator command-line tool and throws if it fails.
   * @param commandLine The arguments.
   */
  async runOperatorCommand (commandLine: string[]): Promise<void> {
    const { code, standardError } = await this.processes.runOperatorCommand(...commandLine)
    if (code !== 0) throw new Error(`papayamoor ${commandLine.join(' ')}: exit code ${code}\n${standardError}`)
  }

  /**
   * Submits a job and throws if it is not accepted.
   * @param job The key, and the fields that differ from one task of the batch kind with one processor.
   * @returns The identifiers of the tasks.
   */
  async submit (job: Partial<DemoJob> & { key: string }): Promise<string[]> {
    const { batch } = smallDeployment.work
    const outcome = await this.submitter.submit({ ...batch, count: 1, processors: 1, runMilliseconds: 1000, ...job })
    if (outcome.kind !== 'accepted') throw new Error(`the job ${job.key} was not accepted: ${JSON.stringify(outcome)}`)
    return outcome.taskIds
  }

  /**
   * Waits until a scheduler owns a shard.
   * @param shardId The identifier of the shard.
   * @returns The scheduler that owns the shard.
   */
  async waitForOwner (shardId: string): Promise<ProductProcess> {
    return await this.waitFor(`an owner of ${shardId}`, async () => {
      const row = await this.processes.readOwner(shardId)
      return this.processes.getProducts('scheduler').find(({ name }) => name === row?.owner)
    })
  }

  /**
   * Polls the workers' log of runs until it contains what a test waits for; throws when the deadline passes.
   * @param description What the test waits for, for the error message.
   * @param find Returns the awaited value, or undefined as long as the log does not contain it.
   * @param deadlineMilliseconds How long to wait.
   * @returns The value that `find` returned.
   */
  async waitForRuns<Found> (
    description: string,
    find: (runs: RunInterval[], report: RunReport) => Found | undefined,
    deadlineMilliseconds = 20_000
  ): Promise<Found> {
    return await this.waitFor(description, async () => {
      const report = await this.processes.readRuns()
      return find(report.runs, report)
    }, deadlineMilliseconds)
  }

  /**
   * Waits until all tasks have completed; throws when a task has failed or the deadline passes.
   * @param taskIds The identifiers of the tasks.
   * @param deadlineMilliseconds How long to wait.
   */
  async waitUntilFinished (taskIds: string[], deadlineMilliseconds = 30_000): Promise<void> {
    const deadline = performance.now() + deadlineMilliseconds
    for (;;) {
      const readRuns = () => this.processes.readRuns()
      const unfinished = await this.submitter.waitUntilFinished(taskIds, readRuns, STATE_CHECK_INTERVAL_MILLISECONDS)
      if (unfinished.length === 0) return
      const task = await this.submitter.getTask(unfinished[0])
      if (task?.state !== 'failed' && performance.now() < deadline) continue
      const startedTaskIds = new Set((await readRuns()).runs.map(run => run.taskId))
      const neverRan = unfinished.filter(taskId => !startedTaskIds.has(taskId)).length
      const counts = `${unfinished.length} of ${taskIds.length} tasks did not complete, ${neverRan} of them never started`
      throw new Error(`${counts}; for example ${JSON.stringify(task)}`)
    }
  }

  private async waitFor<Found> (
    description: string,
    find: () => Promise<Found | undefined>,
    deadlineMilliseconds = 20_000
  ): Promise<Found> {
    const deadline = performance.now() + deadlineMilliseconds
    for (;;) {
      const found = await find()
      if (found !== undefined) return found
      if (performance.now() > deadline) throw new Error(`timed out waiting for ${description}`)
      await delay(POLL_INTERVAL_MILLISECONDS)
    }
  }
}
