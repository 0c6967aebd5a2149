import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ErrorBoundary } from './ErrorBoundary.js'
import { silentLogger, type LogFields } from './Logger.js'
import { VirtualClock } from './VirtualClock.js'

function createBoundary () {
  const clock = VirtualClock.create()
  const lines: LogFields[] = []
  const activities: string[] = []
  const boundary = ErrorBoundary.create({
    clock,
    logger: { ...silentLogger, error: (_message, fields = {}) => lines.push(fields) },
    onError: activity => activities.push(activity)
  })
  return { clock, boundary, lines, activities }
}

function throwError (): never {
  throw new Error('broken')
}

test('returns whether the work completed, and never throws', async () => {
  const { boundary, activities } = createBoundary()
  assert.equal(boundary.run('plan', () => {}), true)
  assert.equal(boundary.run('plan', throwError), false)
  assert.equal(await boundary.runAsync('order', async () => {}), true)
  assert.equal(await boundary.runAsync('order', async () => throwError()), false)
  assert.equal(await boundary.runAsync('order', throwError), false)
  assert.deepEqual(activities, ['plan', 'order', 'order'])
})

test('logs one error of an activity in a second, with the number of those that it left out', async () => {
  const { clock, boundary, lines, activities } = createBoundary()
  for (let count = 0; count < 5; count++) boundary.run('plan', throwError)
  boundary.report('order', 'a text')
  await clock.advance(1000)
  boundary.run('plan', throwError)
  assert.equal(activities.length, 7)
  assert.deepEqual(lines.map(({ activity, reason, suppressed }) => [activity, reason, suppressed]), [
    ['plan', 'broken', 0], ['order', 'a text', 0], ['plan', 'broken', 4]
  ])
})
