// A small deployment on loopback: the store, runners, and the program as separate processes,
// started with the command and the variables of deploy/system.toml.
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Gangs, Runner } from './runner.mjs'
import { pause, Store } from './store.mjs'

export { pause }
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
export const ROUTE = { host: 'desk.example', prefix: '/jobs/', service: 'permit-desk' }
const LASTING_ROUTE = { host: 'desk.example', prefix: '/watch/', service: 'permit-desk' }
const RESTART_MS = 1000
const CALL_MS = 3000

const BOUNDS = {
  seedLagS: 3,
  reuseDelayS: 2,
  contactMs: 4000,
  ackMs: 5000,
  catchUpS: 4,
  drainMs: 2500,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2500,
  rollbackSlackMs: 250,
  maxStretchMs: 6000,
  coldOvershoot: 1.5,
  coldSlack: 5,
  evacuateMs: 5000,
  recoveryS: 12,
  maxHoldMs: 6000,
  stopTimeoutMs: 200,
  gangTimeoutMs: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  farFactor: 3,
  checkpointS: 1,
  restoreMs: 250,
  noticeMs: 5500,
  moveS: 1.5,
  maintenanceS: 2,
  fencingRequired: true,
  leaseMs: 3000,
  thawSlackMs: 300,
  paceMs: 100,
  harmMs: 4000
}

export class Site {
  startedAt = performance.now()
  records = []
  instances = []
  runners = []
  gangs = new Gangs()
  isClosed = false
  accepted = new Map()
  callCount = 0

