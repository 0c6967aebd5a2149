import { once } from 'node:events'
import { createServer, type Server } from 'node:net'

/** The options of a search for free ports. */
export interface FindFreePortsOptions {
  /** The port at which the search starts; by default the port after the last one that was tried. */
  firstPort?: number
}

/** The range lies below the ephemeral ports, which outgoing connections could take at any time. */
const FIRST_PORT = 20_000
const LAST_PORT = 25_999
const HOST = '127.0.0.1'
/** A process reserves a port by listening on it at this address, at which nothing else listens. */
const RESERVATION_HOST = '127.0.0.2'

/**
 * Finds free TCP ports on 127.0.0.1 and reserves them until this process ends: no other process finds them, even
 * while nothing listens on them.
 * @param count The number of ports.
 * @param options Where the search starts.
 * @returns The ports.
 * @throws If the range has too few free ports, or if 127.0.0.2 is not an address of this machine.
 */
export async function findFreePorts (count: number, options: FindFreePortsOptions = {}): Promise<number[]> {
  const ports: number[] = []
  const range = LAST_PORT - FIRST_PORT + 1
  if (options.firstPort !== undefined) nextOffset = options.firstPort - FIRST_PORT
  for (let attempts = 0; attempts < range && ports.length < count; attempts++) {
    const port = FIRST_PORT + nextOffset++ % range
    if (await reserve(port)) ports.push(port)
  }
  if (ports.length < count) throw new Error(`fewer than ${count} free ports between ${FIRST_PORT} and ${LAST_PORT}`)
  return ports
}

/** The search offsets of consecutive process IDs are 61 ports apart, so that parallel searches seldom meet. */
let nextOffset = process.pid * 61

const reservedPorts = new Set<number>()

async function reserve (port: number): Promise<boolean> {
  // A search that has passed through the whole range finds the ports of this process again that are free.
  const isOwn = reservedPorts.has(port)
  const reservation = isOwn ? null : await listen(port, RESERVATION_HOST)
  if (reservation === null && !isOwn) return false
  const probe = await listen(port, HOST)
  if (probe !== null) {
    await close(probe)
    reservation?.unref()
    reservedPorts.add(port)
    return true
  }
  if (reservation !== null) await close(reservation)
  return false
}

/** Returns the listening server, or null if the port is in use. */
async function listen (port: number, host: string): Promise<Server | null> {
  const server = createServer().listen({ port, host, exclusive: true })
  try {
    await once(server, 'listening')
    return server
  } catch (error) {
    if ((error as { code?: string }).code === 'EADDRINUSE') return null
    throw error
  }
}

async function close (server: Server): Promise<void> {
  await new Promise(resolve => server.close(resolve))
}
