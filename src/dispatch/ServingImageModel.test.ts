import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { getTestSeed } from '../shared/testSeed.js'
import { ServingImageModel } from './ServingImageModel.js'

const STEP_COUNT = 7
const TASKS_PER_STEP = 6
const REPORT_MILLISECONDS = 600
/** The load of a step, and so its headroom, swings with this period. */
const SWING_MILLISECONDS = 14_000
/** The standard deviation of a reported headroom, from traces of the platform. */
const NOISE = 0.2
const TRUE_EFFECTS: Record<string, number> = { heavy: -6, medium: -4.5, light: 0 }
/** Effects below this are acted upon. */
const COMPATIBLE_EFFECT = -2.2
const CONVERGED_VARIANCE = 4

interface EmulatedTask {
  step: number
  image: string
  share: number
}

/** Emulates reports of steps with independent loads, whose best-effort neighbours change all the time. */
function play (model: ServingImageModel, fromMilliseconds: number, toMilliseconds: number): void {
  const random = createRandom(getTestSeed())
  const images = Object.keys(TRUE_EFFECTS)
  const tasks: EmulatedTask[] = Array.from({ length: STEP_COUNT * TASKS_PER_STEP }, (_, index) =>
    ({ step: index % STEP_COUNT, image: images[index % images.length], share: 0 }))
  const phases = Array.from({ length: STEP_COUNT }, () => random() * 2 * Math.PI)
  for (let now = fromMilliseconds; now < toMilliseconds; now += REPORT_MILLISECONDS) {
    for (const task of tasks) {
      const changes = random() < 0.4
      if (changes) Object.assign(task, { image: images[Math.floor(random() * images.length)], share: random() * 0.2 })
      const load = 0.9 * Math.sin(2 * Math.PI * now / SWING_MILLISECONDS + phases[task.step])
      const noise = (random() + random() + random() + random() - 2) * NOISE * Math.sqrt(3)
      const headroom = 2.4 + load + TRUE_EFFECTS[task.image] * task.share + noise
      model.learn(`step-${task.step}`, new Map([[task.image, task.share]]), headroom, now)
    }
  }
}

test('knows which images interfere after some seconds, while the loads of the steps swing and neighbours change', () => {
  const model = ServingImageModel.create()
  play(model, 0, 5000)
  for (const [image, effect] of Object.entries(TRUE_EFFECTS)) {
    const [weight, variance] = model.getEffect(image)!
    assert.ok(variance <= CONVERGED_VARIANCE, `variance ${variance} of ${image}`)
    assert.equal(weight < COMPATIBLE_EFFECT, effect < COMPATIBLE_EFFECT, `${image}: ${weight}`)
  }
})

test('keeps as many headrooms as steps run at a time', () => {
  const model = ServingImageModel.create()
  for (let step = 0; step < 200; step++) {
    for (let report = 0; report < 20; report++) {
      model.learn(`step-${step}`, new Map([['light', 0.1]]), 2.5, step * 30_000 + report * REPORT_MILLISECONDS)
    }
  }
  assert.equal(model.stepCount, 1)
  assert.ok(Math.abs(model.getHeadroom() - 2.5) < 0.2, `headroom ${model.getHeadroom()}`)
})

test('a next owner starts from the learned effects and headroom', () => {
  const model = ServingImageModel.create()
  play(model, 0, 10_000)
  const next = ServingImageModel.create()
  next.import(model.export())
  assert.ok(Math.abs(next.getHeadroom() - model.getHeadroom()) < 0.01)
  for (const image of Object.keys(TRUE_EFFECTS)) {
    assert.ok(Math.abs(next.getEffect(image)![0] - model.getEffect(image)![0]) < 0.01)
  }
})
