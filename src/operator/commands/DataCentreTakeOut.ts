import { Args, Flags } from '@oclif/core'
import { ConfigurationWriter } from '../../configuration/ConfigurationWriter.js'
import { changeConfiguration } from '../changeConfiguration.js'
import { checkName } from '../checkName.js'
import { OperatorCommand, reasonFlag, retryFlag, yesFlag } from '../OperatorCommand.js'

/** Takes a data centre out of service. */
export class DataCentreTakeOut extends OperatorCommand {
  static override summary = 'Take a data centre out of service.'
  static override description = 'No task start becomes durable there once this is accepted, and none begins more than a few seconds later. Running tasks are checkpointed and moved. With --lost its workers are declared certainly off, and their tasks resume elsewhere at once: use it only when you know that they no longer run. Exit codes: 0 accepted, 4 out already or unknown, 5 another change came first, 6 store not reachable, 7 outcome unknown, 8 not confirmed.'
  static override examples = [
    '<%= config.bin %> <%= command.id %> south-b --reason "cooling is being repaired"',
    '<%= config.bin %> <%= command.id %> north-a --lost --yes --reason "fire, power is off, seen on site"'
  ]

  static override args = { dataCentre: Args.string({ description: 'the data centre', required: true }) }
  static override flags = {
    reason: reasonFlag,
    yes: yesFlag,
    retry: retryFlag,
    lost: Flags.boolean({ description: 'its workers are certainly off and run nothing', default: false })
  }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(DataCentreTakeOut)
    const { dataCentre } = args
    const tableService = this.openTableService(flags)
    const { operator } = this.requireSettings(flags, ['operator'])
    const instances = await this.readInstances(flags)
    this.unwrap(checkName('data centre', dataCentre, instances?.map(instance => instance.dataCentre) ?? null))
    const question = flags.lost
      ? `This declares that nothing runs in ${dataCentre} any more. If that is wrong, its tasks will run twice.`
      : `This stops new starts in ${dataCentre} and moves its running tasks.`
    const accepted = this.unwrap(await changeConfiguration({
      writer: ConfigurationWriter.create({ tableService, clock: this.clock }),
      change: { kind: 'data-centre-take-out', dataCentre, lost: flags.lost },
      origin: { operator, reason: flags.reason },
      retry: flags.retry,
      review: async () => await this.requireConfirmation(question, flags.yes)
    }))
    const { version } = accepted.configuration
    this.log(`accepted as version ${version}: ${accepted.record.summary}; watch it empty with "papayamoor status"`)
    return { version, record: accepted.record }
  }
}
