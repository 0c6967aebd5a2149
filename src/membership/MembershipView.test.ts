import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { ListedInstance } from './InstanceList.js'
import { MembershipView, type Observation } from './MembershipView.js'

function list (state: ListedInstance['state'] = 'live'): ListedInstance[] {
  return [{
    instanceId: 'u', role: 'upstream', address: '127.0.0.1:1', dataCentre: 'a', region: 'r', rack: 'k', state
  }]
}

const cases: Array<{
  name: string
  observations?: Array<[Observation, number]>
  state?: ListedInstance['state']
  reports?: Array<['leaving' | 'unreachable', number, number]>
  now: number
  usable: boolean
}> = [
  { name: 'a listed instance is usable', now: 0, usable: true },
  { name: 'an instance listed as leaving is not usable', state: 'leaving', now: 0, usable: false },
  { name: 'a close notice overrides a lagging list', observations: [['close-notice', 0]], now: 30_000, usable: false },
  { name: 'a refused connection takes effect immediately', observations: [['connection-refused', 0]], now: 1, usable: false },
  {
    name: 'an unreachable instance is usable again after the hold time',
    observations: [['connection-refused', 0]],
    now: 2500,
    usable: true
  },
  {
    name: 'a response overrides an earlier refused connection',
    observations: [['connection-refused', 0], ['answered', 5]],
    now: 10,
    usable: true
  },
  {
    name: 'a response does not override an earlier close notice',
    observations: [['close-notice', 0], ['answered', 5]],
    now: 10,
    usable: false
  },
  { name: 'a report of a peer makes an instance unusable', reports: [['leaving', 100, 100]], now: 101, usable: false },
  { name: 'ignores a report that is too old', reports: [['unreachable', 6000, 100]], now: 101, usable: true },
  {
    name: 'a response observed by this process overrides an older report',
    observations: [['connection-refused', 0], ['answered', 90]],
    reports: [['unreachable', 50, 100]],
    now: 101,
    usable: true
  }
]

for (const { name, observations = [], state = 'live', reports = [], now, usable } of cases) {
  test(name, () => {
    const view = MembershipView.create()
    view.applyList(list(state), 0)
    for (const [observation, at] of observations) view.observe('u', observation, at)
    for (const [reported, age, at] of reports) {
      view.applyReports([{ instanceId: 'u', state: reported, ageMilliseconds: age }], at)
    }
    assert.equal(view.getMembers('upstream', now)[0].usable, usable)
  })
}

test('does not forward reports of peers, so that two instances do not renew them forever', () => {
  const view = MembershipView.create()
  view.applyList(list(), 0)
  view.applyReports([{ instanceId: 'u', state: 'leaving', ageMilliseconds: 0 }], 0)
  assert.deepEqual(view.getReports(1), [])
})

test('keeps an instance that is missing from the list until the grace time has passed', () => {
  const view = MembershipView.create()
  view.applyList(list(), 0)
  view.applyList([], 1000)
  assert.equal(view.getMembers('upstream', 1000).length, 1)
  view.applyList([], 6500)
  assert.equal(view.getMembers('upstream', 6500).length, 0)
})
