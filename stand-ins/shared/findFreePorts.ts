import { createServer } from 'node:net'

/** Below the ports that operating systems give to outgoing connections, which would take them at random. */
const FIRST_PORT = 20_000
const LAST_PORT = 21_999

/**
 * Finds TCP ports on loopback that nothing listens on, beginning at a place that depends on the process, so that
 * test files that run at the same time seldom compete.
 * @param count How many ports.
 * @returns The ports.
 */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  const range = LAST_PORT - FIRST_PORT + 1
  for (let attempts = 0; attempts < range && ports.length < count; attempts++) {
    const port = FIRST_PORT + nextOffset++ % range
    if (await isFree(port)) ports.push(port)
  }
  if (ports.length < count) throw new Error(`fewer than ${count} free ports between ${FIRST_PORT} and ${LAST_PORT}`)
  return ports
}

/** Neighbouring process numbers begin 61 ports apart. */
let nextOffset = process.pid * 61

function isFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
