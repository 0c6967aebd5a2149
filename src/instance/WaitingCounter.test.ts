import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { DispatchEngine } from '../dispatch/index.js'
import type { LogFields } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { WaitingCounter } from './WaitingCounter.js'

const LOG_MILLISECONDS = 100

/** Creates the counter of an owner with one waiting job, whose ages are those in `ages`. */
function createCounter () {
  const clock = VirtualClock.create()
  const { jobs } = DispatchEngine.create({ epoch: 65 })
  jobs.add({ submission: createSubmission([{}]), progress: [], recovered: false }, 0)
  const ages = { renewal: 0, read: 0 }
  const lines: Array<{ message: string, fields?: LogFields }> = []
  const log = (message: string, fields?: LogFields) => { lines.push({ message, fields }) }
  const counter = WaitingCounter.create({
    jobs,
    epoch: 65,
    clock,
    logger: { info: log, warn: log, error: log },
    getRenewalAge: () => ages.renewal,
    getReadAge: () => ages.read
  })
  return { counter, ages, clock, lines }
}

test('a count is given as long as the copy of the job table was read within 4 s', () => {
  const { counter, ages } = createCounter()
  assert.equal(counter.count('queue'), 1)
  assert.equal(counter.count('other'), 0)
  ages.read = 4000
  assert.equal(counter.count('queue'), 1)
  for (ages.read of [4001, Infinity]) assert.equal(counter.count('queue'), null)
})

test('an owner that cannot renew its ownership gives no count, as another one may have started the jobs', () => {
  const { counter, ages } = createCounter()
  ages.renewal = 4999
  assert.equal(counter.count('queue'), 1)
  for (ages.renewal of [5000, Infinity]) assert.equal(counter.count('queue'), null)
})

test('counts are logged together with the owner and the ages of what they are based on', async () => {
  const { counter, ages, clock, lines } = createCounter()
  ages.renewal = 700.4
  counter.count('queue')
  ages.read = Infinity
  counter.count('queue')
  await clock.advance(LOG_MILLISECONDS)
  const event = { queue: 'queue', waiting: 1, started: 0, ended: 0, jobs: 1, epoch: 65, renewalAgeMilliseconds: 700 }
  assert.deepEqual(lines, [{
    message: 'waiting jobs counted',
    fields: {
      events: [
        { ...event, obstacle: null, readAgeMilliseconds: 0 },
        { ...event, obstacle: 'read-too-old', readAgeMilliseconds: null }
      ]
    }
  }])
})
