import { Args, Flags } from '@oclif/core'
import { ConfigurationWriter, type ConfigurationBase } from '../../configuration/ConfigurationWriter.js'
import type { CompiledPolicy } from '../../policy/CompiledPolicy.js'
import { diffPolicies, formatPolicyDifference } from '../../policy/diffPolicies.js'
import { changeConfiguration } from '../changeConfiguration.js'
import { OperatorCommand, reasonFlag, retryFlag, yesFlag } from '../OperatorCommand.js'
import { compileStoredPolicy } from '../compileStoredPolicy.js'
import { readPolicyFile } from '../readPolicyFile.js'

/** Puts a policy file in force. */
export class PolicyApply extends OperatorCommand {
  static override summary = 'Put a policy file in force.'
  static override description = 'Checks the file, shows what changes, asks, and makes the policy durable; it is in force everywhere within 3 seconds. Exit codes: 0 accepted, 3 faults in the file, 4 no effect, 5 another change came first, 6 store not reachable, 7 outcome unknown, 8 not confirmed.'
  static override examples = [
    '<%= config.bin %> <%= command.id %> examples/growthmark.policy --reason "December peak"',
    '<%= config.bin %> <%= command.id %> my.policy --reason "more room for proofs" --yes --seen-version 41'
  ]

  static override args = { file: Args.string({ description: 'the policy file', required: true }) }
  static override flags = {
    reason: reasonFlag,
    yes: yesFlag,
    retry: retryFlag,
    'seen-version': Flags.integer({ description: 'refuse when the policy changed after this version', min: 0 })
  }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(PolicyApply)
    const tableService = this.openTableService(flags)
    const { operator } = this.requireSettings(flags, ['operator'])
    const { text, policy } = this.unwrap(readPolicyFile(args.file, { instances: await this.readInstances(flags) }))
    const accepted = this.unwrap(await changeConfiguration({
      writer: ConfigurationWriter.create({ tableService, clock: this.clock }),
      change: { kind: 'policy-apply', policyText: text },
      origin: { operator, reason: flags.reason },
      retry: flags.retry,
      review: async base => await this.review(base, policy, flags)
    }))
    const { version } = accepted.configuration
    this.log(`accepted as version ${version}`)
    return { version, record: accepted.record }
  }

  private async review (
    base: ConfigurationBase,
    policy: CompiledPolicy,
    flags: { yes: boolean, 'seen-version'?: number }
  ): Promise<void> {
    const policyVersion = base.head.sections.policy
    const seenVersion = flags['seen-version']
    if (seenVersion !== undefined && policyVersion > seenVersion) {
      this.fail({
        code: 'lostRace',
        message: `the policy changed in version ${policyVersion}, after version ${seenVersion} that you saw; nothing was changed`,
        next: 'see the change with "papayamoor policy history", and take it over into your file'
      })
    }
    const before = compileStoredPolicy(base.configuration.policyText)
    this.logToStderr(formatPolicyDifference(diffPolicies(before, policy)))
    await this.requireConfirmation(`This replaces the policy of version ${policyVersion}.`, flags.yes)
  }
}
