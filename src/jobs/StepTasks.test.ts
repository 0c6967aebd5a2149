import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { getTestSeed } from '../shared/testSeed.js'
import { IndexRanges } from './IndexRanges.js'
import { createJobRecord, createOccurrence, createRun } from './JobRecord.js'

function createTasks (taskCount: number) {
  const job = createJobRecord({ submission: createSubmission([{ taskCount }]), now: 0 })
  return createOccurrence(job, 0, 1, 0).steps[0].tasks
}

test('a set of index ranges has the same indexes as a set, whatever the order in which they are added', () => {
  const indexes = fastCheck.array(fastCheck.nat({ max: 40 }), { maxLength: 60 })
  fastCheck.assert(fastCheck.property(indexes, added => {
    const ranges = IndexRanges.create()
    for (const index of added) ranges.add(index)
    const expected = new Set(added)
    assert.equal(ranges.size, expected.size)
    for (let index = 0; index <= 41; index++) assert.equal(ranges.has(index), expected.has(index))
  }), { seed: getTestSeed() })
})

test('a search for waiting tasks creates the record of one task at a time', () => {
  const tasks = createTasks(1000)
  assert.equal(tasks.hasWaiting(() => true), true)
  assert.equal(tasks.hasWaiting(() => false), false)
  assert.deepEqual([...tasks.getAllCreated()].map(({ index }) => index), [0])
  for (const task of tasks.getWaiting(() => true)) {
    if (task.index === 3) break
    task.runs.push(createRun(task, 'worker', 1, 0))
  }
  assert.deepEqual([...tasks.getAllCreated()].map(({ index }) => index), [0, 1, 2, 3])
  assert.equal(tasks.getWaiting(() => true).next().value?.index, 3)
})

test('a task that is done has no record and waits no more', () => {
  const tasks = createTasks(3)
  const last = tasks.get(2)!
  for (const index of [2, 0, 2]) tasks.markDone(index)
  assert.deepEqual([last.done, tasks.remainingCount, tasks.get(0), tasks.get(2)], [true, 1, undefined, undefined])
  assert.deepEqual([...tasks.getWaiting(() => true)].map(({ index }) => index), [1])
  assert.deepEqual(tasks.createAll().map(({ index }) => index), [1])
  assert.deepEqual([tasks.get(-1), tasks.get(3), tasks.get(0.5)], [undefined, undefined, undefined])
})

test('a step has an idle task until each of its tasks has a run or is done', () => {
  const tasks = createTasks(2)
  const [first, second] = tasks.getWaiting(() => true)
  for (const task of [first, second]) {
    assert.equal(tasks.hasIdle(), true)
    task.runs.push(createRun(task, 'worker', 1, 0))
    tasks.addBusy(task)
  }
  assert.deepEqual([tasks.hasIdle(), tasks.hasWaiting(() => true)], [false, false])
  first.runs = []
  tasks.removeBusy(first)
  assert.deepEqual([tasks.hasIdle(), tasks.hasWaiting(() => true)], [true, true])
  tasks.markDone(first.index)
  tasks.markDone(second.index)
  second.runs = []
  tasks.removeBusy(second)
  assert.equal(tasks.hasIdle(), false)
})
