import { createServer } from 'node:net'

/** The range lies below the ephemeral ports, which outgoing connections could take at any time. */
const FIRST_PORT = 20_000
const LAST_PORT = 21_999

/**
 * Finds free TCP ports on loopback. The search starts at an offset that depends on the process ID, so that test files
 * that run in parallel seldom compete for ports.
 * @param count The number of ports.
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

/** The search offsets of consecutive process IDs are 61 ports apart. */
let nextOffset = process.pid * 61

function isFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
