import { Args } from '@oclif/core'
import { WorkerChangeCommand } from '../WorkerChangeCommand.js'
import { reasonFlag, retryFlag } from '../OperatorCommand.js'

/** Quarantines a worker. */
export class WorkerQuarantine extends WorkerChangeCommand {
  static override summary = 'Keep new tasks away from a worker.'
  static override description = 'Running tasks stay. The quarantine lasts until "papayamoor worker release". Exit codes: 0 accepted, 4 quarantined already or unknown, 5 another change came first, 6 store not reachable, 7 outcome unknown.'
  static override examples = ['<%= config.bin %> <%= command.id %> worker-17 --reason "disk errors in its log"']
  static override args = { worker: Args.string({ description: 'the worker', required: true }) }
  static override flags = { reason: reasonFlag, retry: retryFlag }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(WorkerQuarantine)
    return await this.applyChange({ kind: 'worker-quarantine', workerId: args.worker }, flags)
  }
}
