import assert from 'node:assert/strict'
import { test } from 'node:test'
import { findFullLinkFailures } from '../../stand-ins/platform/findFullLinkFailures.js'
import type { LinkTraffic } from '../../stand-ins/platform/FullLinkScenario.js'
import { isKnownRed } from '../../tools/demo/isKnownRed.js'

const CASES: Array<LinkTraffic & { title: string }> = [
  { title: 'traffic that delays each message by 1 s towards the far workers', directions: ['to-far'], queueMilliseconds: 1000 },
  {
    title: 'traffic that delays each message by 1 s in both directions',
    directions: ['to-far', 'from-far'],
    queueMilliseconds: 1000
  }
]

for (const { title: traffic, ...linkTraffic } of CASES) {
  const title = `no task runs twice and long-running tasks are back in time with ${traffic}`
  test(title, { todo: isKnownRed(title) }, async context => {
    assert.deepEqual(await findFullLinkFailures(linkTraffic, text => context.diagnostic(text)), [])
  })
}
