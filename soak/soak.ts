import { parseArgs } from 'node:util'
import { SoakRun } from './SoakRun.js'

/** With the defaults, all parallel runs together use a few dozen processes; larger runs use up to a few hundred. */
const DEFAULT_PROCESS_COUNT = '4'
const DEFAULT_WORKER_COUNT = '6'
const DURATION_MILLISECONDS = 15_000

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '1' },
    seed: { type: 'string', default: String(Date.now() % 1_000_000) },
    parallel: { type: 'string', default: '3' },
    processes: { type: 'string', default: DEFAULT_PROCESS_COUNT },
    workers: { type: 'string', default: DEFAULT_WORKER_COUNT }
  }
})
const pendingSeeds = Array.from({ length: Number(values.seeds) }, (_, index) => Number(values.seed) + index)
let failedCount = 0

async function runPendingSeeds (): Promise<void> {
  for (let seed = pendingSeeds.shift(); seed !== undefined; seed = pendingSeeds.shift()) {
    const result = await SoakRun.execute({
      seed,
      cutsWorkerOff: seed % 2 === 1,
      processCount: Number(values.processes),
      workerCount: Number(values.workers),
      durationMilliseconds: DURATION_MILLISECONDS
    })
    if (result.violations.length > 0) failedCount++
    console.log(JSON.stringify(result))
  }
}

await Promise.all(Array.from({ length: Number(values.parallel) }, runPendingSeeds))
console.log(JSON.stringify({ failedSeeds: failedCount }))
process.exit(failedCount === 0 ? 0 : 1)
