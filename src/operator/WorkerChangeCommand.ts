import type { ConfigurationChange } from '../configuration/ConfigurationChange.js'
import { ConfigurationWriter } from '../configuration/ConfigurationWriter.js'
import { changeConfiguration } from './changeConfiguration.js'
import { checkName } from './checkName.js'
import { OperatorCommand } from './OperatorCommand.js'

/** The flags of the commands that change what operators say of a worker. */
interface WorkerChangeFlags extends Record<string, unknown> {
  reason: string
  retry: boolean
  yes?: boolean
}

/** What the commands that change what operators say of a worker share. */
export abstract class WorkerChangeCommand extends OperatorCommand {
  /**
   * Makes the change and reports it.
   * @param change The change.
   * @param flags The parsed flags.
   * @param question What to ask before, or null when the change does no harm.
   * @returns The result for `--json`.
   */
  protected async applyChange (
    change: ConfigurationChange & { workerId: string },
    flags: WorkerChangeFlags,
    question: string | null = null
  ): Promise<unknown> {
    const tableService = this.openTableService(flags)
    const { operator } = this.requireSettings(flags, ['operator'])
    if (change.kind !== 'worker-release') {
      const workers = (await this.readInstances(flags))?.filter(instance => instance.role === 'worker')
      this.unwrap(checkName('worker', change.workerId, workers?.map(worker => worker.instanceId) ?? null))
    }
    const accepted = this.unwrap(await changeConfiguration({
      writer: ConfigurationWriter.create({ tableService, clock: this.clock }),
      change,
      origin: { operator, reason: flags.reason },
      retry: flags.retry,
      review: async () => {
        if (question !== null) await this.requireConfirmation(question, flags.yes === true)
      }
    }))
    const { version } = accepted.configuration
    this.log(`accepted as version ${version}: ${accepted.record.summary}`)
    return { version, record: accepted.record }
  }
}
