import { ConfigurationWriter } from '../../configuration/ConfigurationWriter.js'
import { formatTable } from '../formatTable.js'
import { OperatorCommand } from '../OperatorCommand.js'
import { describeChangeFailure } from '../OperatorFailure.js'

/** Lists the data centres with their states. */
export class DataCentreList extends OperatorCommand {
  static override summary = 'List the data centres and their states.'
  static override description = 'Without --instance-list-url only data centres that an operator has set are listed. Exit codes: 0 listed, 6 store not reachable.'
  static override examples = ['<%= config.bin %> <%= command.id %>', '<%= config.bin %> <%= command.id %> --json']

  async run (): Promise<unknown> {
    const { flags } = await this.parse(DataCentreList)
    const writer = ConfigurationWriter.create({ tableService: this.openTableService(flags), clock: this.clock })
    const base = await writer.readBase()
    if (base.kind === 'failed') return this.fail(describeChangeFailure(base.failure))
    const { configuration } = base.value
    const instances = await this.readInstances(flags) ?? []
    const settings = new Map(configuration.dataCentres.map(setting => [setting.name, setting]))
    const names = [...new Set([...settings.keys(), ...instances.map(instance => instance.dataCentre)])].sort()
    const dataCentres = names.map(name => {
      const local = instances.filter(instance => instance.dataCentre === name)
      return {
        name,
        state: settings.get(name)?.state ?? 'in-service' as const,
        lost: settings.get(name)?.lost ?? false,
        region: local[0]?.region ?? null,
        workers: local.filter(instance => instance.role === 'worker').length,
        upstreams: local.filter(instance => instance.role === 'upstream').length
      }
    })
    this.log(formatTable(['DATA CENTRE', 'STATE', 'REGION', 'WORKERS', 'UPSTREAMS'], dataCentres.map(dataCentre => [
      dataCentre.name, dataCentre.lost ? `${dataCentre.state}, lost` : dataCentre.state, dataCentre.region ?? '-',
      String(dataCentre.workers), String(dataCentre.upstreams)
    ])))
    return { version: configuration.version, dataCentres }
  }
}
