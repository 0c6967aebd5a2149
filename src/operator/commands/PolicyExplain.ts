import { Args, Flags } from '@oclif/core'
import { ConfigurationWriter } from '../../configuration/ConfigurationWriter.js'
import { explainKind, formatKindExplanation, listKinds } from '../../policy/explainKind.js'
import { compileStoredPolicy } from '../compileStoredPolicy.js'
import { OperatorCommand } from '../OperatorCommand.js'
import { describeChangeFailure } from '../OperatorFailure.js'
import { readPolicyFile } from '../readPolicyFile.js'

/** Explains which rules and defaults apply to a kind of work. */
export class PolicyExplain extends OperatorCommand {
  static override summary = 'Explain how a kind of work is treated, and why.'
  static override description = 'Lists the rules that apply, in their order, who asked for each and why, and what follows. Without a kind it lists the kinds that the policy names. Exit codes: 0 explained, 3 faults in the file, 6 store not reachable.'
  static override examples = [
    '<%= config.bin %> <%= command.id %> limit-check',
    '<%= config.bin %> <%= command.id %> colour-match --file examples/growthmark.policy'
  ]

  static override args = { kind: Args.string({ description: 'the kind of work' }) }
  static override flags = { file: Flags.string({ description: 'a policy file instead of the policy in force' }) }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(PolicyExplain)
    const policy = await this.readPolicy(flags)
    const kinds = args.kind === undefined ? listKinds(policy) : [args.kind]
    const explanations = kinds.map(kind => explainKind(policy, kind))
    this.log(explanations.map(formatKindExplanation).join('\n\n'))
    return { explanations }
  }

  private async readPolicy (flags: { file?: string }) {
    if (flags.file !== undefined) return this.unwrap(readPolicyFile(flags.file, { instances: null })).policy
    const writer = ConfigurationWriter.create({ tableService: this.openTableService(flags), clock: this.clock })
    const base = await writer.readBase()
    if (base.kind === 'failed') return this.fail(describeChangeFailure(base.failure))
    return compileStoredPolicy(base.value.configuration.policyText)
  }
}
