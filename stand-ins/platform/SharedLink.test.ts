import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { findFreePorts } from '../shared/findFreePorts.js'
import { SharedLink } from './SharedLink.js'

const HOST = '127.0.0.1'
const MEGABIT = 1_000_000
const DELAY_MILLISECONDS = 11
/** Time by which timers and the handling of events may be late. */
const TOLERANCE_MILLISECONDS = 150
const WINDOW_BYTES = 65_536
const LONG_TRANSFER_BYTES = 8_000_000

interface Fixture {
  link: SharedLink
  /** Opens a connection over the link, and over another one before it, to a target of its own; returns its two ends. */
  open (before?: SharedLink): Promise<{ caller: Socket, target: Socket }>
}

async function createFixture (context: TestContext, bitsPerSecond: number): Promise<Fixture> {
  const link = SharedLink.create({ host: HOST, bitsPerSecond, delayMilliseconds: DELAY_MILLISECONDS })
  const sockets: Socket[] = []
  context.after(() => {
    link.close()
    for (const socket of sockets) socket.destroy()
  })
  const open = async (before?: SharedLink) => {
    const [port, targetPort, portBefore] = await findFreePorts(3)
    const server = createServer()
    server.listen(targetPort, HOST)
    await once(server, 'listening')
    await link.listen(port, targetPort)
    await before?.listen(portBefore, port)
    const caller = connect(before === undefined ? port : portBefore, HOST)
    const [target] = await once(server, 'connection') as [Socket]
    server.close()
    for (const socket of [caller, target]) {
      sockets.push(socket)
      socket.on('error', () => {})
    }
    return { caller, target }
  }
  return { link, open }
}

function sleep (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

/** Reads until a number of bytes or the end, and returns the time that it took and the bytes. */
async function receive (socket: Socket, byteCount: number): Promise<{ milliseconds: number, bytes: Buffer }> {
  const startedAt = performance.now()
  const chunks: Buffer[] = []
  await new Promise<void>(resolve => {
    let count = 0
    socket.on('data', chunk => {
      chunks.push(chunk)
      count += chunk.length
      if (count >= byteCount) resolve()
    })
    socket.on('end', resolve)
  })
  return { milliseconds: performance.now() - startedAt, bytes: Buffer.concat(chunks) }
}

/** Waits until a socket is closed, whether or not it was reset. */
async function waitForClose (socket: Socket): Promise<void> {
  await new Promise(resolve => { socket.once('close', resolve) })
}

function assertNear (milliseconds: number, expected: number): void {
  const isNear = milliseconds > expected - 5 && milliseconds < expected + TOLERANCE_MILLISECONDS
  assert.ok(isNear, `${milliseconds} ms instead of ${expected} ms`)
}

test('connections to several targets share the rate of a direction, and all bytes arrive in order', async context => {
  const { link, open } = await createFixture(context, 8 * MEGABIT)
  const ends = [await open(), await open(), await open(), await open()]
  const sent = Buffer.from(Array.from({ length: 100_000 }, (_, index) => index * 7 % 251))
  for (const { target } of ends) target.end(sent)
  const received = await Promise.all(ends.map(({ caller }) => receive(caller, Infinity)))
  for (const { bytes } of received) assert.ok(bytes.equals(sent))
  const times = received.map(({ milliseconds }) => milliseconds)
  assertNear(Math.max(...times), 400 + DELAY_MILLISECONDS)
  // A connection that had the whole rate would need 100 ms.
  assert.ok(Math.min(...times) > 200, `one connection had all bytes after ${Math.min(...times)} ms`)
  assert.equal(link.toCallers.carriedBytes, 400_000)
  assert.equal(link.toTargets.carriedBytes, 0)
})

test('the directions do not share their rate, and a byte takes the delay of an idle direction', async context => {
  const { link, open } = await createFixture(context, 8 * MEGABIT)
  const large = await open()
  const small = await open()
  large.target.write(Buffer.alloc(200_000))
  await receive(large.caller, 10_000)
  small.caller.write('x')
  const { milliseconds } = await receive(small.target, 1)
  assertNear(milliseconds, DELAY_MILLISECONDS)
  // The time in the link contains no processor time.
  const { longestTravelMilliseconds } = link.toTargets
  assert.ok(longestTravelMilliseconds < DELAY_MILLISECONDS + 1, `${longestTravelMilliseconds} ms`)
})

test('a byte waits for the windows of the other connections, not for all that they want to send', async context => {
  const { link, open } = await createFixture(context, 8 * MEGABIT)
  const large = [await open(), await open()]
  const small = await open()
  for (const { target } of large) target.write(Buffer.alloc(400_000))
  await Promise.all(large.map(({ caller }) => receive(caller, 100_000)))
  small.target.write('x')
  const { milliseconds } = await receive(small.caller, 1)
  assert.ok(milliseconds > 60, `${milliseconds} ms`)
  const limit = 2 * WINDOW_BYTES / 1000 + DELAY_MILLISECONDS
  assert.ok(milliseconds < limit + TOLERANCE_MILLISECONDS, `${milliseconds} ms`)
  const { longestTravelMilliseconds } = link.toCallers
  assert.ok(longestTravelMilliseconds < limit + 1, `${longestTravelMilliseconds} ms`)
})

test('a connection whose caller is gone carries nothing that is not yet in the link', async context => {
  const { link, open } = await createFixture(context, 80 * MEGABIT)
  const gone = await open()
  gone.target.write(Buffer.alloc(8_000_000))
  await receive(gone.caller, 100_000)
  gone.caller.resetAndDestroy()
  await waitForClose(gone.target)
  const carried = link.toCallers.carriedBytes
  assert.ok(carried < 1_000_000, `${carried} bytes`)
  await new Promise(resolve => setTimeout(resolve, 50))
  assert.equal(link.toCallers.carriedBytes, carried)
  assert.equal(link.toCallers.queuedMilliseconds, 0)
})

test('a caller that is gone ends the transfer of the target, also through two links', async context => {
  const outer = await createFixture(context, 42 * MEGABIT)
  const inner = SharedLink.create({ host: HOST, bitsPerSecond: 7 * MEGABIT, delayMilliseconds: 0 })
  context.after(() => inner.close())
  for (const reads of [false, true]) {
    const { caller, target } = await outer.open(inner)
    target.write(Buffer.alloc(LONG_TRANSFER_BYTES))
    // Bytes that were not read when a connection closes reset it; otherwise it ends as if the caller had only sent all.
    if (reads) await receive(caller, 1)
    else await once(caller, 'readable')
    caller.destroy()
    await sleep(2 * DELAY_MILLISECONDS + TOLERANCE_MILLISECONDS)
    const carriedBytes = outer.link.toCallers.carriedBytes
    await sleep(TOLERANCE_MILLISECONDS)
    assert.equal(outer.link.toCallers.carriedBytes, carriedBytes, `caller that ${reads ? 'has' : 'has not'} read`)
    assert.ok(target.destroyed, `caller that ${reads ? 'has' : 'has not'} read`)
  }
})

test('a target that is gone closes the connection of the caller', async context => {
  const { open } = await createFixture(context, 80 * MEGABIT)
  const { caller, target } = await open()
  target.resetAndDestroy()
  await waitForClose(caller)
})
