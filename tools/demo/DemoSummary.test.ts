import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { RunInterval } from '../../stand-ins/workers/RunLog.js'
import { addSummaries, countStartsAfterTakeOut, getViolations, type DemoSummary } from './DemoSummary.js'

const validSummary: DemoSummary = {
  requests: 10,
  answered: 8,
  notRun: 1,
  unknown: 1,
  wrongAnswers: 0,
  cutRequests: 0,
  notConnected: 0,
  notRunButRan: 0,
  repeatedSubmissions: 0,
  tasksSubmitted: 4,
  tasksFinished: 4,
  standingSubmitted: 1,
  standingRunning: 1,
  doubleRuns: 0,
  repeatedCompletions: 0,
  overCommitments: 0,
  startsAfterTakeOut: 0,
  runsNotAccepted: 0,
  forcedStops: 0
}

const violationCases: Array<{ change: Partial<DemoSummary>, expected: string[] }> = [
  { change: {}, expected: [] },
  { change: { wrongAnswers: 1 }, expected: ['wrongAnswers is 1, expected 0'] },
  { change: { cutRequests: 1 }, expected: ['cutRequests is 1, expected 0'] },
  { change: { doubleRuns: 2 }, expected: ['doubleRuns is 2, expected 0'] },
  { change: { startsAfterTakeOut: 1 }, expected: ['startsAfterTakeOut is 1, expected 0'] },
  { change: { tasksFinished: 3 }, expected: ['tasksFinished is 3 of 4'] },
  { change: { standingRunning: 0 }, expected: ['standingRunning is 0 of 1'] },
  { change: { answered: 0 }, expected: ['answered is 0'] }
]

for (const { change, expected } of violationCases) {
  test(`getViolations reports exactly the violated guarantees: ${JSON.stringify(change)}`, () => {
    assert.deepEqual(getViolations({ ...validSummary, ...change }), expected)
  })
}

test('addSummaries adds the summaries field by field', () => {
  const { requests, tasksFinished, doubleRuns } = addSummaries([validSummary, { ...validSummary, doubleRuns: 1 }])
  assert.deepEqual({ requests, tasksFinished, doubleRuns }, { requests: 20, tasksFinished: 8, doubleRuns: 1 })
})

test('countStartsAfterTakeOut counts only starts in the data centre, after the grace period and before its return', () => {
  const createRun = (dataCentre: string, startedAt: number) => ({ dataCentre, startedAt }) as RunInterval
  const runs = [
    createRun('a', 900), createRun('a', 6000), createRun('a', 6001), createRun('b', 7000), createRun('a', 9000)
  ]
  assert.equal(countStartsAfterTakeOut(runs, { dataCentre: 'a', acceptedAt: 1000, broughtBackAt: 9000 }), 1)
})
