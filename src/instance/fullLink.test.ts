import assert from 'node:assert/strict'
import { test } from 'node:test'
import { findFullLinkFailures } from '../../stand-ins/platform/findFullLinkFailures.js'
import type { LinkTraffic } from '../../stand-ins/platform/FullLinkScenario.js'
import { isKnownRed } from '../../tools/demo/isKnownRed.js'

const CASES: Array<LinkTraffic & { title: string }> = [
  { title: 'a queue of other traffic towards the far workers', directions: ['to-far'] },
  { title: 'a queue of other traffic from the far workers', directions: ['from-far'] },
  { title: 'a queue of other traffic in both directions', directions: ['to-far', 'from-far'] }
]

for (const { title: traffic, ...linkTraffic } of CASES) {
  const title = `no task runs twice and long-running tasks are back in time with ${traffic}`
  test(title, { todo: isKnownRed(title) }, async context => {
    assert.deepEqual(await findFullLinkFailures(linkTraffic, text => context.diagnostic(text)), [])
  })
}
