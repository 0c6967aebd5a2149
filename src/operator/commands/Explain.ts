import { Args } from '@oclif/core'
import { AuditLog } from '../../audit/AuditLog.js'
import type { AuditRecord } from '../../audit/AuditRecord.js'
import type { Configuration } from '../../configuration/Configuration.js'
import { readHead } from '../../configuration/ConfigurationStore.js'
import type { TaskReport } from '../../scheduler/SchedulerApi.js'
import { CAUSE_WINDOW_MILLISECONDS, explainTask, formatTaskExplanation } from '../explainTask.js'
import { OperatorCommand } from '../OperatorCommand.js'

/** Explains a task. */
export class Explain extends OperatorCommand {
  static override summary = 'Explain why a task waits, runs where it runs, or was moved.'
  static override description = 'Combines the report of the task, the policy and the states of data centres and workers. Exit codes: 0 explained, 4 not found, 6 no scheduler answered.'
  static override examples = ['<%= config.bin %> <%= command.id %> 5f0c-1', '<%= config.bin %> <%= command.id %> 5f0c-1 --json']
  static override args = { task: Args.string({ description: 'the task', required: true }) }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(Explain)
    const task = await this.requireTask(flags, args.task)
    const explanation = explainTask(task, await this.readConfiguration(flags), await this.readChanges(flags, task))
    this.log(formatTaskExplanation(explanation))
    return { explanation, task }
  }

  /** The audit records explain moves; without a table service the rest is explained. */
  private async readChanges (flags: Record<string, unknown>, task: TaskReport): Promise<AuditRecord[]> {
    const [earliest] = task.history
    if (this.getOptionalSetting(flags, 'tableServiceUrl') === undefined || earliest === undefined) return []
    const tableService = this.openTableService(flags)
    const head = await readHead(tableService)
    if (head.kind === 'failed') return []
    const log = AuditLog.create({ tableService, clock: this.clock })
    const kinds = ['data-centre-take-out', 'worker-declare-lost'] as const
    const since = new Date(Date.parse(earliest.at) - CAUSE_WINDOW_MILLISECONDS).toISOString()
    const records = await log.list({ kinds, since }, head.value.head.version)
    return records.kind === 'ok' ? records.value : []
  }

  /** The first scheduler that answers has the version by which decisions are made. */
  private async readConfiguration (flags: Record<string, unknown>): Promise<Configuration | null> {
    for (const { client } of await this.requireSchedulers(flags)) {
      const read = await client.getConfiguration()
      if (read.kind === 'ok') return read.value
    }
    return null
  }
}
