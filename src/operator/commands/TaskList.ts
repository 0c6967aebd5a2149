import { Flags } from '@oclif/core'
import type { TaskFilter, TaskState } from '../../scheduler/SchedulerApi.js'
import { formatTable } from '../formatTable.js'
import { callSchedulers, isNewerReport, mergeLists } from '../listSchedulers.js'
import { OperatorCommand } from '../OperatorCommand.js'

const TASK_STATES: readonly TaskState[] = [
  'waiting', 'starting', 'running', 'evicting', 'cancelling', 'transferred', 'completed', 'failed', 'cancelled'
]

/** Lists tasks. */
export class TaskList extends OperatorCommand {
  static override summary = 'List tasks.'
  static override description = 'Asks every scheduler of the instance list, or the one of --scheduler-url. Exit codes: 0 listed, 6 no scheduler answered.'
  static override examples = [
    '<%= config.bin %> <%= command.id %> --state waiting --team dossiers',
    '<%= config.bin %> <%= command.id %> --kind colour-match --json'
  ]

  static override flags = {
    team: Flags.string({ description: 'only tasks of this team' }),
    kind: Flags.string({ description: 'only tasks of this kind' }),
    state: Flags.string({ description: 'only tasks in this state', options: TASK_STATES }),
    limit: Flags.integer({ description: 'the greatest number of tasks', default: 100, min: 1 })
  }

  async run (): Promise<unknown> {
    const { flags } = await this.parse(TaskList)
    const { team, kind, limit } = flags
    const filter: TaskFilter = { team, kind, state: flags.state as TaskState | undefined, limit }
    const schedulers = await this.requireSchedulers(flags)
    const answers = this.requireResponses(await callSchedulers(schedulers, async client => await client.listTasks(filter)))
    const tasks = mergeLists(answers, task => task.taskId, isNewerReport).slice(0, limit)
    this.log(formatTable(['TASK', 'TEAM', 'KIND', 'STATE', 'ATTEMPT', 'WORKER', 'REASON'], tasks.map(task => [
      task.taskId, task.team, task.kind, task.state, String(task.attempt), task.workerId ?? '-', task.reason ?? '-'
    ])))
    return { tasks }
  }
}
