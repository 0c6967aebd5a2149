// A small deployment on loopback addresses: the store, the machine service, runners, and the deployed program.
import { spawn } from 'node:child_process'
import { createServer } from 'node:http'
import { appendFileSync, existsSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { call, findPorts, pause, sendJson } from './http.mjs'
import { Runner } from './runner.mjs'
import { Store } from './store.mjs'

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..')
export const QUEUE = { name: 'drafts', host: 'permits.example', prefix: '/drafts/', service: 'permit-desk' }
/** The bounds of the sheet of Growthmark. */
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
  evacuateMs: 5000,
  recoveryS: 12,
  maxHoldMs: 6000,
  stopTimeoutMs: 400,
  gangTimeoutMs: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  checkpointS: 0.5,
  restoreMs: 600,
  noticeMs: 5500,
  fencingRequired: true,
  leaseMs: 3000,
  thawSlackMs: 300
}
/** The longest time that a script may take, with a margin. */
const LIMIT_MS = 112_000

/** Reads the command of the deployed program and its environment from the deploy file. */
function readDeployFile () {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const run = /^run = "(.*)"$/m.exec(text)[1].split(' ')
  const environment = Object.fromEntries([...(/^env = \{(.*)\}$/m.exec(text)?.[1] ?? '').matchAll(/(\w+) = "([^"]*)"/g)]
    .map(([, name, value]) => [name, value]))
  return { run, environment }
}

/** What the platform and the clients have seen, written to the record as it happens. */
export class Log {
  lines = 0
  runs = []
  violations = []
  constructor (path) {
    this.path = path
    this.begin = performance.now()
    writeFileSync(path, '')
  }

  get now () { return (performance.now() - this.begin) / 1000 }

  write (text) {
    appendFileSync(this.path, `${this.now.toFixed(3).padStart(8)} ${text}\n`)
  }

  started (runner, run) {
    const { task, attempt } = run
    const record = { task, attempt, runner: runner.id, from: this.now, to: null, how: null, isSeen: false }
    run.record = record
    for (const other of this.runs) {
      if (other.task !== run.task) continue
      if (other.to === null) this.violate(`TWICE: ${run.task} runs on ${other.runner} as ${other.attempt} and starts on ${runner.id} as ${run.attempt}`)
      else if (other.how === 'done' && other.isSeen) this.violate(`TWICE: ${run.task} ended done on ${other.runner} as ${other.attempt}, which was seen, and starts on ${runner.id} as ${run.attempt}`)
    }
    this.runs.push(record)
    this.write(`start ${run.task}#${run.attempt} on ${runner.id}, token ${run.token}`)
  }

  ended (runner, run, how) {
    Object.assign(run.record, { to: this.now, how })
    this.write(`end ${run.task}#${run.attempt} on ${runner.id}: ${how}`)
  }

  gone (runner, run) {
    Object.assign(run.record, { to: this.now, how: 'gone' })
    this.write(`gone ${run.task}#${run.attempt} on ${runner.id}`)
  }

  seen (runner, [, task, attempt, how]) {
    const record = this.runs.find(other =>
      other.task === task && other.attempt === attempt && other.runner === runner.id)
    if (record === undefined || record.isSeen) return
    record.isSeen = true
    const later = this.runs.find(other => other !== record && other.task === task && other.from > record.to)
    if (how === 'done' && later !== undefined) {
      this.violate(`TWICE: ${task} ended done on ${runner.id} as ${attempt}, which is now seen, and was started on ${later.runner} as ${later.attempt} after that end`)
    }
  }

  violate (text) {
    this.violations.push(text)
    this.write(`BROKEN ${text}`)
  }
}

export class Site {
  instances = []
  runners = []

