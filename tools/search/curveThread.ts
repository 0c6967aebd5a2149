import { parentPort, workerData } from 'node:worker_threads'
import { LossPlay, type LossPlayOptions } from '../../stand-ins/search/index.js'
import type { CurvePoint } from './playCurve.js'

for (const options of workerData as LossPlayOptions[]) {
  parentPort!.postMessage({ ...options, figures: await LossPlay.run(options) } satisfies CurvePoint)
}
