import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createServer } from 'node:net'
import { test, type TestContext } from 'node:test'
import { findFreePorts } from './findFreePorts.js'

const PROCESS_COUNT = 6
const PORT_COUNT = 20
const FIRST_PORT = 22_000

const moduleUrl = new URL('./findFreePorts.js', import.meta.url).href
const findPorts = `
  const { findFreePorts } = await import(${JSON.stringify(moduleUrl)})
  console.log(JSON.stringify(await findFreePorts(${PORT_COUNT}, { firstPort: ${FIRST_PORT} })))
`
/** The child process lives until its standard input ends or it is killed. */
const findPortsAndWait = `${findPorts}\nprocess.stdin.resume()`

function startProcess (context: TestContext, program: string) {
  const child = spawn(process.execPath, ['--input-type=module', '--eval', program], { stdio: ['pipe', 'pipe', 'inherit'] })
  const exited = once(child, 'exit')
  context.after(async () => {
    child.kill('SIGKILL')
    await exited
  })
  return { child, exited }
}

async function startFinder (context: TestContext): Promise<{ ports: number[], kill: () => Promise<void> }> {
  const { child, exited } = startProcess(context, findPortsAndWait)
  const [text] = await once(child.stdout.setEncoding('utf8'), 'data')
  const kill = async () => {
    child.kill('SIGKILL')
    await exited
  }
  return { ports: JSON.parse(text), kill }
}

test('processes that search at the same time never find the same port before one of them listens on it', async context => {
  const finders = await Promise.all(Array.from({ length: PROCESS_COUNT }, () => startFinder(context)))
  const ports = finders.flatMap(finder => finder.ports)
  assert.equal(ports.length, PROCESS_COUNT * PORT_COUNT)
  assert.equal(new Set(ports).size, ports.length, JSON.stringify(finders.map(finder => finder.ports)))
})

test('the ports of a killed process are free again, and not before', async context => {
  const finder = await startFinder(context)
  const search = { firstPort: finder.ports[0] }
  assert.deepEqual((await findFreePorts(PORT_COUNT, search)).filter(port => finder.ports.includes(port)), [])
  await finder.kill()
  const afterwards = await findFreePorts(PORT_COUNT, search)
  assert.ok(afterwards.some(port => finder.ports.includes(port)), `${finder.ports} and then ${afterwards}`)
})

test('a process that has found ports exits by itself', { timeout: 20_000 }, async context => {
  const { exited } = startProcess(context, findPorts)
  assert.deepEqual(await exited, [0, null])
})

test('a port that was found can be listened on, and a port that is in use is not found', async context => {
  const [port] = await findFreePorts(1)
  const server = createServer().listen(port, '127.0.0.1')
  context.after(() => server.close())
  await once(server, 'listening')
  assert.notEqual((await findFreePorts(1, { firstPort: port }))[0], port)
})

test('searches of a process one after the other find different ports', async () => {
  const [first] = await findFreePorts(1)
  assert.notEqual((await findFreePorts(1))[0], first)
})
