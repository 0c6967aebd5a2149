import { DispatchEngine } from '../../../src/dispatch/index.js'
import { ProgressWriter } from '../../../src/instance/ProgressWriter.js'
import { VirtualClock } from '../../../src/shared/VirtualClock.js'
import { EmulatedLoad } from '../../../stand-ins/platform/EmulatedLoad.js'
import { EmulatedSite } from '../../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../../stand-ins/shared/createRandom.js'
import type { Figure } from '../Figure.js'
import { TurnRecorder } from '../turns/TurnRecorder.js'

const WORKER_COUNT = 33
/** The load is beyond the capacity of the workers, so that tasks wait. */
const RATE = 2.2
const START_MILLISECONDS = 6000
const WARM_UP_MILLISECONDS = 25_000
const MEASURED_MILLISECONDS = 20_000
const METHODS = ['plan', 'applyReport', 'applyStartOutcome', 'takeBatch', 'confirmBatch']

/**
 * Measures the turns of the owner of a small site: how often each part of it runs and how long it takes. The site is
 * emulated on a virtual clock, so the numbers of turns follow from the seed; only the durations vary.
 * @param seed The seed of the load and of the site.
 * @returns The figures.
 */
export async function runBench (seed: number): Promise<Figure[]> {
  const recorder = TurnRecorder.create()
  for (const method of ['plan', 'applyReport', 'applyStartOutcome'] as const) {
    recorder.observe(DispatchEngine.prototype, method)
  }
  const writer = ProgressWriter.prototype as unknown as Record<'takeBatch' | 'confirmBatch', () => unknown>
  for (const method of ['takeBatch', 'confirmBatch'] as const) recorder.observe(writer, method)
  const clock = VirtualClock.create()
  const random = createRandom(seed)
  const site = EmulatedSite.create({
    clock, random: createRandom(seed + 1), instanceCount: 1, workerCount: WORKER_COUNT
  })
  const load = EmulatedLoad.create({ site, clock, random })
  await clock.advance(START_MILLISECONDS)
  await load.advance(WARM_UP_MILLISECONDS, RATE)
  recorder.isRecording = true
  await load.advance(MEASURED_MILLISECONDS, RATE)
  recorder.isRecording = false
  return METHODS.flatMap(method => {
    const durations = recorder.getDurations(method)
    return [
      createFigure(`${method}_count`, durations.count, 'calls'),
      createFigure(`${method}_sum`, durations.sumMilliseconds, 'ms'),
      createFigure(`${method}_median`, durations.medianMilliseconds, 'ms'),
      createFigure(`${method}_99th_percentile`, durations.highMilliseconds, 'ms'),
      createFigure(`${method}_longest`, durations.longestMilliseconds, 'ms')
    ]
  })
}

function createFigure (figure: string, value: number, unit: string): Figure {
  return { figure, value, unit, naive: null, target: 'no target; 20 s of a site of 33 workers' }
}
