import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { HttpPlatform } from '../../../platform/emulator/HttpPlatform.js'
import { createRandom } from '../../../stand-ins/shared/createRandom.js'
import { findFreePorts } from '../../../stand-ins/shared/findFreePorts.js'
import type { Figure } from '../Figure.js'
import { OwnerProcess, type ProcessorTime } from '../owner/OwnerProcess.js'
import { SiteCallers } from '../owner/SiteCallers.js'

const HOST = '127.0.0.1'
const WORKER_COUNT = 66
const START_MILLISECONDS = 4000
const WARM_UP_MILLISECONDS = 12_000
const MEASURED_MILLISECONDS = 20_000
/** Further options of Node.js for the instance, separated by spaces. */
const OPTIONS_VARIABLE = 'PAPAYAMOOR_BENCH_NODE_OPTIONS'
/** The existing folder in which the log of the instance is kept. */
const FOLDER_VARIABLE = 'PAPAYAMOOR_BENCH_FOLDER'

/**
 * Measures the processor time of the deployed program of the present folder as the owner of a small site, over HTTP and
 * in real time. `npm run build:deploy` makes the program.
 * @param seed The seed of the load.
 * @returns The figures.
 */
export async function runBench (seed: number): Promise<Figure[]> {
  const keptFolder = process.env[FOLDER_VARIABLE] ?? null
  const folder = keptFolder ?? mkdtempSync(join(tmpdir(), 'papayamoor-owner-'))
  const nodeOptions = (process.env[OPTIONS_VARIABLE] ?? '').split(' ').filter(option => option !== '')
  const [storePort, machinesPort, callerPort, readyPort, peerPort, ...workerPorts] =
    await findFreePorts(5 + WORKER_COUNT)
  const callers = SiteCallers.create({
    callerAddress: `${HOST}:${callerPort}`,
    peerAddress: `${HOST}:${peerPort}`,
    getPlatform: () => platform,
    random: createRandom(seed),
    durationRandom: createRandom(seed + 2)
  })
  const platform = await HttpPlatform.create({
    host: HOST, storePort, machinesPort, workerPorts, random: createRandom(seed + 1), getTask: callers.startTask
  })
  const owner = OwnerProcess.start({
    host: HOST, folder, storePort, machinesPort, callerPort, readyPort, peerPort, nodeOptions
  })
  try {
    await sleep(START_MILLISECONDS)
    const idle = getSum(owner.readProcessorTime())
    const idleMegabytes = owner.readAnonymousMegabytes()
    callers.start()
    await sleep(WARM_UP_MILLISECONDS)
    const before = { ...owner.readProcessorTime(), startCount: platform.judge.startCount, at: performance.now() }
    callers.startDelays.length = 0
    await sleep(MEASURED_MILLISECONDS)
    const after = owner.readProcessorTime()
    const seconds = (performance.now() - before.at) / 1000
    const startCount = platform.judge.startCount - before.startCount
    const delays = [...callers.startDelays].sort((left, right) => left - right)
    const getQuantile = (share: number) => delays[Math.min(delays.length - 1, Math.floor(delays.length * share))] ?? 0
    const main = after.mainThreadMilliseconds - before.mainThreadMilliseconds
    const other = after.otherThreadsMilliseconds - before.otherThreadsMilliseconds
    return [
      createFigure('process_start', idle, 'ms'),
      createFigure('process_start_memory', idleMegabytes, 'MB'),
      createFigure('warm_up', getSum(before) - idle, 'ms'),
      createFigure('warm_up_starts', before.startCount, 'count'),
      createFigure('main_thread', main / seconds, 'ms per second'),
      createFigure('other_threads', other / seconds, 'ms per second'),
      createFigure('processor_time_per_start', (main + other) / startCount, 'ms'),
      createFigure('starts', startCount / seconds, 'per second'),
      createFigure('urgent_start_median', getQuantile(0.5), 'ms'),
      createFigure('urgent_start_95th_percentile', getQuantile(0.95), 'ms'),
      createFigure('memory', owner.readAnonymousMegabytes(), 'MB'),
      createFigure('violations', platform.judge.violations.length, 'count')
    ]
  } finally {
    callers.stop()
    await owner.stop()
    await platform.close()
    if (keptFolder === null) rmSync(folder, { recursive: true, force: true })
  }
}

function getSum ({ mainThreadMilliseconds, otherThreadsMilliseconds }: ProcessorTime): number {
  return mainThreadMilliseconds + otherThreadsMilliseconds
}

function createFigure (figure: string, value: number, unit: string): Figure {
  return { figure, value, unit, naive: null, target: `no target; an owner of ${WORKER_COUNT} workers` }
}
