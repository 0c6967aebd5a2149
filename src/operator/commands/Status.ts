import { ConfigurationWriter } from '../../configuration/ConfigurationWriter.js'
import { callSchedulers, listSchedulers, mergeLists } from '../listSchedulers.js'
import { OperatorCommand } from '../OperatorCommand.js'
import { formatStatus, summarizeStatus } from '../summarizeStatus.js'

/** Shows the state of the deployment. */
export class Status extends OperatorCommand {
  static override summary = 'Show instances, versions in force, shards and owners, queues, and the promises at a glance.'
  static override description = 'Works in an outage too: a part that does not answer is shown as not known. Exit code 0 whatever is shown.'
  static override examples = ['<%= config.bin %> <%= command.id %>', '<%= config.bin %> <%= command.id %> --json']

  async run (): Promise<unknown> {
    const { flags } = await this.parse(Status)
    const instances = await this.readInstances(flags)
    const schedulers = listSchedulers(instances, this.getOptionalSetting(flags, 'schedulerUrl'))
    const writer = ConfigurationWriter.create({ tableService: this.openTableService(flags), clock: this.clock })
    const [statuses, lists, base] = await Promise.all([
      callSchedulers(schedulers, async client => await client.getStatus()),
      callSchedulers(schedulers, async client => await client.listWorkers()),
      writer.readBase()
    ])
    const summary = summarizeStatus({
      instances,
      schedulers: statuses.map(({ instanceId, outcome }) => ({
        instanceId: outcome.kind === 'ok' ? outcome.value.instanceId : instanceId,
        status: outcome.kind === 'ok' ? outcome.value : null
      })),
      workers: lists.some(({ outcome: answer }) => answer.kind === 'ok')
        ? mergeLists(lists, worker => worker.workerId, (left, right) => left.reachable && !right.reachable)
        : null,
      configuration: base.kind === 'ok' ? base.value.configuration : null
    })
    this.log(formatStatus(summary))
    return summary
  }
}
