import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createJobRecord, type JobRecord } from '../jobs/index.js'
import { SizeClassShares, type UnstartedJob } from './SizeClassShares.js'

const ROUND_COUNT = 400
const ROUND_MILLISECONDS = 100

function createJob (jobId: string, taskCount: number): JobRecord {
  return createJobRecord({ submission: createSubmission([{ taskCount }], { jobId }), now: 0 })
}

/**
 * Lets one of the jobs start in each round, of which several arrive.
 * @param arrivals The jobs that arrive in each round.
 * @returns The number of started jobs for each of the arrivals.
 */
function startOneARound (arrivals: Array<{ taskCount: number, isStarved: boolean }>): number[] {
  const shares = SizeClassShares.create()
  const waiting: Array<UnstartedJob & { index: number }> = []
  const started = arrivals.map(() => 0)
  for (let round = 0; round < ROUND_COUNT; round++) {
    for (const [index, { taskCount, isStarved }] of arrivals.entries()) {
      waiting.push({ job: createJob(`${round}.${index}`, taskCount), isStarved, index })
    }
    const [job] = shares.selectJobs(waiting, round * ROUND_MILLISECONDS)
    shares.recordStart(job)
    const [row] = waiting.splice(waiting.findIndex(other => other.job === job), 1)
    started[row.index]++
  }
  return started
}

test('in an overload, small and large jobs are started alike, but for their worth per unit of work', () => {
  const [small, large] = startOneARound([{ taskCount: 2, isStarved: false }, { taskCount: 40, isStarved: false }])
  assert.equal(small + large, ROUND_COUNT)
  assert.ok(small > large && large > small * 0.65, `${small} small and ${large} large jobs`)
})

test('jobs that have waited for too long get a small part of the starts, however many others arrive', () => {
  const [fresh, starved] = startOneARound([{ taskCount: 2, isStarved: false }, { taskCount: 2, isStarved: true }])
  assert.ok(starved > 0 && starved < fresh * 0.2, `${fresh} fresh and ${starved} starved jobs`)
})
