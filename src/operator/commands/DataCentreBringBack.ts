import { Args } from '@oclif/core'
import { ConfigurationWriter } from '../../configuration/ConfigurationWriter.js'
import { changeConfiguration } from '../changeConfiguration.js'
import { OperatorCommand, reasonFlag, retryFlag } from '../OperatorCommand.js'

/** Brings a data centre back into service. */
export class DataCentreBringBack extends OperatorCommand {
  static override summary = 'Bring a data centre back into service.'
  static override description = 'Also ends a declaration that it is lost. Its workers get new work as soon as they answer. Exit codes: 0 accepted, 4 in service already, 5 another change came first, 6 store not reachable, 7 outcome unknown.'
  static override examples = ['<%= config.bin %> <%= command.id %> south-b --reason "cooling repaired and tested"']
  static override args = { dataCentre: Args.string({ description: 'the data centre', required: true }) }
  static override flags = { reason: reasonFlag, retry: retryFlag }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(DataCentreBringBack)
    const tableService = this.openTableService(flags)
    const { operator } = this.requireSettings(flags, ['operator'])
    const accepted = this.unwrap(await changeConfiguration({
      writer: ConfigurationWriter.create({ tableService, clock: this.clock }),
      change: { kind: 'data-centre-bring-back', dataCentre: args.dataCentre },
      origin: { operator, reason: flags.reason },
      retry: flags.retry,
      review: async () => {}
    }))
    const { version } = accepted.configuration
    this.log(`accepted as version ${version}: ${accepted.record.summary}`)
    return { version, record: accepted.record }
  }
}
