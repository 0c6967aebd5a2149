// A runner as its page describes it: leases, fencing tokens, attempts, ends that are listed until they are seen.
import { createServer } from 'node:http'
import { pause, readJson, sendJson } from './http.mjs'

const MAX_HOLD_MS = 6000
const STOP_MS = 50
const LISTED_ENDS = 500
const CHECKPOINT_MS = 1000

/**
 * What a task does follows from words of its `taskSpec`: `ms=N` is its duration, `lasts` means that it runs until it
 * is stopped, `saves` that it checkpoints each second, `cpu=N` is its size.
 */
function decodeTask (text) {
  const number = (name, otherwise) => Number(new RegExp(`\\b${name}=(\\d+)`).exec(text)?.[1] ?? otherwise)
  return { ms: /\blasts\b/.test(text) ? Infinity : number('ms', 300), saves: /\bsaves\b/.test(text), cpu: number('cpu', 1000) }
}

export class Runner {
  constructor ({ id, port, log, oneWayMs = 0, zone = 'south-a', labels = ['a', 'r1-1'], capacity = { cpu: 16_000, memMb: 64_000, gpu: 0 } }) {
    Object.assign(this, { id, port, log, oneWayMs, zone, labels, capacity, state: 'ready' })
    this.startLife()
  }

  startLife () {
    this.born = Date.now()
    this.bornAt = performance.now()
    this.runs = new Map()
    this.ends = []
    this.endCount = 0
    this.fence = 0
    this.deadline = 0
    this.highest = new Map()
    this.waiters = new Set()
    this.isUp = true
  }

  get clockMs () { return Math.floor(performance.now() - this.bornAt) + 1000 }

  entry (service) {
    return {
      service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: '1',
      slots: 8,
      state: this.state,
      capacity: this.capacity,
      labels: this.labels,
      seqNum: 1,
      born: this.born
    }
  }

  async listen () {
    this.server = createServer(async (request, response) => {
      try {
        const body = await readJson(request)
        if (this.oneWayMs > 0) await pause(this.oneWayMs)
        if (!this.isUp) return response.destroy()
        const expected = request.headers['expect-instance']
        if (expected !== undefined && expected !== this.id) return sendJson(response, 421, {})
        const fault = this.judge?.(request.url, body)
        if (fault === 'silent') return
        const [status, answer] = await this.handle(request.url, body)
        const { clockMs } = this
        if (status !== 200) this.log.write(`${request.url} ${body.task ?? ''}#${body.attempt ?? ''} at ${this.id} with token ${body.fencingToken}: ${status} ${answer.reason ?? ''}`)
        if (this.oneWayMs > 0) await pause(this.oneWayMs)
        if (!this.isUp) return response.destroy()
        sendJson(response, status, { ...answer, clockMs, born: this.born })
      } catch {
        response.destroy()
      }
    })
    this.server.keepAliveTimeout = 120_000
    await new Promise((resolve, reject) => { this.server.once('error', reject).listen(this.port, '127.0.0.1', resolve) })
    this.leaseTimer = setInterval(() => this.checkLease(), 10)
  }

  close () {
    clearInterval(this.leaseTimer)
    for (const run of this.runs.values()) clearTimeout(run.timer)
    this.server?.closeAllConnections()
    this.server?.close()
  }

  async handle (path, body) {
    const token = body.fencingToken ?? 0
    if (token < this.fence) return [409, { reason: 'fence' }]
    this.fence = token
    if (path === '/v1/hold') return await this.hold(body)
    if (path === '/v1/run-start') return this.start(body)
    if (path === '/v1/run-stop') return this.stop(body)
    if (path === '/v1/pace') return [200, {}]
    return [404, {}]
  }

  extend (deadline) {
    if (deadline !== undefined) this.deadline = Math.max(this.deadline, Math.min(deadline, this.clockMs + MAX_HOLD_MS))
  }

  async hold ({ lastSeen = 0, deadlineMs, waitMs = 0 }) {
    this.extend(deadlineMs)
    for (const end of this.ends) if (end[0] <= lastSeen) this.log.seen(this, end)
    this.ends = this.ends.filter(([number]) => number > lastSeen)
    if (waitMs > 0 && this.ends.length === 0) {
      await new Promise(resolve => {
        const wake = () => { clearTimeout(timer); this.waiters.delete(wake); resolve() }
        const timer = setTimeout(wake, Math.min(2000, waitMs))
        this.waiters.add(wake)
      })
    }
    const running = [...this.runs.values()].map(run =>
      [run.task, run.attempt, this.checkpoint(run), this.percent(run), run.spec.cpu])
    return [200, { running, finished: this.ends.slice(0, LISTED_ENDS) }]
  }

  percent (run) {
    if (run.spec.ms === Infinity) return 100
    return Math.min(99, Math.floor((performance.now() - run.startedAt) / run.spec.ms * 100))
  }

  /** A new checkpoint comes with each second of work; its form is that of the page's example. */
  checkpoint (run) {
    if (!run.spec.saves) return run.saved
    const seconds = Math.floor((performance.now() - run.startedAt) / CHECKPOINT_MS)
    if (seconds > run.savedSeconds) {
      run.savedSeconds = seconds
      run.saved = `${String(run.attempt * 100 + seconds).padStart(6, '0')}${run.task.slice(0, 10)}`
    }
    return run.saved
  }

  start ({ task, attempt, taskSpec, deadlineMs, fencingToken, checkpoint = '' }) {
    const key = `${task}#${attempt}`
    if (deadlineMs <= this.clockMs) return [409, { reason: 'late' }]
    this.extend(deadlineMs)
    if (this.runs.has(key)) return [200, {}]
    if (attempt <= (this.highest.get(task) ?? 0)) return [409, { reason: 'old' }]
    const spec = decodeTask(taskSpec)
    const startedAt = performance.now()
    const run = { task, attempt, spec, startedAt, saved: checkpoint, savedSeconds: 0, token: fencingToken }
    this.runs.set(key, run)
    this.log.started(this, run)
    if (spec.ms !== Infinity) run.timer = setTimeout(() => this.end(run, 'done'), spec.ms)
    return [200, {}]
  }

  stop ({ task, attempt }) {
    this.highest.set(task, Math.max(attempt, this.highest.get(task) ?? 0))
    const run = this.runs.get(`${task}#${attempt}`)
    if (run !== undefined && !run.isStopping) {
      run.isStopping = true
      setTimeout(() => this.end(run, 'stopped'), STOP_MS)
    }
    return [200, {}]
  }

  end (run, how) {
    const key = `${run.task}#${run.attempt}`
    if (this.runs.get(key) !== run) return
    clearTimeout(run.timer)
    const saved = how === 'done' ? '' : this.checkpoint(run)
    this.runs.delete(key)
    this.highest.set(run.task, Math.max(run.attempt, this.highest.get(run.task) ?? 0))
    const end = [++this.endCount, run.task, run.attempt, how, saved]
    this.ends.push(end)
    this.log.ended(this, run, how)
    for (const wake of [...this.waiters]) wake()
  }

  checkLease () {
    if (this.runs.size === 0 || this.clockMs <= this.deadline) return
    for (const run of [...this.runs.values()]) this.end(run, 'lapsed')
  }

  /** The process of the runner crashes: all that runs there is gone, and nothing is known of it afterwards. */
  crash () {
    this.isUp = false
    for (const run of this.runs.values()) {
      clearTimeout(run.timer)
      this.log.gone(this, run)
    }
    this.runs.clear()
    this.server.closeAllConnections()
  }

  /** Starts the runner again, under the id that it had. */
  restart () {
    this.startLife()
  }
}
