import type { EmulatedWorkerDescription } from '../platform/EmulatedWorkerDescription.js'
import { LOCAL_FAULT_KINDS, type SiteFault, type SiteFaultKind } from '../platform/SiteFaults.js'
import { createSearchJob } from './createSearchJob.js'
import { CLOSING_FAULT_KINDS, LASTING_FAULT_KINDS } from './closingFaults.js'
import { SearchRandom } from './SearchRandom.js'
import type { ScheduledFault, SearchSchedule } from './SearchSchedule.js'

const START_MILLISECONDS = 2000
const PROCESSORS_PER_SIZE_MILLI = 16_000
const MEMORY_PER_SIZE_MEGABYTES = 64_000
/** The relative sizes of workers. */
const SIZES = [1, 2, 2, 3]
const DATA_CENTRES = ['south-a', 'south-b', 'north-a']
const WORKERS_PER_RACK = 4
const LATE_JOB_SHARE = 0.4
const LASTING_SHARE = 0.5

/**
 * Creates the play of a seed.
 * @param seed The seed.
 * @returns The play.
 */
export function createSearchSchedule (seed: number): SearchSchedule {
  const random = SearchRandom.create(seed)
  const lengthMilliseconds = random.integer(8000, 26_000)
  const endAt = START_MILLISECONDS + lengthMilliseconds
  const jobCount = random.integer(3, 16)
  const jobs = Array.from({ length: jobCount }, (_, index) => {
    const earliest = random.isTrue(LATE_JOB_SHARE) ? endAt - 2500 : START_MILLISECONDS
    return createSearchJob(random, index, random.integer(earliest, endAt - 100))
  })
  const faultCount = random.integer(0, 9)
  const faults = Array.from({ length: faultCount }, (): ScheduledFault => ({
    ...createFault(random, LOCAL_FAULT_KINDS), atMilliseconds: random.integer(START_MILLISECONDS, endAt - 200)
  }))
  faults.sort((left, right) => left.atMilliseconds - right.atMilliseconds)
  return {
    seed,
    instanceCount: random.integer(3, 7),
    workers: createWorkers(random),
    jobs,
    faults,
    accounts: null,
    accountVersions: [],
    lengthMilliseconds,
    closing: Array.from({ length: random.integer(0, 2) }, (): SiteFault => ({
      ...createFault(random, CLOSING_FAULT_KINDS), durationMilliseconds: random.integer(300, 1500)
    })),
    lasting: random.isTrue(LASTING_SHARE)
      ? Array.from({ length: random.integer(1, 3) }, (): SiteFault => ({
        ...createFault(random, LASTING_FAULT_KINDS), durationMilliseconds: random.integer(12_000, 30_000)
      }))
      : []
  }
}

function createFault (random: SearchRandom, kinds: readonly SiteFaultKind[]): SiteFault {
  return {
    kind: random.choose(kinds),
    target: random.integer(0, 99),
    count: random.integer(1, 4),
    durationMilliseconds: random.integer(300, 9000),
    variant: random.integer(0, 99)
  }
}

function createWorkers (random: SearchRandom): EmulatedWorkerDescription[] {
  return Array.from({ length: random.integer(4, 14) }, (_, index) => {
    const size = random.choose(SIZES)
    return {
      workerId: `worker-${index}`,
      capacity: {
        processorsMilli: size * PROCESSORS_PER_SIZE_MILLI,
        memoryMegabytes: size * MEMORY_PER_SIZE_MEGABYTES,
        accelerators: index % 3 === 0 ? random.integer(0, 2) : 0
      },
      labels: [index % 3 === 1 ? 'b' : 'a', `r${Math.floor(index / WORKERS_PER_RACK) + 1}`],
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]
    }
  })
}
