import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedSite, EMULATED_QUEUE, type EmulatedInstance } from '../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { QueueConfiguration } from './SiteConfiguration.js'

const SAMPLE_MILLISECONDS = 100
const SLOW_INTERVAL_MILLISECONDS = 500
/** A load counts once it has lasted this long. */
const SUSTAINED_MILLISECONDS = 5000
const SUMMARY_AGE_LIMIT_MILLISECONDS = 3000
/** The urgent work of 24 s takes four times as long. */
const DRAIN_MILLISECONDS = 110_000
const SLOW_QUEUE: QueueConfiguration = { ...EMULATED_QUEUE, name: 'slow', pathPrefix: '/slow/', priority: 2 }
const WORKERS = ['a', 'b'].map(workerId => ({
  workerId,
  capacity: { processorsMilli: 4000, memoryMegabytes: 64_000, accelerators: 0 },
  labels: [],
  dataCentre: 'centre'
}))

interface SlowJob {
  jobId: string
  target: EmulatedInstance
  submittedAt: number
  outcome: string
}

/** A site with four times as much urgent work as it can do, and some jobs of a lower priority. */
class OverloadedSite {
  readonly clock = VirtualClock.create()
  readonly jobs: SlowJob[] = []
  readonly startedJobs = new Set<string>()
  readonly site: EmulatedSite
  private readonly random = createRandom(1)
  private urgentCount = 0

  constructor (isAdmissionEnabled = true) {
    this.site = EmulatedSite.create({
      clock: this.clock,
      random: this.random,
      instanceCount: 4,
      workers: WORKERS,
      queues: [EMULATED_QUEUE, SLOW_QUEUE],
      isAdmissionEnabled
    })
  }

  async play (milliseconds: number, hasUrgentLoad = true): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += SAMPLE_MILLISECONDS) {
      if (hasUrgentLoad) this.site.submit(`urgent-${this.urgentCount++}`, [{ taskCount: 4 }])
      if (elapsed % SLOW_INTERVAL_MILLISECONDS === 0) this.submitSlowJob()
      await this.clock.advance(SAMPLE_MILLISECONDS)
      for (const name of this.site.judge.getRunningTasks()) this.startedJobs.add(name.split('.', 1)[0])
    }
  }

  getOutcomes (from: number, until = Infinity): string[] {
    return this.jobs.filter(({ submittedAt }) => submittedAt >= from && submittedAt < until).map(job => job.outcome)
  }

  private submitSlowJob (): void {
    const target = this.site.chooseInstance()
    const job = {
      jobId: `slow-${this.jobs.length}`, target, submittedAt: this.clock.monotonicMilliseconds(), outcome: 'none'
    }
    this.jobs.push(job)
    this.site.submit(job.jobId, [{}], {}, target, { queueName: SLOW_QUEUE.name })
      .then(({ kind }) => { job.outcome = kind })
  }
}

test('in a lasting overload, jobs of a lower priority are refused by all instances, and never run', async () => {
  const overloaded = new OverloadedSite()
  const { clock, site, jobs, startedJobs } = overloaded
  await clock.advance(4000)
  await overloaded.play(24_000)
  const refused = jobs.filter(({ outcome }) => outcome === 'refused')
  assert.ok(refused.length > 15, `${refused.length} refused`)
  assert.equal(new Set(refused.map(({ target }) => target)).size, 4)
  const end = clock.monotonicMilliseconds()
  await overloaded.play(DRAIN_MILLISECONDS, false)
  const getNames = (rows: readonly SlowJob[]): string[] => rows.map(({ jobId }) => jobId)
  assert.deepEqual(getNames(refused.filter(({ jobId }) => startedJobs.has(jobId))), [])
  const accepted = jobs.filter(({ outcome, submittedAt }) => outcome === 'accepted' && submittedAt < end)
  assert.ok(accepted.length > 5)
  assert.deepEqual(getNames(accepted.filter(({ jobId }) => !startedJobs.has(jobId))), [])
  assert.ok(overloaded.getOutcomes(clock.monotonicMilliseconds() - 10_000).every(outcome => outcome === 'accepted'))
  for (const worker of site.workers.values()) worker.shutDown()
})

test('no job is refused where admission control is not enabled, and no load is sent', async () => {
  const overloaded = new OverloadedSite(false)
  await overloaded.clock.advance(4000)
  await overloaded.play(16_000)
  assert.deepEqual([...new Set(overloaded.getOutcomes(0))], ['accepted'])
  assert.equal('load' in overloaded.site.getOwner()!.instance.ownerApi.probe(), false)
})

test('instances that do not reach the owner, and those of a new owner, admit all jobs until they know its load', async () => {
  const overloaded = new OverloadedSite()
  const { clock, site, jobs } = overloaded
  await clock.advance(4000)
  await overloaded.play(20_000)
  const owner = site.getOwner()!
  const cutOff = site.instances.find(instance => instance !== owner)!
  cutOff.peerFaults.losesCalls = true
  const cutOffAt = clock.monotonicMilliseconds()
  await overloaded.play(10_000)
  const ofCutOff = jobs.filter(({ target, submittedAt }) =>
    target === cutOff && submittedAt > cutOffAt + SUMMARY_AGE_LIMIT_MILLISECONDS)
  assert.ok(ofCutOff.length > 0)
  assert.deepEqual([...new Set(ofCutOff.map(({ outcome }) => outcome))], ['accepted'])
  cutOff.peerFaults.losesCalls = false
  owner.process.kill()
  while (site.getOwner() === undefined || site.getOwner() === owner) await overloaded.play(SAMPLE_MILLISECONDS)
  const takenOverAt = clock.monotonicMilliseconds()
  await overloaded.play(SUSTAINED_MILLISECONDS + 20_000)
  const outcomes = overloaded.getOutcomes(takenOverAt, takenOverAt + SUSTAINED_MILLISECONDS)
  assert.equal(outcomes.includes('refused'), false, outcomes.join(' '))
  assert.ok(overloaded.getOutcomes(takenOverAt + SUSTAINED_MILLISECONDS).includes('refused'))
})
