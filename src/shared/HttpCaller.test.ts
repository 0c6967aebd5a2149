import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { HttpCaller, type HttpCallerOptions } from './HttpCaller.js'

/** A time limit that no test reaches. */
const LONG_MILLISECONDS = 20_000

/** A server that counts what reaches it and answers when told to. */
class CountingServer {
  connections = 0
  readonly paths: string[] = []
  private readonly held: ServerResponse[] = []
  private readonly server: Server

  private constructor () {
    this.server = createServer((request, response) => {
      this.paths.push(request.url ?? '')
      if (request.url?.startsWith('/held') !== true) {
        response.end(request.url)
        return
      }
      this.held.push(response)
    })
    this.server.on('connection', () => this.connections++)
  }

  static async create (context: TestContext): Promise<CountingServer> {
    const counting = new CountingServer()
    counting.server.listen(0, '127.0.0.1')
    await once(counting.server, 'listening')
    context.after(() => {
      counting.server.close()
      counting.dropConnections()
    })
    return counting
  }

  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Waits until so many requests are held back. */
  async waitForHeld (count: number): Promise<void> {
    await waitUntil(() => this.held.length >= count)
  }

  answerHeld (): void {
    for (const response of this.held.splice(0)) response.end('held')
  }

  dropConnections (): void {
    this.server.closeAllConnections()
  }

  async close (): Promise<void> {
    await new Promise(resolve => this.server.close(resolve))
  }
}

async function waitUntil (isMet: () => boolean): Promise<void> {
  while (!isMet()) await sleep(2)
}

function createCaller (context: TestContext, options: HttpCallerOptions): HttpCaller {
  const caller = HttpCaller.create(options)
  context.after(() => caller.close())
  return caller
}

function get (caller: HttpCaller, address: string, path: string, timeoutMilliseconds = LONG_MILLISECONDS) {
  return caller.call({ address, method: 'GET', path, timeoutMilliseconds })
}

test('an observer is told how each call ends and of each connection', async context => {
  const server = await CountingServer.create(context)
  const events: string[] = []
  let connectionsClosed = 0
  const caller = createCaller(context, {
    connections: 1,
    observer: {
      connectionOpened: address => { events.push(`opened ${address === server.address}`) },
      connectionClosed: (address, reason) => {
        events.push(`closed ${address === server.address} ${reason !== ''}`)
        connectionsClosed++
      },
      callEnded: (address, end) => { events.push(`${end} ${address === server.address}`) }
    }
  })
  await get(caller, server.address, '/a')
  await get(caller, server.address, '/held', 20)
  await waitUntil(() => connectionsClosed === 1)
  const broken = get(caller, server.address, '/held')
  await server.waitForHeld(2)
  await get(caller, server.address, '/b', 20)
  server.dropConnections()
  await broken
  await waitUntil(() => connectionsClosed === 2)
  assert.deepEqual(events, [
    'opened true', 'answered true', 'expired-in-flight true', 'closed true true',
    'opened true', 'expired-waiting true', 'broken true', 'closed true true'
  ])
})

test('a refused connection and an address that is given up are told apart', async context => {
  const server = await CountingServer.create(context)
  const ends: string[] = []
  const caller = createCaller(context, {
    connections: 1,
    observer: { connectionOpened () {}, connectionClosed () {}, callEnded: (_address, end) => { ends.push(end) } }
  })
  const held = get(caller, server.address, '/held')
  await server.waitForHeld(1)
  caller.forget(server.address)
  assert.equal((await held).kind, 'lost')
  const closed = await CountingServer.create(context)
  const { address } = closed
  await closed.close()
  assert.deepEqual(await get(caller, address, '/a'), { kind: 'not-sent', reason: 'ECONNREFUSED' })
  assert.deepEqual(ends, ['closed', 'refused'])
})
