import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedInterference } from './EmulatedInterference.js'

const TARGET_MILLISECONDS = 200
const IMAGES = Array.from({ length: 30 }, (_, index) => `image-${index}`)
/** All moments of one period of the load, in milliseconds. */
const MOMENTS = Array.from({ length: 100 }, (_, index) => index * 100)

const task = { stepName: 'job.0.0', image: 'web', targetMilliseconds: TARGET_MILLISECONDS }

function getTails (interference: EmulatedInterference, neighbours: Array<{ image: string, pacePercent: number }>) {
  return MOMENTS.map(now => interference.getTailMilliseconds(task, neighbours, now))
}

test('the tail of a serving task swings with its load and stays below its target without neighbours', () => {
  const tails = getTails(EmulatedInterference.create({ seed: 1 }), [])
  assert.ok(Math.max(...tails) < TARGET_MILLISECONDS, String(Math.max(...tails)))
  assert.ok(Math.max(...tails) > Math.min(...tails) * 1.5)
})

test('a heavy neighbour takes a serving task over its target at high load, unless its pace is low', () => {
  const interference = EmulatedInterference.create({ seed: 1 })
  const heavy = IMAGES.find(image => interference.isHeavy('web', image))!
  const light = IMAGES.find(image => !interference.isHeavy('web', image))!
  assert.ok(getTails(interference, [{ image: heavy, pacePercent: 100 }]).some(tail => tail > TARGET_MILLISECONDS))
  assert.ok(getTails(interference, [{ image: heavy, pacePercent: 100 }]).some(tail => tail < TARGET_MILLISECONDS))
  for (const neighbour of [{ image: heavy, pacePercent: 20 }, { image: light, pacePercent: 100 }]) {
    assert.ok(getTails(interference, [neighbour]).every(tail => tail < TARGET_MILLISECONDS))
  }
})

test('which pairs of images are heavy depends on the seed only', () => {
  const pairs = IMAGES.flatMap(serving => IMAGES.map(bestEffort => [serving, bestEffort]))
  const getHeavy = (seed: number) => {
    const interference = EmulatedInterference.create({ seed })
    return pairs.filter(([serving, bestEffort]) => interference.isHeavy(serving, bestEffort)).map(pair => pair.join())
  }
  const heavy = getHeavy(5)
  assert.ok(heavy.length > pairs.length * 0.5 && heavy.length < pairs.length * 0.7, String(heavy.length))
  assert.deepEqual(getHeavy(5), heavy)
  assert.notDeepEqual(getHeavy(6), heavy)
})
