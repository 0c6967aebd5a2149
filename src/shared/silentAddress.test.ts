import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { HttpCaller } from './HttpCaller.js'

/** The timeout of a `hold` call that does not wait, the pause between two calls, and the timeout of connections. */
const HOLD_MILLISECONDS = 600
const PAUSE_MILLISECONDS = 200
const CONNECT_MILLISECONDS = 1000

test('calls to an unreachable address do not all report that they expired in the queue', async context => {
  const caller = HttpCaller.create({
    connections: 1,
    openConnection: (_options, callback) => {
      setTimeout(() => callback(Object.assign(new Error('timeout'), { code: 'UND_ERR_CONNECT_TIMEOUT' }), null),
        CONNECT_MILLISECONDS)
    }
  })
  context.after(() => caller.close())
  const reasons = new Set<string>()
  for (let count = 0; count < 6; count++) {
    const result = await caller.call({
      address: '127.0.0.1:1', method: 'POST', path: '/', timeoutMilliseconds: HOLD_MILLISECONDS
    })
    reasons.add(result.kind === 'answered' ? result.kind : result.reason)
    await sleep(PAUSE_MILLISECONDS)
  }
  assert.notDeepEqual([...reasons], ['queue-timeout'])
})
