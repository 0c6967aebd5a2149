// A stand-in of a runner, by PROTOCOL.md: starts, stops, leases, fences, checkpoints and gangs.
// The text of a task says how it behaves: {"ms":500} works that long, {"lasting":true} works on.
import http from 'node:http'
import { pause } from './store.mjs'

const ENDS_PER_ANSWER = 500
const MAX_HOLD_MS = 6000
const MAX_WAIT_MS = 2000

const SAVE_MS = 1000
const RESTORE_MS = 250
const GANG_TIMEOUT_MS = 3000
const BROKEN_MS = 50

// The members of one run of a gang: they work from the moment when all are there, and end together.
export class Gangs {
  gangs = new Map()

  join (run, size, work) {
    const key = getGangKey(run)
    const gang = this.gangs.get(key) ?? { members: new Set(), work: [] }
    this.gangs.set(key, gang)
    gang.members.add(run)
    gang.work.push(work)
    if (gang.members.size < size) return
    for (const start of gang.work) start()
  }

  // All others of the gang end `broken`, or `done` where one has ended so.
  leave (run, how) {
    const key = getGangKey(run)
    const gang = this.gangs.get(key)
    if (gang === undefined) return
    this.gangs.delete(key)
    gang.members.delete(run)
    setTimeout(() => { for (const other of gang.members) other.end(how === 'done' ? 'done' : 'broken') }, how === 'done' ? 0 : BROKEN_MS)
  }
}

function getGangKey ({ task, attempt }) {
  return `${task.slice(0, task.lastIndexOf('.'))}#${attempt}`
}

export class Runner {
  constructor ({ id, store, note, service, gangs = new Gangs(), zone = 'south-a', labels = ['a', 'r1-1'], capacity = { cpu: 16000, memMb: 62500, gpu: 0 }, getTask, stopMs = 100, answerMs = 0 }) {
    Object.assign(this, { id, store, note, service, gangs, zone, labels, capacity, getTask, stopMs, answerMs })
    this.port = 0
    this.startLife()
  }

  startLife () {
    this.born = Date.now()
    this.startedAt = performance.now()
    this.fence = 0
    this.deadline = 0
    this.runs = new Map()
    this.highest = new Map()
    this.ends = []
    this.endCount = 0
    this.waiting = new Set()
    this.seqNum = 0
    this.state = 'ready'
  }

  get clockMs () {
    return Math.floor(performance.now() - this.startedAt)
  }

