/** The part of a machine that a process may use. */
export interface MachineLimits {
  memoryMegabytes: number
  fileDescriptors: number
}

/** The limits of a server for clients outside the control of this process. */
export interface ClientLimits {
  /** The maximum number of open connections. */
  connections: number
  /** How long a connection may take for the head of its request; also how long it may wait before its first request. */
  headMilliseconds: number
  /** How long a request may take to arrive, from its first byte to its last one. */
  requestMilliseconds: number
  /** How long a connection is kept open between requests. */
  idleMilliseconds: number
  /** How long none of the bytes of a response may leave the process. */
  responseMilliseconds: number
  /** The maximum number of requests without a complete response on one connection. */
  pipelinedRequests: number
  headerBytes: number
  headerFields: number
}

/** The limits of all servers of a process. */
export interface ProcessClientLimits {
  /** The bytes that unfinished bodies, unread responses and open requests of all servers may hold. */
  budgetBytes: number
  caller: ClientLimits
  ready: ClientLimits
  peer: ClientLimits
}

/** The heap may take two thirds of the memory of the smallest machines, and the program itself a fifth. */
const BUDGET_SHARE = 0.08
/** The owner has up to 13 connections to each worker, so that clients get the smaller part of the descriptors. */
const CONNECTION_SHARE = 1 / 8
/** A balancer needs a few connections for its readiness checks. */
const READY_CONNECTION_SHARE = 1 / 32
const LEAST_CONNECTIONS = 8
/** A connection takes up to 20 KB with the parser and a head, beside the budget. */
const CONNECTIONS_PER_MEGABYTE = 2

const DEFAULT_LIMITS = {
  // Clients may be idle for 15 s, and those within the limits send a head within 3 s.
  headMilliseconds: 20_000,
  // Callers wait for about 3 s.
  requestMilliseconds: 20_000,
  // Opening a connection costs a caller a round trip.
  idleMilliseconds: 65_000,
  responseMilliseconds: 15_000,
  pipelinedRequests: 16,
  headerBytes: 16_384,
  headerFields: 256
}

/** The limits of the smallest machines, used where the settings name none. */
export const SMALLEST_MACHINE: MachineLimits = { memoryMegabytes: 250, fileDescriptors: 4100 }

/**
 * Derives the limits of the servers of a process from the machine.
 * @param machine The memory and the file descriptors of the machine.
 * @returns The limits.
 */
export function createClientLimits (machine: MachineLimits): ProcessClientLimits {
  const { memoryMegabytes, fileDescriptors } = machine
  const limit = (share: number): ClientLimits => {
    const connections = Math.floor(Math.min(fileDescriptors * share, memoryMegabytes * CONNECTIONS_PER_MEGABYTE))
    return { ...DEFAULT_LIMITS, connections: Math.max(LEAST_CONNECTIONS, connections) }
  }
  return {
    budgetBytes: Math.floor(memoryMegabytes * 1e6 * BUDGET_SHARE),
    caller: limit(CONNECTION_SHARE),
    ready: limit(READY_CONNECTION_SHARE),
    peer: limit(CONNECTION_SHARE)
  }
}
