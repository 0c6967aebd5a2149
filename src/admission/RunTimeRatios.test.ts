import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RunTimeRatios } from './RunTimeRatios.js'

test('a ratio is 1 without data, and is learned for each queue and kind of room', () => {
  const ratios = RunTimeRatios.create()
  for (let index = 0; index < 200; index++) ratios.recordRun('queue', true, index % 2 === 0 ? 2 : 4.5, index * 10)
  assert.ok(Math.abs(ratios.getRunTimeRatio('queue', true) - 3) < 0.15)
  assert.equal(ratios.getRunTimeRatio('queue', false), 1)
  assert.equal(ratios.getRunTimeRatio('other', true), 1)
})

test('a ratio follows a change within some half-lives, and one odd run hardly changes it', () => {
  const ratios = RunTimeRatios.create()
  for (let index = 0; index < 100; index++) ratios.recordRun('queue', false, 1, index * 100)
  ratios.recordRun('queue', false, 1000, 10_000)
  assert.ok(ratios.getRunTimeRatio('queue', false) < 1.1)
  for (let index = 0; index < 400; index++) ratios.recordRun('queue', false, 4, 10_000 + index * 100)
  assert.ok(ratios.getRunTimeRatio('queue', false) > 3.5)
})

test('a ratio has bounds, and malformed values change nothing', () => {
  const ratios = RunTimeRatios.create()
  for (const ratio of [NaN, Infinity, 0, -1]) ratios.recordRun('queue', false, ratio, 0)
  assert.equal(ratios.getRunTimeRatio('queue', false), 1)
  for (let index = 0; index < 10_000; index++) ratios.recordRun('queue', false, 1e9, 0)
  assert.ok(Math.abs(ratios.getRunTimeRatio('queue', false) - 8) < 0.01)
  for (let index = 0; index < 1000; index++) ratios.recordRun('queue', false, 1e-9, 1_000_000)
  assert.ok(Math.abs(ratios.getRunTimeRatio('queue', false) - 0.5) < 0.01)
})
