import { Errors, Flags } from '@oclif/core'
import { AuditLog } from '../../audit/AuditLog.js'
import type { AuditKind } from '../../audit/AuditRecord.js'
import { formatAuditRecords } from '../formatAuditRecords.js'
import { OperatorCommand } from '../OperatorCommand.js'
import { describeUnavailable } from '../OperatorFailure.js'

const AUDIT_KINDS: readonly AuditKind[] = [
  'policy-apply', 'data-centre-take-out', 'data-centre-bring-back', 'worker-quarantine', 'worker-release',
  'worker-declare-lost', 'task-submit', 'task-cancel'
]

/** A time of the day in ISO 8601, or a span before now such as `2h`. */
const createTimeFlag = (properties: {
  description: string
  default?: () => Promise<string>
  defaultHelp?: () => Promise<string>
}) =>
  Flags.string({ ...properties, parse: async text => parseTime(text, Date.now()) })
const UNIT_MILLISECONDS: Record<string, number> = { m: 60_000, h: 3_600_000, d: 86_400_000 }

/** Lists what operators did. */
export class Audit extends OperatorCommand {
  static override summary = 'List what operators did, in the order of the versions.'
  static override description = 'Lists the last seven days unless --since is given. Records are never changed or deleted. Times are those of the operators\' machines. Exit codes: 0 listed, 6 store not reachable.'
  static override examples = [
    '<%= config.bin %> <%= command.id %> --since 2h',
    '<%= config.bin %> <%= command.id %> --by hanh --kind data-centre-take-out --kind data-centre-bring-back',
    '<%= config.bin %> <%= command.id %> --since 2026-12-01 --until 2026-12-02 --json'
  ]

  static override flags = {
    since: createTimeFlag({
      description: 'only records from this time on: ISO 8601, or a span before now such as 30m, 2h, 7d',
      // A filter that matches little would otherwise read the log of years.
      default: async () => parseTime('7d', Date.now()),
      defaultHelp: async () => '7d'
    }),
    until: createTimeFlag({ description: 'only records before this time' }),
    by: Flags.string({ description: 'only records of this operator' }),
    kind: Flags.string({ description: 'only records of this kind', options: AUDIT_KINDS, multiple: true, multipleNonGreedy: true }),
    limit: Flags.integer({ description: 'the greatest number of records, the newest ones', default: 50, min: 1 })
  }

  async run (): Promise<unknown> {
    const { flags } = await this.parse(Audit)
    const tableService = this.openTableService(flags)
    const { version } = await this.readHead(tableService)
    const log = AuditLog.create({ tableService, clock: this.clock })
    const records = await log.list({
      since: flags.since,
      until: flags.until,
      operator: flags.by,
      kinds: flags.kind as AuditKind[] | undefined,
      limit: flags.limit
    }, version)
    if (records.kind === 'failed') return this.fail(describeUnavailable('the table service', records.failure.reason))
    this.log(formatAuditRecords(records.value))
    return { records: records.value }
  }
}

/**
 * Parses a time.
 * @param text ISO 8601, or a span before now such as `30m`, `2h` or `7d`.
 * @param nowMilliseconds The wall time.
 * @returns The time in ISO 8601.
 */
export function parseTime (text: string, nowMilliseconds: number): string {
  const duration = /^(\d{1,6})([mhd])$/.exec(text)
  const time = duration === null ? Date.parse(text) : nowMilliseconds - Number(duration[1]) * UNIT_MILLISECONDS[duration[2]]
  if (Number.isNaN(time)) {
    throw new Errors.CLIError(`${JSON.stringify(text)} is not a time; expected for example 2026-12-01T08:00 or 2h`)
  }
  return new Date(time).toISOString()
}
