import { Args } from '@oclif/core'
import { OperatorCommand } from '../OperatorCommand.js'

/** Shows a task. */
export class TaskShow extends OperatorCommand {
  static override summary = 'Show a task and its recent transitions.'
  static override description = 'For the reasons behind them see "papayamoor explain". Exit codes: 0 shown, 4 not found, 6 scheduler not reachable.'
  static override examples = ['<%= config.bin %> <%= command.id %> 5f0c-1', '<%= config.bin %> <%= command.id %> 5f0c-1 --json']
  static override args = { task: Args.string({ description: 'the task', required: true }) }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(TaskShow)
    const task = await this.requireTask(flags, args.task)
    this.log([
      `task        ${task.taskId} (attempt ${task.attempt}) of job ${task.jobId}`,
      `team, kind  ${task.team}, ${task.kind}`,
      `state       ${task.state}${task.reason === null ? '' : ` (${task.reason})`}`,
      `place       ${task.workerId ?? 'none'} in ${task.dataCentre ?? 'any data centre'}, shard ${task.shardId}`,
      ...task.history.map(transition => `${transition.at}  ${transition.state}: ${transition.reason}`)
    ].join('\n'))
    return { task }
  }
}
