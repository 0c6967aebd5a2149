import { Args } from '@oclif/core'
import { WorkerChangeCommand } from '../WorkerChangeCommand.js'
import { reasonFlag, retryFlag } from '../OperatorCommand.js'

/** Releases a worker. */
export class WorkerRelease extends WorkerChangeCommand {
  static override summary = 'End an operator\'s quarantine of a worker, or the declaration that it is lost.'
  static override description = 'A quarantine that a scheduler decided on ends by itself after probes. Exit codes: 0 accepted, 4 neither quarantined nor lost, 5 another change came first, 6 store not reachable, 7 outcome unknown.'
  static override examples = ['<%= config.bin %> <%= command.id %> worker-17 --reason "disk replaced"']
  static override args = { worker: Args.string({ description: 'the worker', required: true }) }
  static override flags = { reason: reasonFlag, retry: retryFlag }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(WorkerRelease)
    return await this.applyChange({ kind: 'worker-release', workerId: args.worker }, flags)
  }
}