  /**
   * Starts the store, the machine service and the runners, and prepares the processes.
   * @param options `folder` gets the record. Each of `instances` has the options of its address of the store. Each of
   * `runners` has the options of one runner. After `restartMs` a process that ended by itself is started again.
   */
  static async create ({ folder, instances, runners, attempts = 4, restartMs }) {
    if (!existsSync(join(ROOT, 'target/papayamoor.cjs'))) throw new Error('the deployed program is not built')
    const site = new Site()
    site.restartMs = restartMs
    site.log = new Log(join(folder, 'record.txt'))
    site.folder = mkdtempSync(join(tmpdir(), 'papayamoor-review-'))
    site.store = new Store()
    site.store.onWrite = ({ table }) => {
      if (table === 'shards') site.log.write(`${site.owner()?.name} takes the ownership over, token ${site.epoch()}`)
    }
    const ports = await findPorts(1 + runners.length + instances.length * 4)
    site.machinesPort = ports.shift()
    site.machines = createServer((_request, response) => sendJson(response, 200, {
      machines: site.runners.map(runner => ({
        machine: `machine-${runner.id}`,
        pool: QUEUE.service,
        state: runner.isUp ? 'up' : 'down',
        zone: runner.zone,
        labels: runner.labels,
        capacity: runner.capacity,
        id: runner.isUp ? runner.id : ''
      }))
    }))
    await new Promise((resolve, reject) => { site.machines.once('error', reject).listen(site.machinesPort, '127.0.0.1', resolve) })
    const route = {
      ...QUEUE, routeType: 'unsafe', timeoutMs: 3000, targetLatencyMs: 400, priority: 0, attempts, stretch: 2
    }
    site.store.put('op', 'config', { version: 1, routes: [route], services: [{ name: QUEUE.service, admissionCheck: false }], limits: { maxBodyBytes: 262_144 } })
    for (const [index, options] of runners.entries()) {
      const runner = new Runner({ id: `runner-${index}`, port: ports.shift(), log: site.log, ...options })
      await runner.listen()
      site.runners.push(runner)
      site.store.put('servers', runner.id, runner.entry(QUEUE.service))
    }
    for (const [index, options] of instances.entries()) {
      const [storePort, front, ready, peer] = ports.splice(0, 4)
      const instance = { name: `edge-${index}`, storePort, front, ready, peer, child: null, ownEnds: 0, options }
      await site.store.listen(storePort, options.store)
      site.instances.push(instance)
    }
    return site
  }

