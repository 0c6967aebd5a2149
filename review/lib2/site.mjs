// Starts the deployed program as separate processes beside a stand-in of the platform, with settings of a small site.
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import net from 'node:net'
import { call, HOST, listen, pause, sendJson } from './http.mjs'
import { Runners } from './runner.mjs'
import { Store } from './store.mjs'

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..')
export const ROUTE = { host: 'nony24.example', prefix: '/lohu930/' }
export const SERVICE = 'huvo11a'

/** The bounds of the site file tpec-permits, as DEPLOY.md shows them. */
export const BOUNDS = {
  contactMs: 4000,
  ackMs: 5000,
  drainMs: 2500,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2500,
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
  leaseMs: 3000,
  paceMs: 100
}
const CONTRACTS = ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'places', 'platform', 'advice', 'upkeep', 'sharing']

export class Site {
  constructor (folder) {
    this.recordPath = join(folder, 'record.txt')
    writeFileSync(this.recordPath, '')
    this.startedAt = performance.now()
    this.folder = mkdtempSync(join(tmpdir(), 'papayamoor-review-'))
    this.store = new Store()
    this.instances = []
    this.isOver = false
    this.ownEnds = []
  }

  seconds () { return (performance.now() - this.startedAt) / 1000 }

  record (text) { appendFileSync(this.recordPath, `${this.seconds().toFixed(3)} ${text}\n`) }