  async start () {
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy())
    })
    this.server.keepAliveTimeout = 0
    await new Promise(resolve => this.server.listen(this.port, '127.0.0.1', resolve))
    this.port = this.server.address().port
    this.beat()
    this.beatTimer = setInterval(() => this.beat(), 1500)
    this.leaseTimer = setInterval(() => this.checkLease(), 20)
  }

  beat () {
    this.store.put('servers', this.id, {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      coldRemainingMs: 0,
      capacity: this.capacity,
      labels: this.labels,
      clockMs: this.clockMs,
      born: this.born,
      seqNum: ++this.seqNum
    })
  }

  describeMachine () {
    const { zone, labels, capacity, id } = this
    const state = this.server?.listening ? 'up' : 'down'
    return { machine: `m-${id.slice(2)}`, pool: this.service, state, zone, labels, capacity, id }
  }

  // The runner ends without a word; its entry goes after three heartbeats.
  crash () {
    this.note('runner-crash', { runner: this.id })
    clearInterval(this.beatTimer)
    clearInterval(this.leaseTimer)
    for (const run of [...this.runs.values()]) {
      clearTimers(run)
      this.runs.delete(run.task)
      this.note('run-gone', { runner: this.id, task: run.task, attempt: run.attempt })
      this.gangs.leave(run, 'gone')
    }
    this.server.closeAllConnections()
    this.server.close()
  }

  async restart () {
    this.startLife()
    await this.start()
    this.note('runner-restart', { runner: this.id, born: this.born })
  }

  close () {
    clearInterval(this.beatTimer)
    clearInterval(this.leaseTimer)
    for (const run of this.runs.values()) clearTimers(run)
    this.server.closeAllConnections()
    this.server.close()
  }

  checkLease () {
    if (this.runs.size === 0 || this.clockMs <= this.deadline) return
    for (const run of [...this.runs.values()]) this.endRun(run, 'lapsed')
  }

  extend (deadlineMs) {
    if (typeof deadlineMs !== 'number') return
    this.deadline = Math.max(this.deadline, Math.min(deadlineMs, this.clockMs + MAX_HOLD_MS))
  }

  endRun (run, how) {
    if (this.runs.get(run.task) !== run) return
    clearTimers(run)
    this.runs.delete(run.task)
    this.ends.push([++this.endCount, run.task, run.attempt, how, run.saved])
    this.note('run-end', { runner: this.id, task: run.task, attempt: run.attempt, how, saved: run.saved })
    this.gangs.leave(run, how)
    for (const wake of [...this.waiting]) wake()
  }

  async serve (request, response) {
    request.on('error', () => {})
    response.on('error', () => {})
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    // The way there and back; a call is carried out in the middle of it.
    if (this.answerMs > 0) await pause(this.answerMs / 2)
    const send = async (statusCode, body) => {
      if (this.answerMs > 0) await pause(this.answerMs / 2)
      response.writeHead(statusCode, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ clockMs: this.clockMs, born: this.born, ...body }))
    }
    if (request.url === '/health') {
      response.writeHead(200, { 'instance-id': this.id })
      return response.end()
    }
    const expected = request.headers['expect-instance']
    if (expected !== undefined && expected !== this.id) return send(421, {})
    const body = JSON.parse(Buffer.concat(chunks).toString() || '{}')
    if ((body.fencingToken ?? 0) < this.fence) {
      this.note('refused', { runner: this.id, path: request.url, fencingToken: body.fencingToken, fence: this.fence })
      return send(409, { reason: 'fence' })
    }
    this.fence = body.fencingToken ?? 0
    if (request.url === '/v1/run-start') return this.startRun(body, send)
    if (request.url === '/v1/run-stop') return this.stopRun(body, send)
    if (request.url === '/v1/pace') return send(200, {})
    if (request.url === '/v1/hold') return await this.hold(body, send, request)
    return send(400, {})
  }

  startRun ({ task, attempt, taskSpec, deadlineMs, checkpoint = '', fencingToken }, send) {
    this.extend(deadlineMs)
    const present = this.runs.get(task)
    if (present?.attempt === attempt) return send(200, {})
    if (attempt <= (this.highest.get(task) ?? 0)) return send(409, { reason: 'old' })
    if (deadlineMs <= this.clockMs) return send(409, { reason: 'late' })
    this.highest.set(task, attempt)
    const { ms, lasting, saves, gang, cpu = 0 } = this.getTask(task, taskSpec)
    const load = lasting === true ? 0 : cpu
    const run = { task, attempt, saved: checkpoint, timers: [], load, end: how => this.endRun(run, how) }
    run.getPercent = () => lasting === true ? 100 : 0
    this.runs.set(task, run)
    this.note('run-start', { runner: this.id, task, attempt, fencingToken, checkpoint })
    const work = () => {
      clearTimers(run)
      if (lasting === true) return
      // A value holds the milliseconds of work that it saves, and digits of the job.
      const earlierMs = checkpoint === '' ? 0 : parseInt(checkpoint.slice(0, 8), 16)
      const delayMs = checkpoint === '' ? 0 : RESTORE_MS
      const startedAt = performance.now() + delayMs - earlierMs
      run.getPercent = () => Math.max(0, Math.min(100, Math.floor((performance.now() - startedAt) / ms * 100)))
      run.timers.push(setTimeout(() => run.end('done'), ms - earlierMs + delayMs))
      if (saves !== true) return
      for (let savedMs = earlierMs + SAVE_MS; savedMs < ms; savedMs += SAVE_MS) {
        const value = `${savedMs.toString(16).padStart(8, '0')}${task.slice(4, 12)}`
        run.timers.push(setTimeout(() => { run.saved = value }, savedMs - earlierMs + delayMs))
      }
    }
    if (gang === undefined) work()
    else {
      run.timers.push(setTimeout(() => run.end('alone'), GANG_TIMEOUT_MS))
      this.gangs.join(run, gang, work)
    }
    return send(200, {})
  }

  async stopRun ({ task, attempt }, send) {
    this.highest.set(task, Math.max(attempt, this.highest.get(task) ?? 0))
    const run = this.runs.get(task)
    if (run?.attempt === attempt) setTimeout(() => this.endRun(run, 'stopped'), this.stopMs)
    return send(200, {})
  }

  async hold ({ deadlineMs, lastSeen = 0, waitMs = 0 }, send, request) {
    this.extend(deadlineMs)
    for (const [, task, attempt, how] of this.ends.filter(([number]) => number <= lastSeen)) {
      this.note('end-noted', { runner: this.id, task, attempt, how })
    }
    this.ends = this.ends.filter(([number]) => number > lastSeen)
    const end = performance.now() + Math.min(waitMs, MAX_WAIT_MS)
    while (this.ends.length === 0 && performance.now() < end && !request.socket.destroyed) {
      await new Promise(resolve => {
        const done = () => {
          clearTimeout(timer)
          this.waiting.delete(done)
          resolve()
        }
        const timer = setTimeout(done, Math.max(1, end - performance.now()))
        this.waiting.add(done)
      })
    }
    const running = [...this.runs.values()].map(run => [run.task, run.attempt, run.saved, run.getPercent(), run.load])
    return send(200, { running, finished: this.ends.slice(0, ENDS_PER_ANSWER) })
  }
}

function clearTimers (run) {
  for (const timer of run.timers) clearTimeout(timer)
  run.timers = []
}
