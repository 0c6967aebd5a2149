import assert from 'node:assert/strict'
import { test } from 'node:test'
import { deflateSync } from 'node:zlib'
import fastCheck from 'fast-check'
import type { JsonValue } from '../shared/JsonValue.js'
import { getTestSeed } from '../shared/testSeed.js'
import {
  decodeTableCopy, encodeTableCopy, getTableCopyKey, getTableCopyPrefix, getTableCopyVersion, zlibCompression
} from './tableCopyFormat.js'

const versions = fastCheck.maxSafeNat()

test('keys sort by version and name their table and version', () => {
  fastCheck.assert(fastCheck.property(versions, versions, (left, right) => {
    assert.equal(getTableCopyKey('op', left) < getTableCopyKey('op', right), left < right)
    assert.equal(getTableCopyVersion('op', getTableCopyKey('op', left)), left)
    assert.equal(getTableCopyVersion('other', getTableCopyKey('op', left)), null)
  }), { seed: getTestSeed() })
  assert.equal(getTableCopyKey('op', 123), 'table-copies/1/op/0000000000000123')
})

test('ignores keys that are not those of copies', () => {
  for (const suffix of ['', '1', '000000000000012x', '00000000000000123', '9999999999999999']) {
    assert.equal(getTableCopyVersion('op', getTableCopyPrefix('op') + suffix), null, suffix)
  }
})

test('decodes every encoded snapshot', async () => {
  const rows = fastCheck.array(fastCheck.record({
    table: fastCheck.constant('op'), key: fastCheck.string(), version: versions, value: fastCheck.jsonValue()
  }))
  await fastCheck.assert(fastCheck.asyncProperty(rows, versions, async (generated, version) => {
    const snapshot = JSON.parse(JSON.stringify({ rows: generated, version }))
    const { bytes, decodedBytes } = await encodeTableCopy(snapshot, zlibCompression)
    assert.equal(decodedBytes, Buffer.byteLength(JSON.stringify(snapshot)))
    assert.deepEqual(await decodeTableCopy('op', version, bytes, zlibCompression), snapshot)
    assert.equal(await decodeTableCopy('op', version + 1, bytes, zlibCompression), null)
  }), { seed: getTestSeed() })
})

test('decodes no other content', async () => {
  const row = { table: 'op', key: 'config', version: 3, value: {} }
  const contents: JsonValue[] = [
    null, [], 'text', {}, { rows: [] }, { version: 7 }, { rows: {}, version: 7 }, { rows: [null], version: 7 },
    { rows: [{ ...row, table: 'servers' }], version: 7 }, { rows: [{ ...row, key: 1 }], version: 7 },
    { rows: [{ ...row, version: '3' }], version: 7 }, { rows: [{ table: 'op', key: 'config', version: 3 }], version: 7 }
  ]
  for (const content of contents) {
    assert.equal(await decodeTableCopy('op', 7, deflateSync(JSON.stringify(content)), zlibCompression), null)
  }
  const valid = deflateSync(JSON.stringify({ rows: [row], version: 7 }))
  assert.notEqual(await decodeTableCopy('op', 7, valid, zlibCompression), null)
  for (const bytes of [new Uint8Array(), Buffer.from('{"rows":[],"version":7}'), valid.subarray(0, 10)]) {
    assert.equal(await decodeTableCopy('op', 7, bytes, zlibCompression), null)
  }
})

test('does not decode a content beyond the limit', async () => {
  const bytes = deflateSync(JSON.stringify({ rows: [], version: 7, text: 'x'.repeat(65_000_000) }))
  assert.equal(await decodeTableCopy('op', 7, bytes, zlibCompression), null)
})
