// Stand-ins of runners as PROTOCOL.md tells them, and of the machine service that lists them.
import { HOST, listen, readBody, sendJson } from './http.mjs'

const TICK_MS = 20

/**
 * All runners of a site with the gangs that span them. The caller gives `describe(taskName)`, which returns the step of
 * the task and its duration; `on(event)` receives all starts, ends and refusals.
 */
export class Runners {
  constructor ({ store, service, bounds, describe, on, slots = 8 }) {
    Object.assign(this, { store, service, bounds, describe, on, slots })
    this.runners = []
    this.gangs = new Map()
    this.timer = setInterval(() => this.tick(), TICK_MS)
  }

  async add ({ id, zone, capacity, labels }) {
    const runner = new Runner(this, { id, zone, capacity, labels })
    await runner.open()
    this.runners.push(runner)
    return runner
  }

  listMachines () {
    return this.runners.map(runner => ({
      machine: `m-${runner.id}`,
      pool: this.service,
      state: runner.isUp ? 'up' : 'down',
      zone: runner.zone,
      labels: runner.labels,
      capacity: runner.capacity,
      id: runner.isUp ? runner.id : ''
    }))
  }

  /** Returns the runs of the gang of a run, in all runners; they work together only when all are present. */
  getGang (run) {
    const runs = []
    for (const runner of this.runners) {
      for (const other of runner.runs.values()) if (other.gangKey === run.gangKey) runs.push({ runner, run: other })
    }
    return runs
  }

  tick () {
    const now = performance.now()
    for (const runner of this.runners) if (runner.isUp) runner.tick(now)
  }

  close () {
    clearInterval(this.timer)
    for (const runner of this.runners) runner.close()
  }
}

class Runner {
  constructor (site, { id, zone, capacity, labels }) {
    Object.assign(this, { site, id, zone, capacity, labels })
    this.state = 'ready'
    this.isUp = false
    this.sockets = new Set()
    this.reset()
  }

  reset () {
    this.born = Date.now()
    this.bornAt = performance.now()
    this.runs = new Map()
    this.ends = []
    this.endNumber = 0
    this.highest = new Map()
    this.token = 0
    this.leaseDeadline = 0
    this.seqNum = 0
    this.lapsedAt = -Infinity
    this.endedAt = new Map()
    this.waiters = new Set()
  }

  clock () { return Math.round(performance.now() - this.bornAt) + 100_000 }

