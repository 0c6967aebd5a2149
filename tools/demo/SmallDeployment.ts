import { setTimeout as delay } from 'node:timers/promises'
import type { RunInterval, RunReport } from '../../stand-ins/workers/RunLog.js'
import { thuanPhat, type Deployment } from './deployments.js'
import { DeploymentProcesses, type ProductProcess } from './DeploymentProcesses.js'
import { JobSubmitter, type DemoJob } from './JobSubmitter.js'
import { operatorCommands } from './operatorCommands.js'
import { ProcessGroup } from './ProcessGroup.js'
import { RequestCallers } from './RequestCallers.js'

/** How many processes of each program a failure test needs. */
export interface SmallDeploymentOptions {
  entries: number
  schedulers: number
  seed: number
}

/** Two workers and two upstreams in each data centre: enough for a fault, and quick to start. */
const smallDeployment: Deployment = {
  ...thuanPhat,
  upstreams: { ...thuanPhat.upstreams, count: 6 },
  workers: { ...thuanPhat.workers, count: 6 },
  policyFile: 'tools/demo/small.policy'
}

const POLL_INTERVAL_MILLISECONDS = 50
/** How often the state of an unfinished task is looked at, to give up early when it can no longer finish. */
const STATE_CHECK_INTERVAL_MILLISECONDS = 3000

/** A small deployment as separate processes, for failure tests. */
export class SmallDeployment {
  private constructor (
    readonly group: ProcessGroup,
    readonly processes: DeploymentProcesses,
    readonly callers: RequestCallers,
    readonly submitter: JobSubmitter
  ) {}

  /**
   * Starts the processes, loads the policy, runs the test and ends all processes.
   * @param options How many processes.
   * @param run The test.
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
   * Runs the operators' command, which must succeed.
   * @param commandLine Its arguments.
   */
  async runOperatorCommand (commandLine: string[]): Promise<void> {
    const { code, standardError } = await this.processes.runOperatorCommand(...commandLine)
    if (code !== 0) throw new Error(`papayamoor ${commandLine.join(' ')}: exit code ${code}\n${standardError}`)
  }

  /**
   * Submits a job of drafts, which must be accepted.
   * @param job What differs from a draft of one processor.
   * @returns The tasks.
   */
  async submit (job: Partial<DemoJob> & { key: string }): Promise<string[]> {
    const { batch } = smallDeployment.work
    const outcome = await this.submitter.submit({ ...batch, count: 1, processors: 1, runMilliseconds: 1000, ...job })
    if (outcome.kind !== 'accepted') throw new Error(`the job ${job.key} was not accepted: ${JSON.stringify(outcome)}`)
    return outcome.taskIds
  }

  /**
   * Waits until a scheduler owns a shard.
   * @param shardId The shard.
   * @returns The scheduler.
   */
  async waitForOwner (shardId: string): Promise<ProductProcess> {
    return await this.waitFor(`an owner of ${shardId}`, async () => {
      const row = await this.processes.readOwner(shardId)
      return this.processes.getProducts('scheduler').find(({ name }) => name === row?.owner)
    })
  }

  /**
   * Waits until the workers' log shows something.
   * @param description What is waited for, for the message.
   * @param find Returns it, or undefined as long as the log does not show it.
   * @param deadlineMilliseconds How long to wait.
   * @returns What was found.
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
   * Waits until all tasks have run to their end; throws when one has failed or the deadline passes.
   * @param taskIds The tasks.
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
      const begun = new Set((await readRuns()).runs.map(run => run.taskId))
      const neverRan = unfinished.filter(taskId => !begun.has(taskId)).length
      const counts = `${unfinished.length} of ${taskIds.length} tasks did not finish, ${neverRan} of them never ran`
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
      if (performance.now() > deadline) throw new Error(`waited in vain for ${description}`)
      await delay(POLL_INTERVAL_MILLISECONDS)
    }
  }
}
