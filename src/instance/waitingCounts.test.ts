import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EMULATED_QUEUE, EmulatedSite, type EmulatedInstance } from '../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { JOB_TABLE, PROGRESS_TABLE } from './jobRows.js'

/** A job counts as waiting within this time of its acceptance: 3 s until it is visible, and 2 s for the answer. */
const VISIBLE_MILLISECONDS = 5000
const SUBMISSION_INTERVAL_MILLISECONDS = 250
const SAMPLE_MILLISECONDS = 50
const FAULT_MILLISECONDS = 12_000
/** Longer than a paused owner keeps the ownership. */
const PAUSE_MILLISECONDS = 8000
const FEED_FAILURE_MILLISECONDS = 1000
const FEED_DELAY_MILLISECONDS = 1000
const SLOW_LOAD_MILLISECONDS = 7000

/** Two tasks at once fill a worker. */
const STEP = { processorsMilli: 8000 }
const TASK = { durationMilliseconds: 4000 }
const LOSSY_MILLISECONDS = 30_000
const CRASH_INTERVAL_MILLISECONDS = 3000
const DOWN_MILLISECONDS = 300

/** The answers of one process. */
interface Answers {
  counts: number
  missing: number
  tooLow: string[]
}

/** A site whose jobs wait, by default without workers, and a judge of the numbers that its instances give. */
class Scenario {
  readonly clock = VirtualClock.create(1000)
  readonly site: EmulatedSite
  /** The most jobs that should have been counted at once. */
  longestQueue = 0
  readonly answers = new Map<string, Answers>()
  private readonly acceptedAt = new Map<string, number>()
  private jobCount = 0

  constructor (workerCount = 0) {
    this.site = EmulatedSite.create({ clock: this.clock, random: createRandom(5), instanceCount: 3, workerCount })
  }

  /** Waits for an owner and returns it. */
  async start (): Promise<EmulatedInstance> {
    await this.clock.advance(5000)
    return this.site.getOwner()!
  }

  /**
   * Submits jobs at an interval, and asks instances for their number.
   * @param milliseconds The time for which that goes on.
   * @param acceptors The instances that get the jobs.
   * @param asked The instances that are asked.
   */
  async advance (milliseconds: number, acceptors: EmulatedInstance[], asked: EmulatedInstance[]): Promise<void> {
    const end = this.clock.monotonicMilliseconds() + milliseconds
    let nextSubmissionAt = 0
    while (this.clock.monotonicMilliseconds() < end) {
      const now = this.clock.monotonicMilliseconds()
      if (now >= nextSubmissionAt) {
        nextSubmissionAt = now + SUBMISSION_INTERVAL_MILLISECONDS
        this.submit(acceptors[this.jobCount % acceptors.length])
      }
      for (const instance of asked) this.ask(instance)
      await this.clock.advance(SAMPLE_MILLISECONDS)
    }
  }

  /** Judges an answer that was asked for at a time. */
  record (answerer: string, waiting: number | null, askedAt: number): void {
    const answers = this.answers.get(answerer) ?? { counts: 0, missing: 0, tooLow: [] }
    this.answers.set(answerer, answers)
    if (waiting === null) {
      answers.missing++
      return
    }
    answers.counts++
    const expected = [...this.acceptedAt].filter(([jobId, at]) =>
      at < askedAt - VISIBLE_MILLISECONDS && !this.site.judge.lastRunWorkerIds.has(`${jobId}.0.0.0`)).length
    this.longestQueue = Math.max(this.longestQueue, expected)
    if (waiting * 2 < expected) answers.tooLow.push(`${waiting} of ${expected} at ${askedAt}`)
  }

  getTooLow (): string[] {
    return [...this.answers].flatMap(([answerer, { tooLow }]) => tooLow.map(answer => `${answerer}: ${answer}`))
  }

  countAnswers (): number {
    return [...this.answers.values()].reduce((sum, { counts }) => sum + counts, 0)
  }

  private async submit (acceptor: EmulatedInstance): Promise<void> {
    const jobId = `job${this.jobCount++}`
    const outcome = await this.site.submit(jobId, [STEP], TASK, acceptor)
    if (outcome.kind === 'accepted') this.acceptedAt.set(jobId, this.clock.monotonicMilliseconds())
  }

  private async ask (instance: EmulatedInstance): Promise<void> {
    const askedAt = this.clock.monotonicMilliseconds()
    this.record(instance.address, await instance.instance.gateway.countWaiting(EMULATED_QUEUE.name), askedAt)
  }
}

/** Lets the reads of changes of the job table of one instance fail, while its other calls succeed. */
function failJobFeed ({ tables }: EmulatedInstance, clock: VirtualClock): () => void {
  const { waitForChanges } = tables
  tables.waitForChanges = async (table, ...options) => {
    if (table !== JOB_TABLE) return await waitForChanges.call(tables, table, ...options)
    await new Promise<void>(resolve => { clock.setTimer(FEED_FAILURE_MILLISECONDS, resolve) })
    return { kind: 'unavailable', reason: 'no answer' }
  }
  return () => { tables.waitForChanges = waitForChanges }
}

test('all instances give the number of waiting jobs while no fault occurs', async () => {
  const scenario = new Scenario()
  await scenario.start()
  const { instances } = scenario.site
  await scenario.advance(FAULT_MILLISECONDS, instances, instances)
  await scenario.clock.advance(VISIBLE_MILLISECONDS)
  await scenario.advance(SAMPLE_MILLISECONDS, instances, instances)
  assert.deepEqual(scenario.getTooLow(), [])
  for (const { missing } of scenario.answers.values()) assert.equal(missing, 0)
})

