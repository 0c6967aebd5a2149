// A stand-in of the platform's store: rows, feed and objects, as PROTOCOL.md tells them.
import { readBody, sendJson } from './http.mjs'

/** Rows in tables and parts, one counter of versions, the history of changes, and objects. */
export class Store {
  constructor () {
    /** The rows by table and part, and then by key; the sorted keys of a part are kept until they change. */
    this.parts = new Map()
    this.history = []
    this.version = 1
    this.waiters = new Set()
    this.objects = new Map()
    /** 'up', 'busy' (503 and nothing done) or 'silent' (no answer and nothing done). */
    this.mode = 'up'
    /** The time that an answer takes. */
    this.answerMs = 3
    this.startedAt = performance.now()
  }

  getPart (table, part) {
    const name = `${table}\n${part}`
    let found = this.parts.get(name)
    if (found === undefined) {
      found = { table, part, rows: new Map(), sorted: null }
      this.parts.set(name, found)
    }
    return found
  }

  get (table, part, key) { return this.getPart(table, part).rows.get(key) ?? null }

  /** Adds a row that was written so long ago that the history no longer has it. */
  addOld (table, part, key, value) {
    const found = this.getPart(table, part)
    found.rows.set(key, { table, part, key, value, ver: 1 })
    found.sorted = null
  }

  /** Returns the text of a row, or null. */
  getText (table, part, key) {
    const row = this.get(table, part, key)
    return row === null ? null : Buffer.from(row.value, 'base64').toString()
  }

  getKeys (found) {
    found.sorted ??= [...found.rows.keys()].sort()
    return found.sorted
  }

  /** Writes a row as the operator and the runners do. */
  put (table, part, key, value) {
    const text = typeof value === 'string' ? value : JSON.stringify(value)
    this.apply([], [{ table, part, key, value: Buffer.from(text).toString('base64') }], [])
  }

  remove (table, part, key) { this.apply([], [], [{ table, part, key }]) }

  /** Returns the new version, or null when a condition fails. */
  apply (expect, puts, remove) {
    for (const { table, part = '', key, ver = 0 } of expect) {
      if ((this.get(table, part, key)?.ver ?? 0) !== ver) return null
    }
    const ver = ++this.version
    for (const { table, part = '', key, value } of puts) {
      const row = { table, part, key, value, ver }
      const found = this.getPart(table, part)
      if (!found.rows.has(key)) found.sorted = null
      found.rows.set(key, row)
      this.history.push(row)
    }
    for (const { table, part = '', key } of remove) {
      const found = this.getPart(table, part)
      if (!found.rows.delete(key)) continue
      found.sorted = null
      this.history.push({ table, part, key, ver, tombstone: true })
    }
    for (const wake of [...this.waiters]) wake()
    return ver
  }

  getChanges (table, after) {
    const newest = new Map()
    for (let index = this.history.length - 1; index >= 0; index--) {
      const row = this.history[index]
      if (row.ver <= after) break
      if (row.table !== table) continue
      const key = `${row.part}\n${row.key}`
      if (!newest.has(key)) newest.set(key, row)
    }
    return [...newest.values()].sort((left, right) => left.ver - right.ver)
  }

  now () { return Math.round(performance.now() - this.startedAt) }

  async handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const body = request.method === 'POST' || request.method === 'PUT' ? await readBody(request) : null
    if (this.answerMs > 0) await new Promise(resolve => { setTimeout(resolve, this.answerMs) })
    if (this.mode === 'silent') return
    if (this.mode === 'busy') return sendJson(response, 503, {})
    const { pathname: path, searchParams: query } = url
    if (path.startsWith('/v1/blob-')) return this.handleObject(request, path, query, body, response)
    if (path === '/v1/rows-tx') {
      const { expect = [], puts = [], remove = [] } = JSON.parse(body.toString())
      if ([...puts, ...remove].some(({ table }) => table === 'op' || table === 'servers')) return sendJson(response, 403, {})
      const ver = this.apply(expect, puts, remove)
      if (ver !== null) return sendJson(response, 200, { ver, nowMs: this.now() })
      const rows = expect.map(({ table, part = '', key }) => this.get(table, part, key)).filter(row => row !== null)
      return sendJson(response, 412, { rows, ver: this.version, nowMs: this.now() })
    }
    if (path === '/v1/rows-get') {
      const [table, part] = [query.get('table'), query.get('part') ?? '']
      const [from, target] = [query.get('from') ?? '', query.get('target')]
      const limit = Math.min(500, Number(query.get('limit') ?? 500) || 500)
      const found = this.getPart(table, part)
      const keys = this.getKeys(found)
      const rows = []
      let bytes = 0
      let index = findFirst(keys, from)
      for (; index < keys.length && rows.length < limit; index++) {
        if (target !== null && keys[index] >= target) break
        const row = found.rows.get(keys[index])
        if (rows.length > 0 && bytes + row.value.length > 1_000_000) break
        rows.push(row)
        bytes += row.value.length
      }
      const hasMore = index < keys.length && (target === null || keys[index] < target)
      return sendJson(response, 200, { rows, morePages: hasMore, ver: this.version, nowMs: this.now() })
    }
    if (path === '/v1/rows-parts') {
      const parts = new Set([...this.parts.values()]
        .filter(({ table, rows }) => table === query.get('table') && rows.size > 0).map(({ part }) => part))
      const names = [...parts].sort()
      return sendJson(response, 200, { parts: names, morePages: false, ver: this.version, nowMs: this.now() })
    }
    if (path === '/v1/rows-feed') {
      const [table, after] = [query.get('table'), Number(query.get('after'))]
      const endAt = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0))
      let rows = this.getChanges(table, after)
      while (rows.length === 0 && performance.now() < endAt && !response.destroyed) {
        await this.waitForChange(endAt - performance.now())
        rows = this.getChanges(table, after)
      }
      if (this.mode === 'silent') return
      if (this.mode === 'busy') return sendJson(response, 503, {})
      return sendJson(response, 200, { rows, ver: Math.max(after, this.version), nowMs: this.now() })
    }
    sendJson(response, 400, {})
  }

  handleObject (request, path, query, body, response) {
    const [, kind, id = ''] = /^\/v1\/blob-(\w+)\/?(.*)$/.exec(path)
    const name = decodeURIComponent(id)
    if (kind === 'put') {
      if (request.headers['if-none-match'] === '*' && this.objects.has(name)) return sendJson(response, 412, {})
      this.objects.set(name, body)
      return sendJson(response, 200, {})
    }
    if (kind === 'list') {
      const names = [...this.objects.keys()].filter(other => other.startsWith(query.get('prefix') ?? '')).sort()
      return sendJson(response, 200, { names, morePages: false })
    }
    if (kind === 'drop') {
      this.objects.delete(name)
      return sendJson(response, 200, {})
    }
    const found = this.objects.get(name)
    if (found === undefined) return sendJson(response, 404, {})
    response.writeHead(200, { 'content-type': 'application/octet-stream' })
    response.end(found)
  }

  waitForChange (milliseconds) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        this.waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, Math.min(milliseconds, 250))
      this.waiters.add(wake)
    })
  }
}

/** Returns the index of the first key that is not smaller than `from`. */
function findFirst (keys, from) {
  let [low, high] = [0, keys.length]
  while (low < high) {
    const middle = (low + high) >> 1
    if (keys[middle] < from) low = middle + 1
    else high = middle
  }
  return low
}
