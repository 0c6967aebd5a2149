import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createStep } from '../../stand-ins/platform/createStep.js'
import { createJobRecord, createOccurrence, type JobRecord, type StepSpecification } from '../jobs/index.js'
import { getUrgency, rankJobs } from './rankJobs.js'

interface TestJob {
  jobId: string
  acceptedAtMilliseconds: number
  steps: Array<Partial<StepSpecification>>
  priority?: number
}

function createJob ({ jobId, acceptedAtMilliseconds, steps, priority = 2 }: TestJob): JobRecord {
  const job = createJobRecord({
    now: 0,
    submission: {
      jobId,
      queueName: 'queue',
      serviceName: 'desk',
      priority,
      attemptLimit: 3,
      stretch: 2,
      targetLatencyMilliseconds: 1000,
      acceptedAtMilliseconds,
      specification: {
        taskDescription: '', steps: steps.map(createStep), startAtMilliseconds: 0, intervalMilliseconds: 0, repeatCount: 0
      }
    }
  })
  job.occurrences.set(0, createOccurrence(job, 0, 1, 0))
  return job
}

const NOW = 100_000
const STEP = { estimateMilliseconds: 2000, processorsMilli: 1000 }

test('derives urgency from the objective: stretch times the critical path plus the target latency', () => {
  // One step of 2 s counts as 3.2 s; the objective is 2 * 3.2 s + 1 s = 7.4 s.
  const rows: Array<[ageMilliseconds: number, urgency: string]> = [
    [0, 'in-time'], [4000, 'in-time'], [4300, 'late'], [18_000, 'late'], [20_000, 'useless'], [61_000, 'in-time']
  ]
  for (const [age, urgency] of rows) {
    const job = createJob({ jobId: 'job', acceptedAtMilliseconds: NOW - age, steps: [STEP] })
    assert.equal(getUrgency(job, NOW), urgency, `age ${age}`)
  }
})

test('ranks jobs that can complete in time before late ones, regardless of their remaining work', () => {
  const jobs = [
    createJob({ jobId: 'useless', acceptedAtMilliseconds: NOW - 25_000, steps: [STEP] }),
    createJob({ jobId: 'late', acceptedAtMilliseconds: NOW - 10_000, steps: [STEP] }),
    createJob({ jobId: 'large', acceptedAtMilliseconds: NOW, steps: [{ ...STEP, taskCount: 30 }] }),
    createJob({ jobId: 'small', acceptedAtMilliseconds: NOW, steps: [STEP] })
  ]
  assert.deepEqual(rankJobs(jobs, NOW).map(({ job }) => job.submission.jobId), ['small', 'large', 'late', 'useless'])
})

test('ranks short urgent jobs before long-running jobs of the same priority', () => {
  const jobs = [
    createJob({ jobId: 'long-running', acceptedAtMilliseconds: NOW, steps: [{ longRunning: true, estimateMilliseconds: 1 }], priority: 0 }),
    createJob({ jobId: 'batch', acceptedAtMilliseconds: NOW, steps: [STEP] }),
    createJob({ jobId: 'urgent', acceptedAtMilliseconds: NOW, steps: [{ ...STEP, taskCount: 30 }], priority: 0 })
  ]
  assert.deepEqual(rankJobs(jobs, NOW).map(({ job }) => job.submission.jobId), ['urgent', 'long-running', 'batch'])
})
