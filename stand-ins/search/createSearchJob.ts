import type { StepSpecification } from '../../src/jobs/index.js'
import type { EmulatedTask } from '../platform/EmulatedWorker.js'
import { SEARCH_QUEUES } from './searchQueues.js'
import type { SearchRandom } from './SearchRandom.js'
import { SEARCH_JOB_KINDS, type SearchJob, type SearchJobKind } from './SearchSchedule.js'

type Steps = Array<Partial<StepSpecification>>

/** What a kind of job determines. */
interface KindOfJob {
  queueName: string
  steps: Steps
  task?: Partial<EmulatedTask>
  schedule?: Partial<SearchJob['schedule']>
}

const IMAGE_COUNT = 9
const SERVING_IMAGE_COUNT = 5
const SERVING_TARGET_MILLISECONDS = 45
const FREQUENT_SHARE = 0.5
const FREQUENT_KINDS: readonly SearchJobKind[] = ['urgent', 'best-effort', 'serving']
const CANCELLED_SHARE = 0.08
const REPEATED_SHARE = 0.1
const [URGENT, BATCH, LASTING] = SEARCH_QUEUES.map(({ name }) => name)

/** Creates the steps of a job, each after the one before it. */
function createChain (random: SearchRandom, longest: number, create: () => Partial<StepSpecification>): Steps {
  const count = random.integer(1, longest)
  return Array.from({ length: count }, (_, index) => ({ ...create(), afterSteps: index === 0 ? [] : [index - 1] }))
}

function createUrgentStep (random: SearchRandom): Partial<StepSpecification> {
  return {
    taskCount: random.spread(4, 4),
    processorsMilli: Math.min(8500, random.spread(2800, 2)),
    memoryMegabytes: random.spread(5600, 2),
    maximumPerWorker: random.isTrue(0.3) ? random.integer(1, 3) : 0
  }
}

function createBestEffortStep (random: SearchRandom): Partial<StepSpecification> {
  return {
    taskCount: random.spread(6, 3),
    processorsMilli: Math.min(7000, random.spread(3500, 2)),
    memoryMegabytes: random.spread(6400, 2),
    fills: true,
    image: `batch-${random.integer(1, IMAGE_COUNT)}`,
    checkpointing: random.isTrue(0.85)
  }
}

function createServingStep (random: SearchRandom): Partial<StepSpecification> {
  return {
    taskCount: random.integer(1, 10),
    processorsMilli: Math.min(10_000, random.spread(6400, 1.5)),
    memoryMegabytes: random.spread(13_000, 1.6),
    longRunning: true,
    image: `serving-${random.integer(1, SERVING_IMAGE_COUNT)}`,
    targetMilliseconds: SERVING_TARGET_MILLISECONDS,
    maximumPerWorker: random.isTrue(0.5) ? random.integer(1, 2) : 0,
    maximumAway: random.integer(0, 2)
  }
}

const CREATE_KIND: Record<SearchJobKind, (random: SearchRandom) => KindOfJob> = {
  urgent: random => ({ queueName: URGENT, steps: createChain(random, 3, () => createUrgentStep(random)) }),
  copies: random => ({
    queueName: URGENT,
    steps: createChain(random, 3, () => ({ ...createUrgentStep(random), speculative: true }))
  }),
  'best-effort': random => ({
    queueName: BATCH,
    steps: createChain(random, 3, () => createBestEffortStep(random)),
    task: { durationMilliseconds: random.spread(2200, 2.4), checkpointMilliseconds: 500 }
  }),
  serving: random => ({
    queueName: LASTING, steps: [createServingStep(random)], task: { durationMilliseconds: Infinity }
  }),
  gang: random => ({
    queueName: BATCH,
    steps: createChain(random, 2, () => ({
      ...createUrgentStep(random),
      taskCount: random.integer(2, 6),
      maximumPerWorker: random.isTrue(0.3) ? 2 : 0,
      gang: true,
      rackSensitive: random.isTrue(0.5),
      checkpointing: random.isTrue(0.5)
    })),
    task: { checkpointMilliseconds: 500 }
  }),
  labelled: random => ({
    queueName: URGENT,
    steps: createChain(random, 2, () => ({
      ...createUrgentStep(random), taskCount: random.integer(1, 4), requiredLabel: random.choose(['a', 'b'])
    }))
  }),
  'near-data': random => ({
    queueName: URGENT,
    steps: createChain(random, 2, () => ({ ...createUrgentStep(random), preferredRack: `r${random.integer(1, 3)}` }))
  }),
  accelerated: random => ({
    queueName: BATCH,
    steps: createChain(random, 2, () => (
      { ...createUrgentStep(random), taskCount: random.integer(1, 3), accelerators: 1 }
    ))
  }),
  scheduled: random => ({
    queueName: random.choose([URGENT, BATCH]),
    steps: createChain(random, 2, () => ({ ...createUrgentStep(random), taskCount: random.integer(1, 3) })),
    schedule: { repeatCount: random.integer(2, 4), intervalMilliseconds: random.integer(700, 4000) }
  }),
  branching: random => ({
    queueName: URGENT,
    steps: [
      createUrgentStep(random),
      { ...createUrgentStep(random), afterSteps: [0] },
      { ...createBestEffortStep(random), afterSteps: [0] },
      { ...createUrgentStep(random), afterSteps: [1, 2] }
    ]
  }),
  impossible: random => ({
    queueName: URGENT,
    steps: [{ ...createUrgentStep(random), taskCount: random.spread(12, 3) }],
    task: { failsAlways: true }
  }),
  wide: random => ({
    queueName: random.choose([URGENT, BATCH]),
    steps: [{
      ...createUrgentStep(random), taskCount: random.integer(30, 60), processorsMilli: 1500, memoryMegabytes: 3000
    }]
  }),
  'empty-step': random => ({
    queueName: URGENT,
    steps: [createUrgentStep(random), { ...createUrgentStep(random), taskCount: 0, afterSteps: [0] }, {
      ...createUrgentStep(random), afterSteps: [1]
    }]
  })
}

/**
 * Creates a job of a random kind.
 * @param random The source of values.
 * @param index The number of the job in its play.
 * @param atMilliseconds When the client sends it.
 * @returns The job.
 */
export function createSearchJob (random: SearchRandom, index: number, atMilliseconds: number): SearchJob {
  const kind = random.choose(random.isTrue(FREQUENT_SHARE) ? FREQUENT_KINDS : SEARCH_JOB_KINDS)
  const { queueName, steps, task, schedule } = CREATE_KIND[kind](random)
  const durationMilliseconds = random.spread(800, 2.4)
  for (const step of steps) {
    step.estimateMilliseconds = random.spread(Math.min(task?.durationMilliseconds ?? durationMilliseconds, 5000), 2)
  }
  return {
    kind,
    jobId: `job${index}`,
    queueName,
    atMilliseconds,
    steps,
    task: { durationMilliseconds, failureCount: random.isTrue(0.15) ? 1 : 0, ...task },
    schedule: { startAtMilliseconds: atMilliseconds + 1000, intervalMilliseconds: 0, repeatCount: 0, ...schedule },
    cancelAfterMilliseconds: random.isTrue(CANCELLED_SHARE) ? random.integer(0, 6000) : null,
    isRepeated: random.isTrue(REPEATED_SHARE),
    accountName: null
  }
}