  start (instance) {
    instance.isSignalled = false
    const settings = join(this.folder, `${instance.name}.json`)
    writeFileSync(settings, JSON.stringify({
      nodeName: instance.name,
      role: 'instance',
      machineClass: 'edge',
      serves: ['edge'],
      ip: '127.0.0.1',
      zone: instance.options.zone ?? 'south-a',
      region: 'south',
      listenAddrs: { front: `127.0.0.1:${instance.front}`, ready: `127.0.0.1:${instance.ready}` },
      portRange: [instance.peer, instance.peer],
      bootstrap: true,
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
      bounds: BOUNDS,
      orders: 'rpc',
      platform: { address: `127.0.0.1:${instance.storePort}`, form: 'table', rowBytes: 65_536 },
      cloud: { address: `127.0.0.1:${this.machinesPort}` }
    }))
    const { run, environment } = readDeployFile()
    const [program, ...args] = run
    const output = openSync(join(this.folder, `${instance.name}.log`), 'a')
    instance.child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, ...environment, PAPAYAMOOR_SETTINGS: settings },
      stdio: ['ignore', output, output]
    })
    const { child } = instance
    child.once('exit', (code, signal) => {
      this.log.write(`process ${instance.name} ended (${signal ?? code})`)
      instance.child = null
      if (this.isEnded || instance.isSignalled) return
      instance.ownEnds++
      if (this.restartMs !== undefined) setTimeout(() => { if (!this.isEnded) this.start(instance) }, this.restartMs)
    })
    this.log.write(`process ${instance.name} started`)
  }

  /** Returns the process that the store names as owner. */
  owner () {
    const row = this.store.value('shards', 'owner', 'site')
    return row === null ? null : this.instances.find(({ peer }) => row.address === `127.0.0.1:${peer}`) ?? null
  }

  epoch () {
    return this.store.value('shards', 'owner', 'site')?.epoch ?? 0
  }

  async waitFor (what, condition, limitMs = 20_000) {
    const end = performance.now() + limitMs
    while (performance.now() < end) {
      if (await condition()) return true
      await pause(20)
    }
    this.log.write(`not reached within ${limitMs} ms: ${what}`)
    return false
  }

  /** Hands a job in as clients do: again at another process while no answer says whether it was accepted. */
  async submit (id, job, instances = this.instances) {
    for (let attempt = 0; attempt < 5; attempt++) {
      const instance = instances[(parseInt(id.slice(-4), 16) + attempt) % instances.length]
      const answer = await call(instance.front, 'POST', `${QUEUE.prefix}${id}`, { host: QUEUE.host, body: job })
      this.log.write(`POST ${id} at ${instance.name}: ${answer?.status ?? 'no answer'}`)
      if (answer !== null && answer.status < 300) return true
      await pause(answer?.status === 503 ? 1000 : 200)
    }
    return false
  }

  /**
   * Puts the store into the state after many jobs: plays one job to its end, waits until the program has left it alone,
   * and copies the rows that it keeps of it. Returns whether that was possible.
   */
  async addFinishedJobs (count) {
    const id = 'f'.repeat(16)
    await this.submit(id, { taskSpec: 'ms=100', steps: [{ count: 1, cpu: 100, memMb: 10, estimateMs: 100 }] })
    const isLeft = await this.waitFor('the rows of a finished job', () =>
      this.store.value('progress', 'owner', id)?.state === 'completed' &&
      Object.keys(this.store.value('jobs', `jobs-${id[0]}`, id) ?? { 0: 0 }).length === 0)
    if (!isLeft) return false
    const rows = [['jobs', `jobs-${id[0]}`], ['progress', 'owner']]
    for (const [table, part] of rows) this.log.write(`kept of a finished job: ${table}/${id} ${JSON.stringify(this.store.value(table, part, id))}`)
    this.store.copyFinishedJob(id, count)
    this.log.write(`the rows of ${count} finished jobs are in the store`)
    return true
  }

  async state (id, instance = this.instances[0]) {
    const answer = await call(instance.front, 'GET', `${QUEUE.prefix}${id}`, { host: QUEUE.host })
    this.log.write(`GET ${id} at ${instance.name}: ${answer === null ? 'no answer' : `${answer.status} ${answer.body.state ?? ''}`}`)
    return answer
  }

  signal (instance, name) {
    this.log.write(`${name} to ${instance.name}`)
    if (name === 'SIGKILL' || name === 'SIGTERM') instance.isSignalled = true
    instance.child?.kill(name)
  }

  async end () {
    this.isEnded = true
    for (const { child } of this.instances) {
      child?.kill('SIGCONT')
      child?.kill('SIGKILL')
    }
    await pause(100)
    for (const runner of this.runners) runner.close()
    this.store.close()
    this.machines.closeAllConnections()
    this.machines.close()
    if (process.env.KEEP !== '1') rmSync(this.folder, { recursive: true, force: true })
    else console.log(this.folder)
  }
}

/**
 * Runs a case and ends with its status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param play Plays the case. It returns nothing, or why the case cannot run.
 */
export async function runCase (folder, options, play) {
  let site = null
  const limit = setTimeout(async () => {
    site?.log.write('the time limit was reached')
    await site?.end()
    process.exit(2)
  }, LIMIT_MS)
  for (const name of ['SIGTERM', 'SIGINT']) {
    process.once(name, async () => {
      await site?.end()
      process.exit(2)
    })
  }
  try {
    site = await Site.create({ folder, ...options })
    for (const instance of site.instances) site.start(instance)
    const isReady = await site.waitFor('an owner', () => site.owner() !== null) &&
      await site.waitFor('all processes ready', async () => {
        const answers = await Promise.all(site.instances.map(({ ready }) => call(ready, 'GET', '/v1/ready', { timeoutMs: 500 })))
        return answers.every(answer => answer?.status === 200)
      })
    const failure = isReady ? await play(site) : 'the processes did not become ready'
    clearTimeout(limit)
    const { violations } = site.log
    site.log.write(failure !== undefined ? `cannot run: ${failure}` : violations.length > 0 ? `broken: ${violations.length}` : 'held')
    await site.end()
    console.log(failure ?? (violations.length > 0 ? violations.slice(0, 5).join('\n') : 'held'))
    process.exit(failure !== undefined ? 2 : violations.length > 0 ? 1 : 0)
  } catch (error) {
    console.log(error)
    await site?.end()
    process.exit(2)
  }
}

export const jobId = number => (0xabc000000000 + number).toString(16).padStart(16, '0')
