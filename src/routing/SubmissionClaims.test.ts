import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { MemoryTableService } from '../../stand-ins/table-service/MemoryTableService.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { getTestSeed } from '../shared/testSeed.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { RequestOutcome, RoutedRequest } from './RequestOutcome.js'
import { SubmissionClaims } from './SubmissionClaims.js'

type Claims = Pick<SubmissionClaims, 'claim'>

function createRequest (number: number, deadlineAt: number, body = 'order'): RoutedRequest {
  return {
    requestId: `r${number}`,
    service: 's',
    method: 'POST',
    path: '/orders',
    headers: [],
    body: Buffer.from(body),
    caller: 'desk',
    kind: 'order',
    workClass: 'may-wait',
    mayRepeat: false,
    idempotencyKey: 'k',
    deadlineAt
  }
}

const answered: RequestOutcome = {
  kind: 'answered', response: { statusCode: 201, headers: ['x', 'y'], body: Buffer.from('done') }
}

const schedules = fastCheck.record({
  seed: fastCheck.integer(),
  lostAnswerShare: fastCheck.double({ min: 0, max: 0.9, noNaN: true }),
  lostRequestShare: fastCheck.double({ min: 0, max: 0.9, noNaN: true }),
  downAt: fastCheck.integer({ min: 0, max: 3000 }),
  /** When each instance receives the request, and what becomes of its attempt. */
  arrivals: fastCheck.array(fastCheck.record({
    at: fastCheck.integer({ min: 0, max: 2000 }),
    truth: fastCheck.constantFrom('answered', 'not-run', 'ran-unknown', 'instance-dies')
  }), { minLength: 2, maxLength: 6 })
})

/** The same key at several instances, with a store that loses requests and answers, goes down and comes back. */
async function checkAtMostOnce (createClaims: (table: MemoryTableService, clock: VirtualClock) => Claims): Promise<void> {
  await fastCheck.assert(fastCheck.asyncProperty(schedules, async schedule => {
    const clock = VirtualClock.create()
    const table = MemoryTableService.create({
      random: createRandom(schedule.seed), now: () => clock.monotonicMilliseconds()
    })
    Object.assign(table.faults, schedule, { down: false })
    clock.setTimer(schedule.downAt, () => { table.faults.down = true })
    clock.setTimer(schedule.downAt + 1500, () => { table.faults.down = false })
    let runs = 0
    const reported: RequestOutcome[] = []
    const serve = async (claims: Claims, number: number, truth: string) => {
      const claim = await claims.claim(createRequest(number, clock.monotonicMilliseconds() + 4000))
      if (claim.kind === 'settled') return reported.push(claim.outcome)
      if (truth !== 'not-run') runs++
      if (truth === 'instance-dies') return
      const outcome: RequestOutcome = truth === 'answered'
        ? answered
        : truth === 'not-run'
          ? { kind: 'notRun', reason: 'no-upstream', detail: '' }
          : { kind: 'unknown', reason: 'connection-lost', detail: '' }
      reported.push(outcome)
      claim.record(outcome)
    }
    schedule.arrivals.forEach(({ at, truth }, number) => {
      const claims = createClaims(table, clock)
      clock.setTimer(at, () => { serve(claims, number, truth).catch(assert.fail) })
    })
    await clock.advance(20_000)
    assert.ok(runs <= 1, `the work of one key ran ${runs} times`)
    for (const outcome of reported) {
      if (outcome.kind === 'answered') assert.equal(outcome.response.body.toString(), 'done')
      if (outcome.kind === 'answered') assert.equal(runs, 1)
    }
  }), { seed: getTestSeed(), numRuns: 150, includeErrorInReport: true })
}

test('a key runs at most once over all instances, through lost answers, outages and deaths of instances', async () => {
  await checkAtMostOnce((tableService, clock) => SubmissionClaims.create({ tableService, clock }))
})

test('the proof catches claims that take a lost answer for success', async () => {
  await assert.rejects(checkAtMostOnce((table, clock) => SubmissionClaims.create({
    clock,
    tableService: {
      transact: async transaction => {
        const outcome = await table.transact(transaction)
        return outcome.kind === 'unknown' ? { kind: 'committed', versions: [] } : outcome
      },
      read: async row => await table.read(row),
      readMany: async rows => await table.readMany(rows),
      scan: async (name, options) => await table.scan(name, options)
    }
  })), /ran 2 times/)
})

test('the proof catches keys that each instance remembers by itself', async () => {
  await assert.rejects(checkAtMostOnce(() => ({ claim: async () => ({ kind: 'claimed', record: () => {} }) })), /ran \d times/)
})

test('a duplicate gets the first answer, another request under the key is rejected, and an outage refuses', async () => {
  const clock = VirtualClock.create()
  const table = MemoryTableService.create()
  const claims = SubmissionClaims.create({ tableService: table, clock })
  const first = await claims.claim(createRequest(1, 5000))
  assert.equal(first.kind, 'claimed')
  const second = claims.claim(createRequest(2, 5000))
  await clock.advance(200)
  if (first.kind === 'claimed') first.record(answered)
  await clock.advance(200)
  assert.deepEqual(await second, { kind: 'settled', outcome: answered })
  const other = await claims.claim(createRequest(3, 5000, 'another order'))
  assert.equal(other.kind === 'settled' && other.outcome.kind === 'notRun' && other.outcome.reason,
    'key-reused-for-other-request')
  table.faults.down = true
  const refused = claims.claim({ ...createRequest(4, 5000), idempotencyKey: 'k2' })
  await clock.advance(3000)
  const outcome = await refused
  assert.equal(outcome.kind === 'settled' && outcome.outcome.kind === 'unknown' && outcome.outcome.reason,
    'key-not-claimed')
})