  /** Starts the platform and the runners; the configuration is in the store before any process starts. */
  async startPlatform ({ runners, describe, on = () => {}, attempts = 4, heartbeatMs = 1500, priority = 0 }) {
    this.store.put('op', '', 'config', {
      version: 7,
      routes: [{
        name: 'r-3hwrr6x',
        ...ROUTE,
        routeType: 'unsafe',
        timeoutMs: 3000,
        targetLatencyMs: 400,
        priority,
        service: SERVICE,
        attempts,
        stretch: 1.5,
        allowedRegions: []
      }],
      services: [{
        name: SERVICE,
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
    this.runners = new Runners({
      store: this.store, service: SERVICE, bounds: { ...BOUNDS, heartbeatMs }, describe, on
    })
    for (const runner of runners) await this.runners.add(runner)
    this.storeServer = await listen((request, response) => this.store.handle(request, response))
    this.cloudServer = await listen((request, response) => {
      sendJson(response, 200, { machines: this.runners.listMachines(), nextToken: null })
    })
  }

  async startInstances (count, { memoryMb = 350, cpuShare = 0.27 } = {}) {
    for (let index = 0; index < count; index++) {
      const [front, ready, peer] = await findFreePorts(3)
      const name = `edge-south-a-${index + 1}`
      const settingsPath = join(this.folder, `${name}.json`)
      writeFileSync(settingsPath, JSON.stringify({
        nodeName: name,
        role: 'instance',
        machineClass: 'edge',
        serves: ['edge'],
        ip: HOST,
        zone: 'south-a',
        region: 'south',
        zones: { 'south-a': 'south' },
        listenAddrs: { front: `${HOST}:${front}`, ready: `${HOST}:${ready}` },
        portRange: [peer, peer],
        seeds: [],
        bootstrap: true,
        inTolerance: false,
        limits: { cpuShare, cores: 1, memoryMb, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
        dataDir: null,
        discovery: 'platform',
        entry: 'vip',
        heartbeatMs: 1500,
        contracts: CONTRACTS,
        faultTolerance: { machines: 1, zones: 1, regions: 0 },
        bounds: BOUNDS,
        orders: 'rpc',
        platform: {
          address: `${HOST}:${this.storeServer.port}`,
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
        cloud: { address: `${HOST}:${this.cloudServer.port}`, ratePerS: 60, duties: [], dutyPerS: 60 }
      }))
      const instance = { name, front, ready, peer, settingsPath, child: null, output: '', mustRestart: true, starts: 0 }
      this.instances.push(instance)
      this.startInstance(instance)
    }
  }

  /** Starts a process with the command of the deploy file; one that ends is started again, as DEPLOY.md says. */
  startInstance (instance) {
    if (this.isOver) return
    const [program, ...words] = getCommand()
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, ROARR_LOG: 'true', PAPAYAMOOR_SETTINGS: instance.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    instance.child = child
    instance.starts++
    this.record(`process ${instance.name} started, pid ${child.pid}`)
    const keep = chunk => {
      instance.output = (instance.output + chunk).slice(-200_000)
      this.onOutput?.(instance, String(chunk))
    }
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    child.once('exit', (code, signal) => {
      if (this.isOver) return
      const isOwn = instance.killedChild !== child
      this.record(`process ${instance.name} ended${isOwn ? ' by itself' : ''}: code ${code}, signal ${signal}`)
      if (isOwn) {
        this.ownEnds.push({ name: instance.name, code, signal, at: this.seconds() })
        const lines = instance.output.split('\n').filter(line => /^FATAL ERROR|^\w*Error:/.test(line))
        this.record(`last words of ${instance.name}: ${lines.at(-1) ?? 'none'}`)
      }
      if (instance.mustRestart) setTimeout(() => this.startInstance(instance), 500)
    })
  }

  signal (instance, signal) {
    this.record(`${signal} to ${instance.name}`)
    if (signal === 'SIGKILL' || signal === 'SIGTERM') instance.killedChild = instance.child
    instance.child.kill(signal)
  }

  async waitUntilReady (limitMs = 15_000) {
    const endAt = performance.now() + limitMs
    for (const { ready } of this.instances) {
      while ((await call({ port: ready, path: '/v1/ready', timeoutMs: 500 })).status !== 200) {
        if (performance.now() > endAt) throw new Error('the processes are not ready')
        await pause(100)
      }
    }
  }

  /** Returns the process that owns the shard by the row in the store, which it renews under a condition, or null. */
  findOwner () {
    const text = this.store.getText('shards', 'owner', 'site')
    const name = text === null ? null : JSON.parse(text).owner
    return this.instances.find(instance => instance.name === name) ?? null
  }

  async waitForOwner (limitMs = 15_000) {
    const endAt = performance.now() + limitMs
    for (;;) {
      const owner = this.findOwner()
      if (owner !== null) return owner
      if (performance.now() > endAt) throw new Error('no process owns the shard')
      await pause(100)
    }
  }

  request (instance, method, jobId, body, timeoutMs = 3000) {
    return call({
      port: instance.front,
      method,
      path: `${ROUTE.prefix}${jobId}`,
      headers: { host: ROUTE.host, 'content-type': 'application/json', 'deadline-ms': '3000' },
      body: body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body),
      timeoutMs
    })
  }

  /** Hands a job in as a client does: again at another process after no answer, a 502 or a 504. */
  async submit (jobId, body, retries = 4) {
    let last = null
    for (let index = 0; index <= retries; index++) {
      const instance = this.instances[index % this.instances.length]
      last = await this.request(instance, 'POST', jobId, body)
      this.record(`client POST ${jobId} at ${instance.name}: ${last.status || last.reason}`)
      if (last.status >= 200 && last.status < 300) return true
      if (last.status === 429 || last.status === 503) return false
      await pause(200)
    }
    return null
  }

  async getState (jobId, instances = this.instances) {
    for (const instance of instances) {
      const { status, text } = await this.request(instance, 'GET', jobId)
      if (status === 200) return JSON.parse(text).state
      if (status === 410) return '410'
    }
    return null
  }

  async close () {
    this.isOver = true
    for (const { child } of this.instances) {
      if (child === null) continue
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    this.runners?.close()
    for (const { server } of [this.storeServer, this.cloudServer].filter(Boolean)) {
      server.closeAllConnections()
      server.close()
    }
    rmSync(this.folder, { recursive: true, force: true })
  }
}

/** Returns the words of the command in the deploy file. */
function getCommand () {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  return /^run = "(.*)"$/m.exec(text)[1].split(' ')
}

async function findFreePorts (count) {
  const servers = []
  for (let index = 0; index < count; index++) {
    const server = net.createServer()
    await new Promise(resolve => { server.listen(0, HOST, resolve) })
    servers.push(server)
  }
  const ports = servers.map(server => server.address().port)
  for (const server of servers) await new Promise(resolve => { server.close(resolve) })
  return ports
}

/** Runs a case: exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. */
export async function runCase (folder, play) {
  const site = new Site(folder)
  const limit = setTimeout(() => {
    site.record('the case took too long')
    site.close().finally(() => process.exit(2))
  }, 115_000)
  let code = 2
  try {
    const violations = await play(site, process.env.TROUBLE !== '0')
    for (const violation of violations) site.record(`BROKEN ${violation}`)
    site.record(violations.length > 0 ? 'the rule was broken' : 'the rule held')
    console.log(violations.length > 0 ? `broken: ${violations[0]} (${violations.length} in all)` : 'the rule held')
    code = violations.length > 0 ? 1 : 0
  } catch (error) {
    site.record(`the case could not run: ${error.stack}`)
    console.error(`the case could not run: ${error.message}`)
  }
  clearTimeout(limit)
  await site.close()
  process.exit(code)
}
