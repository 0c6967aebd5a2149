import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import fastCheck from 'fast-check'
import { HttpCaller, type HttpCall, type HttpCallEndReason } from './HttpCaller.js'
import { getTestSeed } from './testSeed.js'

const CALL: HttpCall = { address: '10.0.0.1:80', method: 'POST', path: '/', body: '{}', timeoutMilliseconds: 1000 }

/** Creates a caller whose connections are all refused, so that no address is contacted. */
function createRefusedCaller (context: TestContext, ends: HttpCallEndReason[] = []): HttpCaller {
  const caller = HttpCaller.create({
    connections: 1,
    observer: { connectionOpened () {}, connectionClosed () {}, callEnded: (_address, end) => { ends.push(end) } },
    openConnection: (_options, callback) => {
      setImmediate(() => callback(Object.assign(new Error('refused'), { code: 'ECONNREFUSED' }), null))
    }
  })
  context.after(() => caller.close())
  return caller
}

test('a call to an invalid address ends as not sent and rejects no promise, which would end the process', async context => {
  const ends: HttpCallEndReason[] = []
  const caller = createRefusedCaller(context, ends)
  const addresses = ['10.0.0.1:99999', 'a/b:80', '999.1.1.1:80', '@:1', '[:80', 'a?b:80', 'a\\b:1', '\u0000:1', '', ':1']
  for (const address of addresses) {
    const result = await caller.call({ ...CALL, address })
    assert.deepEqual(result, { kind: 'not-sent', reason: 'invalid-address' }, JSON.stringify(address))
  }
  assert.deepEqual(ends, addresses.map(() => 'refused'))
})

test('a call with any address, path and header value ends as a result and not as a rejection', async context => {
  const caller = createRefusedCaller(context)
  const text = fastCheck.oneof(fastCheck.string({ unit: 'binary' }), fastCheck.constantFrom('10.0.0.1:80', '/', 'a\r\nb'))
  await fastCheck.assert(fastCheck.asyncProperty(text, text, text, async (address, path, header) => {
    const result = await caller.call({ ...CALL, address, path, headers: { 'expect-instance': header } })
    assert.equal(result.kind, 'not-sent')
    caller.closeAddress(address)
  }), { seed: getTestSeed(), numRuns: 300 })
})
