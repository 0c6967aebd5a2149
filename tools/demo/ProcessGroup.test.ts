import assert from 'node:assert/strict'
import { test } from 'node:test'
import { request } from 'undici'
import { findFreePorts } from '../../stand-ins/shared/findFreePorts.js'
import { ProcessGroup } from './ProcessGroup.js'

async function createProgram (name: string) {
  const [port] = await findFreePorts(1)
  const readyUrl = `http://127.0.0.1:${port}/instances`
  return {
    name, file: 'dist/stand-ins/instance-list/program.js', environment: { STAND_IN_PORT: String(port) }, readyUrl
  }
}

test('starts a program and waits for readiness, freezes and wakes it, and stops it with SIGTERM', async () => {
  const group = ProcessGroup.create()
  try {
    const program = await createProgram('list')
    await group.start(program)
    group.freeze('list')
    const frozen = request(program.readyUrl, { signal: AbortSignal.timeout(200) })
    await assert.rejects(frozen)
    group.wake('list')
    assert.equal((await request(program.readyUrl)).statusCode, 200)
    const { code, signal } = await group.stop('list')
    assert.deepEqual({ code, signal, running: group.getRunning() }, { code: 0, signal: null, running: [] })
  } finally {
    await group.killAll()
  }
})

test('a killed program can be restarted under the same name', async () => {
  const group = ProcessGroup.create()
  try {
    const program = await createProgram('list')
    await group.start(program)
    await group.kill('list')
    await group.start(program)
    assert.deepEqual(group.getRunning(), ['list'])
  } finally {
    await group.killAll()
  }
})

test('start rejects with the output of a program that exits before it is ready', async () => {
  const group = ProcessGroup.create()
  const program = { name: 'p', file: 'dist/absent.js', environment: {}, readyUrl: 'http://127.0.0.1:1/' }
  await assert.rejects(group.start(program), /p exited before it was ready[^]*Cannot find module/)
})
