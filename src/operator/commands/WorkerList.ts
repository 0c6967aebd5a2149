import { Flags } from '@oclif/core'
import { formatTable } from '../formatTable.js'
import { OperatorCommand } from '../OperatorCommand.js'

/** Lists the workers. */
export class WorkerList extends OperatorCommand {
  static override summary = 'List the workers: health, reachability, commitments and running tasks.'
  static override description = 'Asks every scheduler of the instance list, or the one of --scheduler-url. Exit codes: 0 listed, 6 no scheduler answered.'
  static override examples = [
    '<%= config.bin %> <%= command.id %> --data-centre south-a',
    '<%= config.bin %> <%= command.id %> --unhealthy --json'
  ]

  static override flags = {
    'data-centre': Flags.string({ description: 'only workers of this data centre' }),
    unhealthy: Flags.boolean({ description: 'only workers that are quarantined, probed or not reachable', default: false })
  }

  async run (): Promise<unknown> {
    const { flags } = await this.parse(WorkerList)
    const all = await this.listWorkers(flags)
    const dataCentre = flags['data-centre']
    const workers = all.filter(worker => (dataCentre === undefined || worker.dataCentre === dataCentre) &&
      (!flags.unhealthy || worker.health !== 'healthy' || !worker.reachable))
    const headers = ['WORKER', 'DATA CENTRE', 'RACK', 'HEALTH', 'PROCESSORS', 'MEMORY MB', 'ACCELERATORS', 'TASKS']
    this.log(formatTable(headers, workers.map(worker => [
      worker.workerId,
      worker.dataCentre,
      worker.rack,
      worker.reachable ? worker.health : `${worker.health}, not reachable`,
      `${worker.committed.processors}/${worker.capacity.processors}`,
      `${worker.committed.memoryMegabytes}/${worker.capacity.memoryMegabytes}`,
      `${worker.committed.accelerators}/${worker.capacity.accelerators}`,
      String(worker.runningTasks)
    ])))
    return { workers }
  }
}
