import { Args } from '@oclif/core'
import { ConfigurationWriter } from '../../configuration/ConfigurationWriter.js'
import { diffPolicies, formatPolicyDifference } from '../../policy/diffPolicies.js'
import { compileStoredPolicy } from '../compileStoredPolicy.js'
import { OperatorCommand } from '../OperatorCommand.js'
import { describeChangeFailure } from '../OperatorFailure.js'
import { readPolicyFile } from '../readPolicyFile.js'

/** Shows the effects of a policy file, compared with the policy in force or with another file. */
export class PolicyDiff extends OperatorCommand {
  static override summary = 'Show what a policy file would change.'
  static override description = 'Compares what the file and the policy in force decide, not their texts. With a second file the two files are compared. Exit codes: 0 compared, 3 faults in a file, 6 store not reachable.'
  static override examples = [
    '<%= config.bin %> <%= command.id %> examples/growthmark.policy',
    '<%= config.bin %> <%= command.id %> new.policy --json',
    '<%= config.bin %> <%= command.id %> new.policy old.policy'
  ]

  static override args = {
    file: Args.string({ description: 'the new policy file', required: true }),
    from: Args.string({ description: 'a file to compare with instead of the policy in force' })
  }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(PolicyDiff)
    const { policy } = this.unwrap(readPolicyFile(args.file, { instances: null }))
    let version: number | null = null
    let before = null
    if (args.from !== undefined) {
      before = this.unwrap(readPolicyFile(args.from, { instances: null })).policy
    } else {
      const writer = ConfigurationWriter.create({ tableService: this.openTableService(flags), clock: this.clock })
      const base = await writer.readBase()
      if (base.kind === 'failed') return this.fail(describeChangeFailure(base.failure))
      version = base.value.head.sections.policy
      before = compileStoredPolicy(base.value.configuration.policyText)
    }
    const difference = diffPolicies(before, policy)
    this.log(formatPolicyDifference(difference))
    return { fromVersion: version, ...difference }
  }
}
