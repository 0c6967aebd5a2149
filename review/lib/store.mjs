// The platform's store as its page describes it: rows in parts, conditional transactions, reads and feeds.
import { createServer } from 'node:http'
import { readJson, sendJson, pause } from './http.mjs'

const PAGE_ROWS = 500

/** Returns the index of the first key that is not smaller. */
function findFirst (keys, from) {
  let low = 0
  let high = keys.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (keys[middle] < from) low = middle + 1
    else high = middle
  }
  return low
}

/** One store with any number of addresses; each address may have a delay and a fault of its own. */
export class Store {
  ver = 0
  /** `table|part` to rows by key. */
  parts = new Map()
  history = []
  waiters = new Set()
  servers = []
  /** Called with each written row. */
  onWrite = null

  /** Writes a row as the operator or a runner does. */
  put (table, key, object, part = '') {
    this.commit([{ table, part, key, value: Buffer.from(JSON.stringify(object)).toString('base64') }], [])
  }

  remove (table, key, part = '') {
    this.commit([], [{ table, part, key }])
  }

  /** Copies the rows that a finished job has left, under other keys; the history of their writes is no longer kept. */
  copyFinishedJob (id, count) {
    const emptied = this.row('jobs', `jobs-${id[0]}`, id).value
    const progress = this.row('progress', 'owner', id).value
    const add = (table, part, key, value) => {
      const name = `${table}|${part}`
      if (!this.parts.has(name)) this.parts.set(name, new Map())
      this.parts.get(name).set(key, { table, part, key, value, ver: this.ver })
    }
    this.ver++
    for (let number = 0; number < count; number++) {
      const key = ((0x9e3779b97f4a7c15n * BigInt(number + 1)) & 0xffffffffffffffffn).toString(16).padStart(16, '0')
      add('jobs', `jobs-${key[0]}`, key, emptied)
      add('progress', 'owner', key, progress)
    }
  }

  row (table, part, key) {
    return this.parts.get(`${table}|${part}`)?.get(key) ?? null
  }

  /** Returns the decoded value of a row, or null. */
  value (table, part, key) {
    const row = this.row(table, part, key)
    return row === null ? null : JSON.parse(Buffer.from(row.value, 'base64').toString())
  }

  commit (puts, removals) {
    const ver = ++this.ver
    for (const { table, part = '', key, value } of puts) {
      const name = `${table}|${part}`
      if (!this.parts.has(name)) this.parts.set(name, new Map())
      const row = { table, part, key, value, ver }
      const rows = this.parts.get(name)
      if (!rows.has(key)) rows.isChanged = true
      rows.set(key, row)
      this.history.push(row)
      this.onWrite?.(row)
    }
    for (const { table, part = '', key } of removals) {
      const rows = this.parts.get(`${table}|${part}`)
      if (rows !== undefined) rows.isChanged = true
      if (rows?.delete(key)) this.history.push({ table, part, key, ver, tombstone: true })
    }
    for (const wake of [...this.waiters]) wake()
    return ver
  }

  /** Applies a transaction and returns the status and the body of the answer. */
  transact (body, limits) {
    const { expect = [], puts = [], remove = [] } = body
    const entries = [...expect, ...puts, ...remove]
    const parts = new Set(entries.map(entry => entry.part ?? ''))
    const isTooLarge = entries.length > 100 || puts.some(put => put.value.length > limits.rowBytes)
    if (isTooLarge || (parts.size > 1 && body.across !== true)) return [400, {}]
    if (puts.concat(remove).some(({ table }) => table === 'op' || table === 'servers')) return [403, {}]
    const isMet = expect.every(({ table, part, key, ver }) => (this.row(table, part ?? '', key)?.ver ?? 0) === ver)
    if (!isMet) {
      const rows = expect.map(({ table, part, key }) => this.row(table, part ?? '', key)).filter(row => row !== null)
      return [412, { rows, ver: this.ver, nowMs: Math.round(performance.now()) }]
    }
    return [200, { ver: this.commit(puts, remove), nowMs: Math.round(performance.now()) }]
  }

  get (query) {
    const part = this.parts.get(`${query.get('table')}|${query.get('part') ?? ''}`) ?? new Map()
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS))
    const keys = this.sortedKeys(part)
    const rows = []
    for (let index = findFirst(keys, query.get('from') ?? ''); index < keys.length && rows.length <= limit; index++) {
      if (query.has('target') && keys[index] >= query.get('target')) break
      rows.push(part.get(keys[index]))
    }
    const nowMs = Math.round(performance.now())
    return { rows: rows.slice(0, limit), morePages: rows.length > limit, ver: this.ver, nowMs }
  }

  /** Returns the keys in order; they are sorted again only after a key was added or removed. */
  sortedKeys (part) {
    if (part.sorted?.length !== part.size || part.isChanged === true) {
      part.sorted = [...part.keys()].sort()
      part.isChanged = false
    }
    return part.sorted
  }

  async feed (query) {
    const after = Number(query.get('after'))
    const end = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0))
    for (;;) {
      let first = this.history.length
      while (first > 0 && this.history[first - 1].ver > after) first--
      const rows = this.history.slice(first).filter(row => row.table === query.get('table'))
      const remaining = end - performance.now()
      if (rows.length > 0 || remaining <= 0) return { rows, ver: this.ver, nowMs: Math.round(performance.now()) }
      await new Promise(resolve => {
        const wake = () => { clearTimeout(timer); this.waiters.delete(wake); resolve() }
        const timer = setTimeout(wake, remaining)
        this.waiters.add(wake)
      })
    }
  }

  /**
   * Serves the store at an address for one process.
   * @param port The port.
   * @param options `oneWayMs` is the delay of each direction; `judge(call)` may return `lose` with a time in
   * milliseconds, after which a write is done without an answer, or `silent`: the call is neither done nor answered.
   */
  async listen (port, { oneWayMs = 0, judge = () => null, rowBytes = 65_536 } = {}) {
    const server = createServer(async (request, response) => {
      try {
        const url = new URL(request.url, 'http://store')
        const body = request.method === 'POST' ? await readJson(request) : null
        if (oneWayMs > 0) await pause(oneWayMs)
        const fault = judge({ path: url.pathname, query: url.searchParams, body })
        if (fault?.kind === 'silent') return
        if (fault?.kind === 'lose') {
          setTimeout(() => this.transact(body, { rowBytes }), fault.doneAfterMs)
          return
        }
        let status = 200
        let answer
        if (url.pathname === '/v1/rows-tx') [status, answer] = this.transact(body, { rowBytes })
        else if (url.pathname === '/v1/rows-get') answer = this.get(url.searchParams)
        else if (url.pathname === '/v1/rows-feed') answer = await this.feed(url.searchParams)
        else [status, answer] = [404, {}]
        if (oneWayMs > 0) await pause(oneWayMs)
        sendJson(response, status, answer)
      } catch {
        response.destroy()
      }
    })
    server.keepAliveTimeout = 120_000
    this.servers.push(server)
    await new Promise((resolve, reject) => { server.once('error', reject).listen(port, '127.0.0.1', resolve) })
  }

  close () {
    for (const server of this.servers) {
      server.closeAllConnections()
      server.close()
    }
  }
}
