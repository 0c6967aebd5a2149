import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestDispatcher } from '../../stand-ins/platform/createTestDispatcher.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import type { HoldOutcome, WorkerEntry } from '../dispatch/index.js'
import { VirtualClock } from '../shared/VirtualClock.js'

/** Times after the start, between two ticks of the owner and at them. */
const REMOVAL_TIMES = [2000, 2040, 2080, 2120, 2160]
/** Shorter than the interval at which the owner stops the loops of removed workers. */
const ABSENCE_MILLISECONDS = 30

for (const removedAt of REMOVAL_TIMES) {
  test(`a worker that is listed again soon after its removal is followed (removed at ${removedAt} ms)`, async () => {
    const clock = VirtualClock.create(1000)
    const entry = createWorkerEntry()
    const workers = new Map<string, WorkerEntry>([['worker-0', entry]])
    let isReachable = false
    const dispatcher = createTestDispatcher({
      clock,
      workers,
      hold: async (): Promise<HoldOutcome> => {
        await new Promise<void>(resolve => { clock.setTimer(100, resolve) })
        const report = {
          workerMilliseconds: clock.monotonicMilliseconds(), bornAtMilliseconds: 1, running: [], ended: []
        }
        return isReachable ? { kind: 'reported', report } : { kind: 'unknown', reason: 'timeout' }
      },
      listLiveWorkers: async () => ({ kind: 'ok', value: new Set() })
    })
    dispatcher.run()
    await clock.advance(removedAt)
    workers.delete('worker-0')
    dispatcher.updateSite()
    await clock.advance(ABSENCE_MILLISECONDS)
    workers.set('worker-0', entry)
    dispatcher.updateSite()
    isReachable = true
    await clock.advance(3000)
    assert.equal(dispatcher.engine.workers.get('worker-0')?.syncState, 'synchronized')
    dispatcher.stop()
  })
}