test('all instances give the number of waiting jobs while none is submitted', async () => {
  const scenario = new Scenario()
  await scenario.start()
  const { instances } = scenario.site
  await scenario.advance(SAMPLE_MILLISECONDS, instances, [])
  for (let elapsed = 0; elapsed < FAULT_MILLISECONDS; elapsed += SAMPLE_MILLISECONDS) {
    await scenario.clock.advance(SAMPLE_MILLISECONDS)
    const answers = instances.map(async ({ instance }) => await instance.gateway.countWaiting(EMULATED_QUEUE.name))
    await scenario.clock.advance(SAMPLE_MILLISECONDS)
    assert.deepEqual(await Promise.all(answers), [1, 1, 1])
  }
})

test('no count is too low while peers reach an owner that is cut off from the store', async () => {
  const scenario = new Scenario()
  const owner = await scenario.start()
  const others = scenario.site.instances.filter(instance => instance !== owner)
  owner.tables.faults.cutOff = true
  await scenario.advance(FAULT_MILLISECONDS, others, others)
  owner.tables.faults.cutOff = false
  await scenario.advance(FAULT_MILLISECONDS, others, others)
  assert.deepEqual(scenario.getTooLow(), [])
  assert.ok(scenario.countAnswers() > 0)
})

test('no count is too low while an owner renews its ownership and reads no submissions', async () => {
  const scenario = new Scenario()
  const owner = await scenario.start()
  const others = scenario.site.instances.filter(instance => instance !== owner)
  const restore = failJobFeed(owner, scenario.clock)
  await scenario.advance(FAULT_MILLISECONDS, others, scenario.site.instances)
  restore()
  await scenario.advance(FAULT_MILLISECONDS, others, scenario.site.instances)
  assert.equal(scenario.site.getOwner(), owner, 'the owner stays the owner')
  assert.deepEqual(scenario.getTooLow(), [])
  assert.ok(scenario.countAnswers() > 0)
})

for (const pause of ['freeze', 'suspend'] as const) {
  test(`an owner that was paused (${pause}) gives peers no count that is too low`, async () => {
    const scenario = new Scenario()
    const owner = await scenario.start()
    const others = scenario.site.instances.filter(instance => instance !== owner)
    owner.process[pause](PAUSE_MILLISECONDS)
    await scenario.advance(PAUSE_MILLISECONDS - SAMPLE_MILLISECONDS, others, [])
    for (let elapsed = 0; elapsed < FAULT_MILLISECONDS; elapsed++) {
      await scenario.clock.advance(1)
      if (owner.process.isFrozen()) continue
      const waiting = owner.instance.ownerApi.countWaiting(EMULATED_QUEUE.name)
      scenario.record(owner.address, waiting, scenario.clock.monotonicMilliseconds())
    }
    assert.ok(scenario.answers.has(owner.address))
    assert.deepEqual(scenario.getTooLow(), [])
  })
}

test('no count is too low after an owner has loaded the progress of jobs long after their submissions', async () => {
  const scenario = new Scenario()
  const owner = await scenario.start()
  const others = scenario.site.instances.filter(instance => instance !== owner)
  const loadableAt = scenario.clock.monotonicMilliseconds() + SLOW_LOAD_MILLISECONDS
  for (const { tables } of others) {
    const { readTable, waitForChanges } = tables
    tables.readTable = async table => {
      const isAway = table === PROGRESS_TABLE && scenario.clock.monotonicMilliseconds() < loadableAt
      return isAway ? { kind: 'unavailable', reason: 'no answer' } : await readTable.call(tables, table)
    }
    tables.waitForChanges = async (...options) => {
      await new Promise<void>(resolve => { scenario.clock.setTimer(FEED_DELAY_MILLISECONDS, resolve) })
      return await waitForChanges.apply(tables, options)
    }
  }
  owner.process.kill()
  await scenario.advance(FAULT_MILLISECONDS, others, others)
  assert.deepEqual(scenario.getTooLow(), [])
  assert.ok(scenario.countAnswers() > 0)
})

test('no job counts as started before a worker has begun a task of it, while workers restart and responses are lost', async () => {
  const scenario = new Scenario(3)
  await scenario.start()
  const { clock, site } = scenario
  const workers = [...site.workers]
  for (const [, { faults }] of workers) Object.assign(faults, { lostAnswerShare: 0.3, lateShare: 0.3 })
  for (let elapsed = 0; elapsed < LOSSY_MILLISECONDS; elapsed += CRASH_INTERVAL_MILLISECONDS) {
    const [workerId] = workers[(elapsed / CRASH_INTERVAL_MILLISECONDS) % workers.length]
    site.crashWorker(workerId)
    clock.setTimer(DOWN_MILLISECONDS, () => site.restartWorker(workerId))
    await scenario.advance(CRASH_INTERVAL_MILLISECONDS, site.instances, site.instances)
  }
  for (const worker of site.workers.values()) worker.shutDown()
  assert.deepEqual(scenario.getTooLow(), [])
  assert.ok(scenario.longestQueue >= 10, `${scenario.longestQueue} jobs wait`)
  assert.ok(scenario.countAnswers() > 0)
})
