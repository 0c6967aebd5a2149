import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import type { JsonValue } from './JsonValue.js'
import { parseJsonInTurns } from './parseJsonInTurns.js'
import { getTestSeed } from './testSeed.js'

const SLICE_BYTES = 16

async function parse (text: string | Buffer, sliceBytes = SLICE_BYTES) {
  let turns = 1
  const value = await parseJsonInTurns({
    bytes: Buffer.from(text as string),
    sliceBytes,
    endTurn: async () => { turns++ }
  })
  return { value, turns }
}

function parseWhole (bytes: Buffer): JsonValue | undefined {
  try {
    return JSON.parse(bytes.toString())
  } catch {
    return undefined
  }
}

const sizes = fastCheck.integer({ min: 1, max: 40 })
const field = fastCheck.oneof(
  fastCheck.constantFrom('routes', 'a', '', '__proto__', 'length', '0'), fastCheck.string({ unit: 'binary', maxLength: 4 })
)
const content = fastCheck.oneof(
  fastCheck.jsonValue({ maxDepth: 2 }), fastCheck.constantFrom('[{', '},{', '[{},{},{}]', '},{"a":1},{', '{', '}]')
)
const object = fastCheck.dictionary(
  field, fastCheck.oneof(content, fastCheck.array(fastCheck.constant({}))), { maxKeys: 3 }
)
const value = fastCheck.oneof(
  fastCheck.jsonValue({ maxDepth: 3, stringUnit: 'binary' }), content,
  fastCheck.array(object, { maxLength: 12 }), fastCheck.array(object, { minLength: 5, maxLength: 30 }),
  fastCheck.array(fastCheck.oneof(object, content), { maxLength: 12 }),
  fastCheck.array(fastCheck.array(object), { maxLength: 5 }), object
)
const isSpaced = fastCheck.integer({ max: 9, min: 0 }).map(number => number === 0)
/** The text of an object, in which a field may be repeated. */
const text = fastCheck.array(fastCheck.tuple(field, value, isSpaced), { maxLength: 5 })
  .map(fields => `{${fields.map(([name, fieldValue, isSpaced]) =>
    `${JSON.stringify(name)}:${JSON.stringify(fieldValue, null, isSpaced ? 1 : 0)}`).join(',')}}`)

test('parses every JSON text like JSON.parse', async () => {
  const texts = fastCheck.oneof(text, value.map(whole => JSON.stringify(whole)))
  await fastCheck.assert(fastCheck.asyncProperty(texts, sizes, async (json, sliceBytes) => {
    assert.deepEqual((await parse(json, sliceBytes)).value, JSON.parse(json))
  }), { seed: getTestSeed(), numRuns: 3000 })
})

test('rejects what JSON.parse rejects, and accepts what it accepts', async () => {
  const changes = fastCheck.array(fastCheck.tuple(
    fastCheck.nat(), fastCheck.nat(1), fastCheck.constantFrom('', ',', '[', ']', '{', '}', '"', '\\', ' ', '1', ':', ',,', '[]', '\u00a0', '\xff', '},{', '[{', 'x},{y')
  ), { minLength: 1, maxLength: 3 })
  await fastCheck.assert(fastCheck.asyncProperty(text, changes, sizes, async (json, edits, sliceBytes) => {
    let changed = json
    for (const [position, removed, inserted] of edits) {
      const at = position % (changed.length + 1)
      changed = changed.slice(0, at) + inserted + changed.slice(at + removed)
    }
    for (const bytes of [Buffer.from(changed), Buffer.from(changed, 'latin1')]) {
      assert.deepEqual((await parse(bytes, sliceBytes)).value, parseWhole(bytes))
    }
  }), { seed: getTestSeed(), numRuns: 6000 })
})

test('parses a text that holds the marker of parsed elements like JSON.parse', async () => {
  const marker = /MARKER = '(.*)'/.exec(readFileSync('src/shared/parseJsonInTurns.ts', 'utf8'))![1]
  const routes = Array.from({ length: 50 }, (_, index) => ({ index }))
  const values = [{ first: [marker, ...routes], routes }, { routes, last: [marker] }, { [marker]: marker, routes }]
  for (const json of values) {
    assert.deepEqual((await parse(JSON.stringify(json))).value, json)
  }
})

test('parses a large array in turns of bounded size', async () => {
  const routes = Array.from({ length: 1000 }, (_, index) => ({ name: `route-${index}`, attempts: index }))
  const services = [{ name: 'a' }, { name: 'b' }]
  for (const whole of [{ version: 3, routes, services, limits: { a: 5 } }, { services, limits: {}, routes }]) {
    const json = JSON.stringify(whole)
    const parsed = await parse(json, 1000)
    assert.deepEqual(parsed.value, whole)
    assert.ok(parsed.turns >= Math.floor(json.length / 1100), `${parsed.turns} turns`)
  }
})
