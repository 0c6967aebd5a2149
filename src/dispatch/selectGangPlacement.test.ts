import assert from 'node:assert/strict'
import { test } from 'node:test'
import Snap from '@matteo.collina/snap'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import type { StepSpecification } from '../jobs/index.js'
import { DispatchEngine, type WorkerCapacity } from './index.js'

const snap = Snap(import.meta.url)

/** Plans a gang on workers with this room; returns the number of its starts on each of them. */
function place (
  step: Partial<StepSpecification>, processors: number[], getRack = (index: number): string => `rack-${index % 2}`
): number[] {
  const engine = DispatchEngine.create({ epoch: 1 })
  for (const [index, processorCount] of processors.entries()) {
    const capacity: WorkerCapacity = {
      processorsMilli: processorCount * 1000, memoryMegabytes: 64_000, accelerators: 0
    }
    const worker = engine.setWorker(createWorkerEntry({
      workerId: `worker-${index}`, capacity, labels: ['a', getRack(index)]
    }))
    worker.registered = true
    engine.applyReport(worker, { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }, 0, 1)
  }
  const submission = createSubmission([{ gang: true, processorsMilli: 100, memoryMegabytes: 1, ...step }])
  engine.jobs.add({ submission, progress: [], recovered: false }, 0)
  engine.plan(10, 10, true)
  return [...engine.workers.values()].map(({ runs }) => runs.size)
}

// All members of a wide gang went to the first worker, which takes a few starts at a time, and ended alone.
test('a wide gang is spread over the workers, and a small one shares them', async () => {
  const placements = {
    small: place({ taskCount: 12 }, [16, 16, 16]),
    packed: place({ taskCount: 100 }, [16, 16, 16]),
    wide: place({ taskCount: 300 }, [16, 16, 16]),
    unequal: place({ taskCount: 300 }, [2, 16, 64]),
    full: place({ taskCount: 300 }, [10, 10, 10]),
    tooLarge: place({ taskCount: 301 }, [10, 10, 10]),
    rack: place({ taskCount: 200, rackSensitive: true }, [16, 16, 16, 16]),
    perWorker: place({ taskCount: 9, maximumPerWorker: 3 }, [16, 16, 16]),
    bestEffort: place({ taskCount: 200, fills: true }, [16, 16])
  }
  assert.deepEqual(placements, await snap(placements))
})
