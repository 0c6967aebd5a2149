import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { ListedInstance } from '../../src/membership/InstanceList.js'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { LaggingInstanceList } from './LaggingInstanceList.js'

const instance: ListedInstance = {
  instanceId: 'u1', role: 'upstream', address: '127.0.0.1:1', dataCentre: 'a', region: 'r', rack: 'k', state: 'live'
}

const cases: Array<{ name: string, change: (list: LaggingInstanceList) => void, before: string[], after: string[] }> = [
  { name: 'put', change: list => list.put({ ...instance, instanceId: 'u2' }), before: ['u1'], after: ['u1', 'u2'] },
  { name: 'delete', change: list => list.delete('u1'), before: ['u1'], after: [] }
]

for (const { name, change, before, after } of cases) {
  test(`a ${name} becomes visible only after the lag`, async () => {
    const clock = VirtualClock.create()
    const list = LaggingInstanceList.create({ clock, lagMilliseconds: 2000, instances: [instance] })
    change(list)
    await clock.advance(1999)
    assert.deepEqual(list.getInstances().map(({ instanceId }) => instanceId), before)
    await clock.advance(1)
    assert.deepEqual(list.getInstances().map(({ instanceId }) => instanceId), after)
  })
}
