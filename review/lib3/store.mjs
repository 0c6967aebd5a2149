// A stand-in of the platform's metadata store, by PROTOCOL.md: rows, their feed, and raw objects.
import http from 'node:http'

const ANSWER_MS = 4
const HISTORY_MS = 20_000
const PAGE_ROWS = 500
const PAGE_BYTES = 1_000_000
const CALL_ENTRIES = 100
const CONTROLLED = new Set(['op', 'servers'])

export class Store {
  // Versions of rows that lay in the store before the run are below this one.
  static FIRST_VERSION = 10_000_000
  version = Store.FIRST_VERSION
  tables = new Map()
  history = []
  droppedThrough = Store.FIRST_VERSION
  blobs = new Map()
  waiting = new Set()
  feedSockets = new Set()
  isFeedSilent = false
  calls = { write: 0, read: 0 }
  // Set by a case: async (path, body) => undefined | 'busy' | 'drop'
  intercept = null

  async open () {
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy())
    })
    this.server.keepAliveTimeout = 0
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
  }

  close () {
    this.server.closeAllConnections()
    this.server.close()
  }

  // ---- what the operator, the runners and a case do directly

  getPart (table, part) {
    if (!this.tables.has(table)) this.tables.set(table, new Map())
    const parts = this.tables.get(table)
    if (!parts.has(part)) parts.set(part, { rows: new Map(), keys: null })
    return parts.get(part)
  }

  put (table, key, value, part = '') {
    const version = ++this.version
    this.write({ table, part, key, value: encode(value) }, version)
    this.wake()
  }

  remove (table, key, part = '') {
    const version = ++this.version
    this.write({ table, part, key }, version)
    this.wake()
  }

  getRows (table) {
    const all = []
    for (const [part, { rows }] of this.tables.get(table) ?? []) {
      for (const [key, row] of rows) all.push({ table, part, key, value: decode(row.value), ver: row.ver })
    }
    return all
  }

  // Adds a row that was written long before the run: it is older than the store's history.
  addOldRow (table, part, key, encodedValue, ver) {
    const place = this.getPart(table, part)
    place.rows.set(key, { value: encodedValue, ver })
    place.keys = null
  }

  write ({ table, part, key, value }, ver) {
    const place = this.getPart(table, part)
    if (!place.rows.has(key) || value === undefined) place.keys = null
    if (value === undefined) place.rows.delete(key)
    else place.rows.set(key, { value, ver })
    const content = value === undefined ? { tombstone: true } : { value }
    this.history.push({ at: performance.now(), row: { table, part, key, ver, ...content } })
  }

  wake () {
    const since = performance.now() - HISTORY_MS
    let dropped = 0
    while (dropped < this.history.length && this.history[dropped].at < since) {
      this.droppedThrough = this.history[dropped].row.ver
      dropped++
    }
    if (dropped > 0) this.history.splice(0, dropped)
    for (const check of [...this.waiting]) check()
  }

  // Feeds hear nothing for a second while changes are made; then the history is dropped and they are cut.
  async compact () {
    this.isFeedSilent = true
    await pause(1000)
    this.isFeedSilent = false
    this.history = []
    this.droppedThrough = this.version
    for (const socket of this.feedSockets) socket.destroy()
    for (const check of [...this.waiting]) check()
  }

  // ---- the calls

  async serve (request, response) {
    const chunks = []
    request.on('error', () => {})
    response.on('error', () => {})
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    const url = new URL(request.url, 'http://store')
    const path = url.pathname
    const isWrite = request.method !== 'GET'
    this.calls[isWrite ? 'write' : 'read']++
    const parsed = path === '/v1/rows-tx' ? JSON.parse(body) : null
    const verdict = await this.intercept?.(path, parsed, url.searchParams)
    if (verdict === 'drop') return request.socket.destroy()
    if (verdict === 'busy') return answer(response, 503, {})
    await pause(ANSWER_MS)
    if (path === '/v1/rows-tx') return this.transact(parsed, response)
    if (path === '/v1/rows-get') return this.get(url.searchParams, response)
    if (path === '/v1/rows-feed') return await this.feed(url.searchParams, response, request)
    if (path === '/v1/rows-parts') {
      const names = [...(this.tables.get(url.searchParams.get('table')) ?? new Map()).keys()].sort(compareBytes)
        .filter(name => name > (url.searchParams.get('after') ?? ''))
      return answer(response, 200, { parts: names.slice(0, 1000), ...this.getClock() })
    }
    const blob = /^\/v1\/blob-(put|get|drop)\/(.+)$/.exec(path)
    if (blob !== null) {
      const [, call, id] = blob
      if (call === 'put') {
        if (request.headers['if-none-match'] === '*' && this.blobs.has(id)) return answer(response, 412, {})
        this.blobs.set(id, body)
        return answer(response, 200, {})
      }
      if (call === 'drop') {
        this.blobs.delete(id)
        return answer(response, 200, {})
      }
      if (!this.blobs.has(id)) return answer(response, 404, {})
      response.writeHead(200, { 'content-type': 'application/octet-stream' })
      return response.end(this.blobs.get(id))
    }
    if (path === '/v1/blob-list') {
      const prefix = url.searchParams.get('prefix') ?? ''
      const names = [...this.blobs.keys()].filter(name => name.startsWith(prefix) && name > (url.searchParams.get('after') ?? '')).sort()
      return answer(response, 200, { names: names.slice(0, 1000), morePages: names.length > 1000 })
    }
    return answer(response, 404, {})
  }

  getClock () {
    return { ver: this.version, nowMs: Math.floor(performance.now()) }
  }

  transact ({ expect = [], puts = [], remove = [], across = false }, response) {
    const entries = [...expect, ...puts, ...remove]
    const parts = new Set(entries.map(({ part }) => part ?? ''))
    if (entries.length > CALL_ENTRIES || (parts.size > 1 && !across)) return answer(response, 400, {})
    if ([...puts, ...remove].some(({ table }) => CONTROLLED.has(table))) return answer(response, 403, {})
    const isMet = expect.every(({ table, part = '', key, ver }) => (this.getPart(table, part).rows.get(key)?.ver ?? 0) === ver)
    if (!isMet) {
      const rows = expect.map(({ table, part = '', key }) => {
        const row = this.getPart(table, part).rows.get(key)
        return { table, part, key, value: row?.value ?? '', ver: row?.ver ?? 0 }
      })
      return answer(response, 412, { rows, ...this.getClock() })
    }
    const version = ++this.version
    for (const { table, part = '', key, value } of puts) this.write({ table, part, key, value }, version)
    for (const { table, part = '', key } of remove) this.write({ table, part, key }, version)
    this.wake()
    return answer(response, 200, this.getClock())
  }

  get (query, response) {
    const table = query.get('table')
    const part = query.get('part') ?? ''
    const place = this.getPart(table, part)
    place.keys ??= [...place.rows.keys()].sort(compareBytes)
    const from = query.get('from') ?? ''
    const target = query.get('target')
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS))
    const rows = []
    let bytes = 0
    let index = findFirst(place.keys, from)
    for (; index < place.keys.length && rows.length < limit && bytes < PAGE_BYTES; index++) {
      const key = place.keys[index]
      if (target !== null && compareBytes(key, target) >= 0) break
      const { value, ver } = place.rows.get(key)
      rows.push({ table, part, key, value, ver })
      bytes += key.length + value.length
    }
    const morePages = index < place.keys.length && (target === null || compareBytes(place.keys[index], target) < 0)
    return answer(response, 200, { rows, morePages, ...this.getClock() })
  }

  async feed (query, response, request) {
    const table = query.get('table')
    const after = Number(query.get('after') ?? 0)
    const end = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0))
    if (after < this.droppedThrough) return answer(response, 410, {})
    const isNew = ({ row }) => row.table === table && row.ver > after
    const find = () => this.isFeedSilent ? [] : this.history.filter(isNew).map(({ row }) => row)
    const { socket } = request
    this.feedSockets.add(socket)
    let rows = find()
    while (rows.length === 0 && performance.now() < end && !request.socket.destroyed) {
      await new Promise(resolve => {
        const done = () => {
          clearTimeout(timer)
          this.waiting.delete(done)
          resolve()
        }
        const timer = setTimeout(done, Math.max(1, end - performance.now()))
        this.waiting.add(done)
      })
      rows = find()
    }
    this.feedSockets.delete(socket)
    const ver = this.isFeedSilent ? after : this.version
    return answer(response, 200, { rows, ver, nowMs: this.getClock().nowMs })
  }
}

export function encode (value) {
  return Buffer.from(JSON.stringify(value)).toString('base64')
}

export function decode (value) {
  return JSON.parse(Buffer.from(value, 'base64').toString())
}

function answer (response, statusCode, body) {
  response.writeHead(statusCode, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

function compareBytes (left, right) {
  return left < right ? -1 : left > right ? 1 : 0
}

function findFirst (keys, from) {
  let low = 0
  let high = keys.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (compareBytes(keys[middle], from) < 0) low = middle + 1
    else high = middle
  }
  return low
}

export function pause (milliseconds) {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}
