import type { ClientAccount } from '../../src/accounts/index.js'
import type { OperatorRow, QueueConfiguration } from '../../src/instance/index.js'
import type { JsonValue } from '../../src/shared/JsonValue.js'
import type { EmulatedTables } from './EmulatedTables.js'

/** Options of the operators. */
export interface EmulatedOperatorsOptions {
  tables: EmulatedTables
  queues: readonly QueueConfiguration[]
  /** The client accounts of the first configuration; by default, it has no list of accounts. */
  accounts?: readonly ClientAccount[]
}

/** The stored form of a configuration: what differs from the queues of the site, and its accounts. */
interface ConfigurationRow {
  version: number
  changes: Partial<QueueConfiguration>
  accounts?: readonly ClientAccount[]
}

/** The table of the operators. */
export const OPERATOR_TABLE = 'operators'
const CONFIGURATION_KEY = 'configuration'

/** The operators of an emulated site, who store configurations and take data centres out of service. */
export class EmulatedOperators {
  /** Called when a version with other accounts has been stored. */
  readonly accountsListeners = new Set<(accounts: readonly ClientAccount[]) => void>()
  private row: ConfigurationRow

  private constructor (private readonly options: EmulatedOperatorsOptions) {
    const { accounts } = options
    this.row = { version: 1, changes: {}, ...accounts !== undefined && { accounts } }
  }

  /**
   * Creates the operators, who have stored a first configuration.
   * @param options The tables of the platform and the first configuration.
   * @returns The operators.
   */
  static create (options: EmulatedOperatorsOptions): EmulatedOperators {
    const operators = new EmulatedOperators(options)
    operators.putConfiguration({})
    return operators
  }

  /** The accounts of the newest configuration; empty without a list of accounts. */
  get accounts (): readonly ClientAccount[] {
    return this.row.accounts ?? []
  }

  /**
   * Stores a new version of the configuration.
   * @param changes What differs from the first version in each queue.
   */
  changeQueues (changes: Partial<QueueConfiguration>): void {
    this.putConfiguration({ changes, version: this.row.version + 1 })
  }

  /** Stores a new version of the configuration with other accounts. */
  changeAccounts (accounts: readonly ClientAccount[]): void {
    this.putConfiguration({ accounts, version: this.row.version + 1 })
    for (const onStored of this.accountsListeners) onStored(accounts)
  }

  /** Returns whether a data centre is out of service. */
  isDataCentreOut (dataCentre: string): boolean {
    return this.options.tables.get({ table: OPERATOR_TABLE, key: `out/${dataCentre}` }) !== null
  }

  /** Takes a data centre out of service, or brings it back. */
  setDataCentreOut (dataCentre: string, isOut: boolean): void {
    const row = { table: OPERATOR_TABLE, key: `out/${dataCentre}`, condition: { kind: 'any' as const } }
    this.options.tables.apply({
      operations: [isOut ? { ...row, kind: 'put', value: dataCentre } : { ...row, kind: 'delete' }]
    })
  }

  /** Decodes a row of the operators' table. */
  decodeRow (key: string, value: JsonValue): OperatorRow {
    if (key.startsWith('out/')) return { kind: 'data-centre-out', dataCentre: String(value) }
    const { version, changes, accounts } = value as unknown as ConfigurationRow
    return {
      kind: 'configuration',
      configuration: {
        version,
        queues: this.options.queues.map(queue => ({ ...queue, ...changes })),
        maximumBodyBytes: 100_000,
        accounts: accounts === undefined ? null : [...accounts]
      }
    }
  }

  private putConfiguration (changes: Partial<ConfigurationRow>): void {
    this.row = { ...this.row, ...changes }
    const value = this.row as unknown as JsonValue
    this.options.tables.apply({
      operations: [{ kind: 'put', table: OPERATOR_TABLE, key: CONFIGURATION_KEY, value, condition: { kind: 'any' } }]
    })
  }
}
