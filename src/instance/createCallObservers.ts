import { Counter, type Registry } from 'prom-client'
import type { HttpCallEndReason, HttpCallerObserver } from '../shared/HttpCaller.js'

/** The services that a process calls. */
export type CalledService = 'store' | 'peer' | 'worker'

/**
 * Creates a function that makes observers which count the calls and connections of a process.
 * @param registry Where the counters are registered, once.
 * @returns Makes the observer of the calls of one service.
 */
export function createCallObservers (registry: Registry): (service: CalledService) => HttpCallerObserver {
  const registers = [registry]
  const calls: Counter<'service' | 'end'> = new Counter({
    name: 'papayamoor_instance_calls_total',
    help: 'Calls by how they ended; those that expired while they waited were not sent.',
    labelNames: ['service', 'end'],
    registers
  })
  const connections: Counter<'service'> = new Counter({
    name: 'papayamoor_instance_connections_opened_total',
    help: 'Connections that were opened.',
    labelNames: ['service'],
    registers
  })
  return service => ({
    connectionOpened: () => connections.inc({ service }),
    connectionClosed: () => {},
    callEnded: (_address: string, end: HttpCallEndReason) => calls.inc({ service, end })
  })
}
