import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { getTestSeed } from '../shared/testSeed.js'
import type { WorkClass } from '../policy/CompiledPolicy.js'
import { AdmissionQueue, type QueuedRequest } from './AdmissionQueue.js'

interface Entry extends QueuedRequest { number: number }

type Queue = Pick<AdmissionQueue<Entry>, 'push' | 'shift'>

function createEntry (number: number, caller: string, workClass: WorkClass): Entry {
  return { number, service: 's', caller, workClass, mayRepeat: false, deadlineAt: 1000, expectedMilliseconds: 1 }
}

const arrivals = fastCheck.array(
  fastCheck.tuple(fastCheck.constantFrom('a', 'b', 'c'), fastCheck.constantFrom<WorkClass>('urgent', 'may-wait')),
  { minLength: 1, maxLength: 60 })

/** Takes everything out and checks the order: class, then turns of callers, then arrival. */
function checkOrder (createQueue: () => Queue): void {
  fastCheck.assert(fastCheck.property(arrivals, list => {
    const queue = createQueue()
    const entries = list.map(([caller, workClass], number) => createEntry(number, caller, workClass))
    entries.forEach(entry => queue.push(entry))
    const served: Entry[] = []
    for (let entry = queue.shift(); entry !== null; entry = queue.shift()) served.push(entry)
    assert.equal(served.length, entries.length)
    const firstThatMayWait = served.findIndex(entry => entry.workClass === 'may-wait')
    assert.ok(firstThatMayWait < 0 || served.slice(firstThatMayWait).every(entry => entry.workClass === 'may-wait'),
      'urgent work passes work that may wait')
    for (const workClass of ['urgent', 'may-wait']) {
      const ofClass = served.filter(entry => entry.workClass === workClass)
      for (const caller of ['a', 'b', 'c']) {
        const positions = ofClass.flatMap((entry, position) => entry.caller === caller ? [position] : [])
        const numbers = positions.map(position => ofClass[position].number)
        assert.deepEqual(numbers, [...numbers].sort((left, right) => left - right), 'a caller is served in order')
        positions.forEach((position, turn) => assert.ok(position < (turn + 1) * 3, 'no caller waits for more than a turn'))
      }
    }
  }), { seed: getTestSeed(), numRuns: 500, includeErrorInReport: true })
}

test('urgent work goes first and callers take turns', () => {
  checkOrder(() => AdmissionQueue.create<Entry>())
})

test('the proof catches a queue by arrival only', () => {
  assert.throws(() => checkOrder(() => {
    const entries: Entry[] = []
    return { push: entry => { entries.push(entry); return null }, shift: () => entries.shift() ?? null }
  }), /urgent work passes/)
})

test('the proof catches a queue by class without turns of callers', () => {
  assert.throws(() => checkOrder(() => {
    const queue = AdmissionQueue.create<Entry>()
    const originals = new Map<number, Entry>()
    return {
      push: entry => {
        originals.set(entry.number, entry)
        return queue.push({ ...entry, caller: 'all' })
      },
      shift: () => originals.get(queue.shift()?.number ?? -1) ?? null
    }
  }), /more than a turn/)
})

test('a full queue sheds the newest request of the caller with the most waiting', () => {
  const queue = AdmissionQueue.create<Entry>({ maximumLength: 4 })
  ;['a', 'a', 'a', 'b'].forEach((caller, number) => queue.push(createEntry(number, caller, 'may-wait')))
  assert.equal(queue.push(createEntry(4, 'b', 'may-wait'))?.number, 2)
  assert.equal(queue.push(createEntry(5, 'b', 'urgent'))?.workClass, 'may-wait')
  assert.equal(queue.getLength(), 4)
})

test('requests that cannot be answered in time are removed and the others stay', () => {
  const queue = AdmissionQueue.create<Entry>()
  queue.push({ ...createEntry(0, 'a', 'urgent'), deadlineAt: 10 })
  queue.push({ ...createEntry(1, 'a', 'urgent'), deadlineAt: 100 })
  assert.deepEqual(queue.removeUnservable(9.5).map(entry => entry.number), [0])
  assert.equal(queue.countAhead('urgent', 'a'), 1)
  assert.equal(queue.countAhead('may-wait', 'b'), 1)
})
