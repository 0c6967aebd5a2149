import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobState, StepSpecification } from '../../src/jobs/index.js'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { createRandom } from '../shared/createRandom.js'
import type { SubmissionOptions } from './EmulatedJobs.js'
import { EMULATED_QUEUE, EMULATED_WAIT, EmulatedSite } from './EmulatedSite.js'
import type { EmulatedTask } from './EmulatedWorker.js'

const SIZES = [
  { processorsMilli: 4000, memoryMegabytes: 8000, accelerators: 0 },
  { processorsMilli: 8000, memoryMegabytes: 16_000, accelerators: 2 },
  { processorsMilli: 16_000, memoryMegabytes: 64_000, accelerators: 0 }
]
const BATCH_QUEUE = { ...EMULATED_QUEUE, name: 'batch', pathPrefix: '/batch/', serviceName: 'batch-desk', priority: 2 }
/** Two racks and two kinds of workers of each service. */
const WORKERS = Array.from({ length: 12 }, (_, index) => ({
  workerId: `w-${index}`,
  capacity: SIZES[index % 3],
  labels: [index % 3 === 1 ? 'b' : 'a', `r${index % 4}`],
  dataCentre: `south-${index % 2}`,
  serviceName: index < 8 ? EMULATED_QUEUE.serviceName : BATCH_QUEUE.serviceName
}))

/** Jobs of all kinds, each of which completes on a site without faults. */
const JOBS: Record<string, {
  steps: Array<Partial<StepSpecification>>, task?: Partial<EmulatedTask>, options?: SubmissionOptions
}> = {
  chain: {
    steps: [{ taskCount: 3 }, { taskCount: 4, afterSteps: [0], processorsMilli: 2500 }, { afterSteps: [0, 1] }]
  },
  limited: { steps: [{ taskCount: 6, maximumPerWorker: 1, processorsMilli: 200, memoryMegabytes: 100 }] },
  labelled: { steps: [{ taskCount: 3, requiredLabel: 'b', accelerators: 1 }] },
  near: { steps: [{ taskCount: 3, preferredRack: 'r2' }] },
  gang: { steps: [{ taskCount: 4, gang: true, rackSensitive: true }, { afterSteps: [0] }] },
  copies: { steps: [{ taskCount: 3, speculative: true }], task: { durationMilliseconds: 4000 } },
  saved: {
    steps: [{ taskCount: 2, checkpointing: true, estimateMilliseconds: 3000 }],
    task: { durationMilliseconds: 3000, checkpointMilliseconds: 500, failureCount: 1 }
  },
  fills: { steps: [{ taskCount: 3, fills: true, image: 'batch', processorsMilli: 4000, memoryMegabytes: 500 }] },
  batch: { steps: [{ taskCount: 5 }], options: { queueName: 'batch' } },
  timed: {
    steps: [{ taskCount: 2 }, { afterSteps: [0] }],
    options: { startAtMilliseconds: 4000, intervalMilliseconds: 3000, repeatCount: 2 }
  }
}

function createSite (seed: number) {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({
    clock, random: createRandom(seed), instanceCount: 3, workers: WORKERS, queues: [EMULATED_QUEUE, BATCH_QUEUE]
  })
  return { clock, site }
}

async function getStates (site: EmulatedSite, clock: VirtualClock, jobIds: string[]) {
  const { instance, process } = site.chooseInstance()
  const pending = Promise.all(jobIds.map(async (jobId): Promise<[string, JobState | string]> => {
    const outcome = await process.receive(instance.gateway.getState(jobId, EMULATED_WAIT))
    return [jobId, outcome.kind === 'known' ? outcome.state : outcome.kind]
  }))
  await clock.advance(3000)
  return Object.fromEntries(await pending)
}

test('lists workers as they are described, until they leave', async () => {
  const { clock, site } = createSite(1)
  const entry = site.getWorkerEntry('w-1')
  assert.deepEqual(
    [entry?.capacity, entry?.labels, entry?.dataCentre, entry?.serviceName, entry?.state],
    [SIZES[1], ['b', 'r1'], 'south-1', EMULATED_QUEUE.serviceName, 'ready']
  )
  assert.equal(site.getWorkerEntry('w-99'), null)
  site.drainWorker('w-1', 1000)
  assert.equal(site.getWorkerEntry('w-1')?.state, 'draining')
  await clock.advance(1100)
  assert.equal(site.getWorkerEntry('w-1'), null)
})

test('jobs of all kinds complete on a site without faults, and no run violates a rule', async () => {
  for (const seed of [1, 2, 3]) {
    const { clock, site } = createSite(seed)
    await clock.advance(2000)
    for (const [jobId, { steps, task, options }] of Object.entries(JOBS)) {
      site.submit(jobId, steps, task, site.chooseInstance(), options)
    }
    site.submit('lasting', [{ taskCount: 3, longRunning: true, maximumPerWorker: 1 }], { durationMilliseconds: Infinity })
    site.submit('hopeless', [{ taskCount: 2 }], { failsAlways: true })
    assert.equal(site.specifications.size, Object.keys(JOBS).length + 2)
    await clock.advance(25_000)
    const expected = Object.fromEntries(Object.keys(JOBS).map(jobId => [jobId, 'completed']))
    assert.deepEqual(
      await getStates(site, clock, [...Object.keys(JOBS), 'lasting', 'hopeless']),
      { ...expected, lasting: 'running', hopeless: 'failed' }
    )
    assert.deepEqual(site.judge.violations, [])
    assert.deepEqual(site.judge.aloneEnds, [])
    for (const worker of site.workers.values()) worker.shutDown()
  }
})

test('a serving task and best-effort tasks of a heavy pair run on one site without breaking a rule', async () => {
  const { clock, site } = createSite(4)
  await clock.advance(2000)
  site.submit('serving', [{ taskCount: 4, longRunning: true, image: 'web', targetMilliseconds: 100 }], {
    durationMilliseconds: Infinity
  })
  await clock.advance(1000)
  site.submit('fills', [0, 1, 2].map(index => (
    { taskCount: 3, fills: true, image: `batch-${index}`, memoryMegabytes: 500 }
  )), { durationMilliseconds: 3000 })
  await clock.advance(40_000)
  assert.deepEqual(await getStates(site, clock, ['serving', 'fills']), { serving: 'running', fills: 'completed' })
  assert.deepEqual(site.judge.violations, [])
})
