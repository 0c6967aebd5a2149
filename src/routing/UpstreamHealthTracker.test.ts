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
    const tracker = createTracker()
    const recordSample = getRecordSample(tracker)
    let now = 0
    for (const { upstream, kind, milliseconds, pause } of list) {
      now += pause
      recordSample(upstreamIds[upstream], { kind, workKind: 'k', milliseconds } as HealthSample, now)
      for (const upstreamId of upstreamIds) tracker.getAllowedSlots(upstreamId, 8, true, now)
      const notHealthy = upstreamIds.filter(upstreamId => tracker.getState(upstreamId) !== 'healthy').length
      assert.ok(notHealthy <= 3, `${notHealthy} of 6 upstreams are ejected, probing or readmitting`)
    }
  }), { seed: getTestSeed(), numRuns: 300, includeErrorInReport: true })
}

test('ejects, probes or readmits at most half of the upstreams at a time, whatever the samples are', () => {
  checkEjectedShare(tracker => (upstreamId, sample, now) => tracker.recordSample(upstreamId, sample, now))
})

test('the share check rejects a tracker that ejects each upstream regardless of the others', () => {
  assert.throws(() => checkEjectedShare(tracker => {
    const trackers = new Map(upstreamIds.map(upstreamId => {
      const separate = UpstreamHealthTracker.create({ onEject: () => {} })
      separate.setUpstreams([upstreamId, 'another'])
      return [upstreamId, separate]
    }))
    tracker.getState = upstreamId => trackers.get(upstreamId)!.getState(upstreamId)
    return (upstreamId, sample, now) => trackers.get(upstreamId)!.recordSample(upstreamId, sample, now)
  }), /upstreams are ejected/)
})

test('ejects a slow upstream, probes it with repeatable work and readmits it step by step', () => {
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

test('ejects an upstream after a refused connection, but not after a single failure', () => {
  const tracker = createTracker()
  tracker.recordSample('u0', { kind: 'failed' }, 0)
  tracker.recordSample('u1', { kind: 'refused-connection' }, 0)
  assert.deepEqual([tracker.getState('u0'), tracker.getState('u1')], ['healthy', 'ejected'])
})
