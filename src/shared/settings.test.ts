import assert from 'node:assert/strict'
import { test } from 'node:test'
import { z } from 'zod'
import { checkSettings, commonSettings, formatSettingFaults } from './settings.js'

const accepted = {
  'instance-id': 'entry-1',
  'data-centre': 'south-a',
  region: 'south',
  'listen-port': '8100',
  'table-service-url': 'http://127.0.0.1:7000',
  'instance-list-url': 'http://127.0.0.1:7100'
}

test('flags override environment variables', () => {
  const checked = checkSettings(commonSettings, accepted, { PAPAYAMOOR_LISTEN_PORT: '9' })
  assert.equal(checked.kind === 'ok' && checked.value.listenPort, 8100)
})

test('one message reports all faults with accepted examples', () => {
  const checked = checkSettings(commonSettings, { ...accepted, 'listen-port': 'x', region: undefined }, {})
  assert.equal(checked.kind, 'failed')
  if (checked.kind !== 'failed') return
  assert.equal(formatSettingFaults(checked.failure), [
    'The settings are not valid:',
    '  --region (PAPAYAMOOR_REGION): missing; for example south',
    '  --listen-port (PAPAYAMOOR_LISTEN_PORT): "x" is not accepted: expected a whole number; for example 8100'
  ].join('\n'))
})

test('the value of a secret is not printed', () => {
  const definitions = {
    key: { name: 'key', description: 'key', schema: z.string().min(40), example: '40 characters', secret: true }
  }
  const checked = checkSettings(definitions, { key: 'hunter2' }, {})
  assert.equal(checked.kind === 'failed' && JSON.stringify(checked.failure).includes('hunter2'), false)
})
