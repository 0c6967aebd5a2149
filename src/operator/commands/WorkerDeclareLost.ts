import { Args } from '@oclif/core'
import { WorkerChangeCommand } from '../WorkerChangeCommand.js'
import { reasonFlag, retryFlag, yesFlag } from '../OperatorCommand.js'

/** Declares a worker lost. */
export class WorkerDeclareLost extends WorkerChangeCommand {
  static override summary = 'Declare that a worker is certainly off and runs nothing.'
  static override description = 'Its tasks resume elsewhere at once, from their last checkpoints. Use it only when you know that the worker no longer runs; otherwise its tasks run twice. Exit codes: 0 accepted, 4 lost already or unknown, 5 another change came first, 6 store not reachable, 7 outcome unknown, 8 not confirmed.'
  static override examples = ['<%= config.bin %> <%= command.id %> worker-17 --reason "power supply removed, seen on site"']
  static override args = { worker: Args.string({ description: 'the worker', required: true }) }
  static override flags = { reason: reasonFlag, retry: retryFlag, yes: yesFlag }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(WorkerDeclareLost)
    const question = `This declares that nothing runs on ${args.worker} any more. If that is wrong, its tasks will run twice.`
    return await this.applyChange({ kind: 'worker-declare-lost', workerId: args.worker }, flags, question)
  }
}
