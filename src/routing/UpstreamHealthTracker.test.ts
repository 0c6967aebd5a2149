import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { getTestSeed } from '../shared/testSeed.js'
import { UpstreamHealthTracker, type HealthSample } from './UpstreamHealthTracker.js'

const upstreamIds = ['u0', 'u1', 'u2', 'u3', 'u4', 'u5']

function createTracker (): UpstreamHealthTracker {
  const tracker = UpstreamHealthTracker.create({ onEject: () => {} })
  tracker.setUpstreams(upstreamIds)
  return tracker
}

const samples = fastCheck.array(fastCheck.record({
  upstream: fastCheck.nat({ max: 5 }),
  kind: fastCheck.constantFrom<HealthSample['kind']>('answered', 'failed', 'refused-connection', 'late'),
  milliseconds: fastCheck.integer({ min: 1, max: 1000 }),
  pause: fastCheck.integer({ min: 0, max: 3000 })
}), { maxLength: 200 })

function checkEjectedShare (getRecordSample: (tracker: UpstreamHealthTracker) => UpstreamHealthTracker['recordSample']): void {
  fastCheck.assert(fastCheck.property(samples, list => {
    const board = createTracker()
    const recordSample = getRecordSample(board)
    let now = 0
    for (const { upstream, kind, milliseconds, pause: delay } of list) {
      now += delay
      recordSample(upstreamIds[upstream], { kind, workKind: 'k', milliseconds } as HealthSample, now)
      for (const upstreamId of upstreamIds) board.getAllowedSlots(upstreamId, 8, true, now)
      const notHealthy = upstreamIds.filter(upstreamId => board.getState(upstreamId) !== 'healthy').length
      assert.ok(notHealthy <= 3, `${notHealthy} of 6 upstreams are ejected or on their way back`)
    }
  }), { seed: getTestSeed(), numRuns: 300, includeErrorInReport: true })
}

test('at most half of the upstreams are ejected or coming back, whatever is seen', () => {
  checkEjectedShare(board => (upstreamId, sample, now) => board.recordSample(upstreamId, sample, now))
})

test('the proof catches a board that judges each upstream by itself', () => {
  assert.throws(() => checkEjectedShare(board => {
    const alone = new Map(upstreamIds.map(upstreamId => {
      const own = UpstreamHealthTracker.create({ onEject: () => {} })
      own.setUpstreams([upstreamId, 'another'])
      return [upstreamId, own]
    }))
    board.getState = upstreamId => alone.get(upstreamId)!.getState(upstreamId)
    return (upstreamId, sample, now) => alone.get(upstreamId)!.recordSample(upstreamId, sample, now)
  }), /upstreams are ejected/)
})

test('a slow upstream is ejected, probed with repeatable work and readmitted step by step', () => {
  const board = createTracker()
  const answer = (upstreamId: string, milliseconds: number, now: number) =>
    board.recordSample(upstreamId, { kind: 'answered', workKind: 'k', milliseconds }, now)
  for (let round = 0; round < 20; round++) for (const upstreamId of upstreamIds) answer(upstreamId, 10, 0)
  for (let round = 0; round < 4; round++) answer('u0', 100, 10)
  assert.equal(board.getState('u0'), 'ejected')
  assert.equal(board.getAllowedSlots('u0', 8, true, 900), 0)
  assert.equal(board.getAllowedSlots('u0', 8, false, 1010), 0)
  assert.equal(board.getAllowedSlots('u0', 8, true, 1010), 1)
  answer('u0', 100, 1100)
  assert.equal(board.getState('u0'), 'ejected')
  assert.equal(board.getAllowedSlots('u0', 8, true, 3100), 1)
  answer('u0', 10, 3110)
  const steps = [0, 500, 1000, 1500, 2000].map(later => board.getAllowedSlots('u0', 8, true, 3110 + later))
  assert.deepEqual(steps, [1, 2, 4, 8, 8])
  assert.equal(board.getState('u0'), 'healthy')
})

test('a single failure does not eject and a refused connection does', () => {
  const board = createTracker()
  board.recordSample('u0', { kind: 'failed' }, 0)
  board.recordSample('u1', { kind: 'refused-connection' }, 0)
  assert.deepEqual([board.getState('u0'), board.getState('u1')], ['healthy', 'ejected'])
})