  async open () {
    const { server, port } = await listen((request, response) => this.handle(request, response), this.port ?? 0)
    server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('close', () => this.sockets.delete(socket))
    })
    this.server = server
    this.port = port
    this.isUp = true
    this.beat()
    this.beatTimer = setInterval(() => this.beat(), this.site.bounds.heartbeatMs)
  }

  /** The runner writes its entry; it has none to write while the store isn't up. */
  beat () {
    const { store, service, slots } = this.site
    if (store.mode !== 'up') return
    store.put('servers', '', this.id, {
      service,
      address: `${HOST}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots,
      state: this.state,
      coldRemainingMs: 0,
      capacity: this.capacity,
      labels: this.labels,
      clockMs: this.clock(),
      seqNum: ++this.seqNum,
      born: this.born
    })
  }

  /** Ends the process of the runner as SIGKILL does: nothing is told, and what ran is gone. */
  crash () {
    clearInterval(this.beatTimer)
    this.isUp = false
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
    for (const run of [...this.runs.values()]) {
      this.site.on({ kind: 'gone', runner: this.id, task: run.task, attempt: run.attempt })
      this.runs.delete(run.task)
      if (run.gangKey !== null) this.endOthers(run, 'broken')
    }
    this.waiters.clear()
  }

  /** Starts again under the same id and address; it knows nothing of before and may be of another kind. */
  async restart ({ capacity = this.capacity, labels = this.labels } = {}) {
    this.capacity = capacity
    this.labels = labels
    this.reset()
    await this.open()
  }

  close () {
    clearInterval(this.beatTimer)
    this.isUp = false
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  async handle (request, response) {
    if (request.url === '/health') return sendJson(response, 200, {})
    const body = JSON.parse((await readBody(request)).toString() || '{}')
    const intended = request.headers['expect-instance']
    if (intended !== undefined && intended !== this.id) return sendJson(response, 421, {})
    const refuse = reason => {
      this.site.on({ kind: 'refused', runner: this.id, path: request.url, task: body.task, attempt: body.attempt, reason })
      sendJson(response, 409, { clockMs: this.clock(), reason })
    }
    const token = body.fencingToken ?? 0
    if (token < this.token) return refuse('fence')
    this.token = token
    if (request.url === '/v1/hold') return await this.hold(body, response)
    if (request.url === '/v1/run-start') {
      const reason = this.start(body)
      if (reason !== null) return refuse(reason)
    } else if (request.url === '/v1/run-stop') this.stop(body)
    else if (request.url === '/v1/pace') {
      const run = this.runs.get(body.task)
      if (run?.attempt === body.attempt) run.pace = body.percent
    } else return sendJson(response, 400, {})
    sendJson(response, 200, { clockMs: this.clock() })
  }

  extend (deadlineMs) {
    if (deadlineMs === undefined) return
    this.leaseDeadline = Math.max(this.leaseDeadline, Math.min(deadlineMs, this.clock() + this.site.bounds.maxHoldMs))
  }

  start ({ task, attempt, taskSpec, deadlineMs, checkpoint = '', fencingToken }) {
    if (deadlineMs <= this.clock()) return 'late'
    this.extend(deadlineMs)
    const present = this.runs.get(task)
    if (present?.attempt === attempt) return null
    if (attempt <= (this.highest.get(task) ?? 0) || (present !== undefined && attempt <= present.attempt)) return 'old'
    const { step, durationMs } = this.site.describe(task)
    const [jobId, occurrence, stepIndex] = task.split('.')
    const run = {
      task,
      attempt,
      step,
      durationMs,
      pace: 100,
      startedAt: performance.now(),
      checkpointAtStart: checkpoint,
      saved: checkpoint,
      // The work that a checkpoint holds stands in its first eight digits.
      workMs: checkpoint === '' ? 0 : parseInt(checkpoint.slice(0, 8), 16),
      restoreMs: checkpoint === '' ? 0 : this.site.bounds.restoreMs,
      isStopping: false,
      isTogether: false,
      gangKey: step.gang ? `${jobId}.${occurrence}.${stepIndex}#${attempt}` : null
    }
    this.runs.set(task, run)
    this.site.on({ kind: 'start', runner: this.id, task, attempt, checkpoint, token: fencingToken, taskSpec })
    return null
  }

  stop ({ task, attempt }) {
    this.highest.set(task, Math.max(this.highest.get(task) ?? 0, attempt))
    const run = this.runs.get(task)
    if (run === undefined || run.attempt !== attempt || run.isStopping) return
    run.isStopping = true
    setTimeout(() => {
      if (this.runs.get(task) === run) this.end(run, 'stopped')
    }, this.site.bounds.stopTimeoutMs / 2)
  }

  /** Ends a run and lists the end; the other members of its gang end with it. */
  end (run, how, isListed = true) {
    if (this.runs.get(run.task) !== run) return
    this.runs.delete(run.task)
    this.highest.set(run.task, Math.max(this.highest.get(run.task) ?? 0, run.attempt))
    if (how === 'stopped' && run.step.checkpointing) run.saved = this.save(run)
    this.site.on({ kind: 'end', runner: this.id, task: run.task, attempt: run.attempt, how, saved: run.saved })
    if (isListed) {
      this.endedAt.set(this.endNumber + 1, performance.now())
      this.ends.push([++this.endNumber, run.task, run.attempt, how, how === 'done' ? '' : run.saved])
      for (const wake of [...this.waiters]) wake()
    }
    if (run.gangKey !== null) this.endOthers(run, how === 'done' ? 'done' : 'broken')
  }

  endOthers (run, how) {
    for (const { runner, run: other } of this.site.getGang(run)) {
      if (other !== run) runner.end(other, how, how !== 'done')
    }
  }

  /** A checkpoint: the work in eight hexadecimal digits, and eight digits of the job. */
  save (run) {
    return Math.floor(run.workMs).toString(16).padStart(8, '0') + run.task.slice(4, 12)
  }

  tick (now) {
    if (this.clock() > this.leaseDeadline) this.lapsedAt = now
    if (this.runs.size > 0 && this.clock() > this.leaseDeadline) {
      for (const run of [...this.runs.values()]) this.end(run, 'lapsed')
      return
    }
    for (const run of [...this.runs.values()]) {
      if (this.runs.get(run.task) !== run || run.isStopping) continue
      if (run.gangKey !== null && !this.isWorkingGang(run)) {
        if (now - run.startedAt > this.site.bounds.gangTimeoutMs) this.end(run, 'alone')
        continue
      }
      if (run.restoreMs > 0) {
        run.restoreMs -= TICK_MS
        continue
      }
      run.workMs += TICK_MS * run.pace / 100
      const every = this.site.bounds.checkpointS * 1000
      if (run.step.checkpointing) {
        const whole = Math.floor(run.workMs / every) * every
        if (whole > 0 && whole > (run.saved === '' ? 0 : parseInt(run.saved.slice(0, 8), 16))) {
          run.saved = whole.toString(16).padStart(8, '0') + run.task.slice(4, 12)
        }
      }
      if (run.workMs >= run.durationMs && !run.step.longRunning) this.end(run, 'done')
    }
  }

  /** The tasks of a gang work from the moment when all tasks of one run are present; all carry the same checkpoint. */
  isWorkingGang (run) {
    if (run.isTogether) return true
    const members = this.site.getGang(run)
    if (members.length < run.step.count) return false
    if (members.some(({ run: other }) => other.checkpointAtStart !== run.checkpointAtStart)) return false
    for (const { run: other } of members) other.isTogether = true
    return true
  }

  async hold ({ deadlineMs, lastSeen = 0, waitMs = 0 }, response) {
    this.extend(deadlineMs)
    const { born } = this
    for (const [number, task, attempt, how] of this.ends.filter(([number]) => number <= lastSeen)) {
      const hasLapsed = this.lapsedAt > this.endedAt.get(number)
      this.site.on({ kind: 'noted', runner: this.id, task, attempt, how, hasLapsed })
    }
    this.ends = this.ends.filter(([number]) => number > lastSeen)
    if (this.ends.length === 0 && waitMs > 0) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this.waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, Math.min(2000, waitMs))
        this.waiters.add(wake)
      })
    }
    if (born !== this.born || !this.isUp) return
    sendJson(response, 200, {
      clockMs: this.clock(),
      born,
      running: [...this.runs.values()].map(run => [
        run.task, run.attempt, run.saved, Math.min(100, Math.floor(run.workMs * 100 / run.durationMs)), 0
      ]),
      finished: this.ends.slice(0, 500)
    })
  }
}