  static async open ({ instanceCount = 3, runnerCount = 6, farAnswerMs = 0, folder, getTask = readTask }) {
    const site = new Site()
    site.folder = folder
    site.temporary = mkdtempSync(join(tmpdir(), 'papayamoor-review-'))
    site.store = new Store()
    await site.store.open()
    site.cloud = http.createServer((request, response) => {
      response.writeHead(200, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ machines: site.runners.map(runner => runner.describeMachine()), nextToken: null }))
    })
    await new Promise(resolve => site.cloud.listen(0, '127.0.0.1', resolve))
    site.store.put('op', 'config', {
      version: 7,
      routes: [ROUTE, LASTING_ROUTE].map(({ host, prefix, service }, index) => ({
        name: `r-${index}`,
        host,
        prefix,
        routeType: 'unsafe',
        timeoutMs: 3000,
        targetLatencyMs: 400,
        priority: 0,
        service,
        attempts: 4,
        stretch: 1.5,
        allowedRegions: []
      })),
      services: [{
        name: ROUTE.service,
        healthPath: '/health',
        maxConns: 64,
        protocol: 'h1',
        tls: false,
        coldStartS: 0,
        coldPerS: 0,
        admissionCheck: false,
        spare: false
      }],
      limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
    })
    for (let index = 0; index < runnerCount; index++) {
      const runner = new Runner({
        id: `i-${(0x7f3a0000 + index).toString(16)}`,
        store: site.store,
        note: (what, fields) => site.note(what, fields),
        service: ROUTE.service,
        labels: ['a', `r1-${1 + index % 2}`],
        gangs: site.gangs,
        getTask,
        ...farAnswerMs > 0 && index % 2 === 1 && { zone: 'north-a', labels: ['a', `r2-${1 + index % 4}`], answerMs: farAnswerMs }
      })
      await runner.start()
      site.runners.push(runner)
    }
    const ports = await findFreePorts(4 * instanceCount)
    for (let index = 0; index < instanceCount; index++) site.addInstance(index, ports.slice(index * 4, index * 4 + 4))
    return site
  }

  note (what, fields = {}) {
    this.records.push({ at: Math.round(performance.now() - this.startedAt), what, ...fields })
  }

  addInstance (index, [front, ready, control, peer]) {
    const name = `edge-south-a-${index + 1}`
    const settings = join(this.temporary, `${name}.json`)
    writeFileSync(settings, JSON.stringify({
      nodeName: name,
      role: 'instance',
      machineClass: 'edge',
      serves: ['edge'],
      ip: '127.0.0.1',
      zone: 'south-a',
      region: 'south',
      zones: { 'south-a': 'south', 'north-a': 'north' },
      listenAddrs: { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`, control: `127.0.0.1:${control}` },
      portRange: [peer, peer],
      seeds: [],
      bootstrap: true,
      inTolerance: false,
      limits: { cpuShare: 0.27, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
      dataDir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeatMs: 1500,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'places', 'platform', 'sharing'],
      faultTolerance: { machines: 1, zones: 1, regions: 0 },
      bounds: BOUNDS,
      orders: 'rpc',
      platform: {
        address: this.store.address,
        form: 'table',
        writesPerS: 800,
        readsPerS: 2000,
        txMs: 3,
        partWritesPerS: 300,
        rowBytes: 65536,
        across: true,
        historyS: 20,
        blobBytes: 8388608,
        blobMs: 25,
        blobMbPerS: 80
      },
      cloud: { address: `127.0.0.1:${this.cloud.address().port}`, ratePerS: 60, duties: [], dutyPerS: 60 }
    }))
    const instance = { name, settings, front, ready, peer, child: null, ends: 0, output: '' }
    this.instances.push(instance)
    this.startInstance(instance)
  }

  startInstance (instance) {
    if (this.isClosed) return
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
    const [command, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
    const variables = Object.fromEntries([...(/^env = \{(.*)\}$/m.exec(deploy)?.[1] ?? '').matchAll(/(\w+) = "([^"]*)"/g)].map(([, name, text]) => [name, text]))
    const child = spawn(command, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.temporary, LANG: 'C', ...variables, PAPAYAMOOR_SETTINGS: instance.settings },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    instance.child = child
    instance.signalled = false
    const keep = chunk => { instance.output = `${instance.output}${chunk}`.slice(-20_000) }
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    this.note('process-start', { name: instance.name })
    child.once('exit', (code, signal) => {
      if (this.isClosed) return
      const reason = instance.output.split('\n').find(line => line.startsWith('FATAL ERROR'))
      if (!instance.signalled) {
        instance.ends++
        this.note('process-ended-by-itself', { name: instance.name, code, signal, reason })
      } else {
        this.note('process-ended', { name: instance.name, code, signal })
      }
      instance.output = ''
      instance.child = null
      setTimeout(() => this.startInstance(instance), RESTART_MS)
    })
  }

  kill (instance, signal = 'SIGKILL') {
    if (signal === 'SIGKILL' || signal === 'SIGTERM') instance.signalled = true
    this.note('signal', { name: instance.name, signal })
    instance.child?.kill(signal)
  }

  // The instance whose address stands in the newest row of the owner's table.
  getOwner () {
    const row = this.store.getRows('shards').sort((left, right) => right.ver - left.ver)[0]
    const text = JSON.stringify(row?.value ?? {})
    return this.instances.find(({ peer }) => text.includes(`127.0.0.1:${peer}`)) ?? null
  }

  getMemoryMegabytes (instance) {
    try {
      const status = readFileSync(`/proc/${instance.child.pid}/status`, 'utf8')
      return Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)[1]) / 1024)
    } catch {
      return null
    }
  }

  call (instance, method, path, body, headers = {}) {
    return new Promise(resolve => {
      const request = http.request({
        host: '127.0.0.1',
        port: instance.front,
        method,
        path,
        agent: false,
        headers: { host: ROUTE.host, 'deadline-ms': String(CALL_MS), ...(body === undefined ? {} : { 'content-type': 'application/json' }), ...headers }
      }, response => {
        const chunks = []
        response.on('data', chunk => chunks.push(chunk))
        response.on('error', () => finish(null))
        response.on('end', () => finish({ statusCode: response.statusCode, text: Buffer.concat(chunks).toString() }))
      })
      const timer = setTimeout(() => { finish(null); request.destroy() }, CALL_MS)
      function finish (result) {
        clearTimeout(timer)
        resolve(result)
      }
      request.on('error', () => finish(null))
      request.end(body)
    })
  }

  // Sends a request as a client does: again to another node where there was no answer, a 502, 503 or 504.
  async callAny (method, path, body, tries = 4) {
    for (let attempt = 0; attempt < tries; attempt++) {
      const instance = this.instances[this.callCount++ % this.instances.length]
      const result = await this.call(instance, method, path, body)
      if (result !== null && ![429, 502, 503, 504].includes(result.statusCode)) return result
      await pause(250)
    }
    return null
  }

  async submit (id, steps, taskSpec, route = ROUTE) {
    const result = await this.callAny('POST', `${route.prefix}${id}`, JSON.stringify({ taskSpec: JSON.stringify(taskSpec), steps }))
    const isAccepted = result !== null && result.statusCode >= 200 && result.statusCode < 300
    this.note('submit', { id, status: result?.statusCode ?? null })
    if (isAccepted) this.accepted.set(id, { steps, route, at: performance.now() })
    return isAccepted
  }

  async submitLasting (id, count) {
    const step = { count, cpu: 500, memMb: 256, estimateMs: 1000, longRunning: true }
    return await this.submit(id, [step], { lasting: true }, LASTING_ROUTE)
  }

  async getState (id, tries = 4) {
    const { route } = this.accepted.get(id) ?? { route: ROUTE }
    const result = await this.callAny('GET', `${route.prefix}${id}`, undefined, tries)
    if (result === null) return 'no answer'
    if (result.statusCode !== 200) return `status ${result.statusCode}`
    return JSON.parse(result.text).state
  }

  getRunning () {
    return this.runners.flatMap(runner => [...runner.runs.keys()])
  }

  // The share of the runners' processors that running tasks have asked for.
  getUse () {
    let used = 0
    for (const task of this.getRunning()) {
      const [id, , step] = task.split('.')
      used += this.accepted.get(id)?.steps[Number(step)].cpu ?? 0
    }
    return used / this.runners.reduce((sum, { capacity }) => sum + capacity.cpu, 0)
  }

  async isReady (instance) {
    return await new Promise(resolve => {
      const request = http.get({ host: '127.0.0.1', port: instance.ready, path: '/v1/ready', agent: false, timeout: 1000 }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(false))
    })
  }

  async waitUntil (condition, milliseconds) {
    const end = performance.now() + milliseconds
    while (performance.now() < end) {
      if (await condition()) return true
      await pause(50)
    }
    return false
  }

  async close () {
    this.isClosed = true
    for (const { child } of this.instances) child?.kill('SIGKILL')
    for (const runner of this.runners) runner.close()
    this.store.close()
    this.cloud.closeAllConnections()
    this.cloud.close()
    writeFileSync(join(this.folder, 'record.txt'), `${this.records.map(record => JSON.stringify(record)).join('\n')}\n`)
    rmSync(this.temporary, { recursive: true, force: true })
  }
}

function readTask (task, taskSpec) {
  return JSON.parse(taskSpec)
}

// Below the ports that the system gives to connections, so that none of them takes the port of a process that is down.
async function findFreePorts (count) {
  const ports = new Set()
  while (ports.size < count) {
    const port = 12_000 + Math.floor(Math.random() * 18_000)
    if (!ports.has(port) && await isFree(port)) ports.add(port)
  }
  return [...ports]
}

function isFree (port) {
  return new Promise(resolve => {
    const server = net.createServer().once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
