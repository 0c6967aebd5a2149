import { Args, Flags } from '@oclif/core'
import { OperatorCommand } from '../OperatorCommand.js'
import { readPolicyFile } from '../readPolicyFile.js'

/** Checks a policy file without changing anything. */
export class PolicyCheck extends OperatorCommand {
  static override summary = 'Check a policy file and report every fault.'
  static override description = 'Changes nothing and needs no settings. With --instance-list-url the quotas are checked against the workers. Exit codes: 0 no faults, 3 faults.'
  static override examples = [
    '<%= config.bin %> <%= command.id %> examples/thuan-phat.policy',
    '<%= config.bin %> <%= command.id %> my.policy --kinds limit-check,dossier-draft --worker 33x16,60,0'
  ]

  static override args = { file: Args.string({ description: 'the policy file', required: true }) }
  static override flags = {
    kinds: Flags.string({ description: 'all kinds that callers submit, separated by commas' }),
    worker: Flags.string({
      description: 'workers as COUNTxPROCESSORS,GB,ACCELERATORS', multiple: true, multipleNonGreedy: true
    })
  }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(PolicyCheck)
    const checked = readPolicyFile(args.file, {
      kinds: flags.kinds, workers: flags.worker, instances: await this.readInstances(flags)
    })
    const { policy } = this.unwrap(checked)
    this.log(`${args.file}: ${policy.rules.length} rules, no faults`)
    return { file: args.file, rules: policy.rules, faults: [] }
  }
}
