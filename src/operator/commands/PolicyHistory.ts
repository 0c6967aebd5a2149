import { Flags } from '@oclif/core'
import { AuditLog } from '../../audit/AuditLog.js'
import { getSectionRowKey } from '../../configuration/ConfigurationStore.js'
import { formatAuditRecords } from '../formatAuditRecords.js'
import { OperatorCommand } from '../OperatorCommand.js'
import { describeUnavailable } from '../OperatorFailure.js'

/** Lists the policies that were put in force. */
export class PolicyHistory extends OperatorCommand {
  static override summary = 'List the policies that were put in force, oldest first.'
  static override description = 'With --show the text of one of them is printed, for example to put it in force again. Exit codes: 0 listed, 4 no policy was put in force in that version, 6 store not reachable.'
  static override examples = [
    '<%= config.bin %> <%= command.id %> --limit 5',
    '<%= config.bin %> <%= command.id %> --show 41 > old.policy'
  ]

  static override flags = {
    limit: Flags.integer({ description: 'the greatest number of records', default: 20, min: 1 }),
    show: Flags.integer({ description: 'print the text of the policy that this version put in force', min: 1 })
  }

  async run (): Promise<unknown> {
    const { flags } = await this.parse(PolicyHistory)
    const tableService = this.openTableService(flags)
    if (flags.show !== undefined) return await this.show(flags, flags.show)
    const { sections } = await this.readHead(tableService)
    const log = AuditLog.create({ tableService, clock: this.clock })
    const records = await log.listSectionChanges(sections.policy, flags.limit)
    if (records.kind === 'failed') return this.fail(describeUnavailable('the table service', records.failure.reason))
    this.log(formatAuditRecords(records.value))
    return { records: records.value }
  }

  private async show (flags: Record<string, unknown>, version: number): Promise<unknown> {
    const read = await this.openTableService(flags).read(getSectionRowKey('policy', version))
    if (read.kind !== 'ok') return this.fail(describeUnavailable('the table service', read.reason))
    if (read.value === null) {
      const message = `version ${version} did not put a policy in force`
      return this.fail({ code: 'refused', message, next: 'list the versions with "papayamoor policy history"' })
    }
    const { policyText } = (read.value.value as { content: { policyText: string } }).content
    this.log(policyText)
    return { version, policyText }
  }
}
