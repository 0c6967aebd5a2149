import { DispatchEngine, type WorkerEntry } from '../../../src/dispatch/index.js'
import type { SiteConfiguration } from '../../../src/instance/SiteConfiguration.js'
import { SiteUpdater } from '../../../src/instance/SiteUpdater.js'
import { createWorkerEntry } from '../../../stand-ins/platform/createWorkerEntry.js'
import type { Figure } from '../Figure.js'

const WORKER_COUNT = 350
const HEARTBEATS = 300

/**
 * Measures what the heartbeats of workers cost the owner of a site. The naive alternative applies all workers and
 * queues at each heartbeat.
 * @param configuration The configuration.
 * @returns The figures.
 */
export function measureSiteUpdates (configuration: SiteConfiguration): Figure[] {
  const workers = new Map<string, WorkerEntry>()
  for (let index = 0; index < WORKER_COUNT; index++) {
    workers.set(`worker-${index}`, createWorkerEntry({ workerId: `worker-${index}` }))
  }
  const dataCentresOut: ReadonlySet<string> = new Set()
  const site = {
    getConfiguration: () => configuration, getDataCentresOut: () => dataCentresOut, getWorkers: () => workers
  }
  const engine = DispatchEngine.create({ epoch: 1 })
  const updater = SiteUpdater.create({ site, engine, follow: () => {} })
  updater.update('all')
  const measure = (applyChange: (workerId: string) => void): number => {
    const startedAt = performance.now()
    for (let index = 0; index < HEARTBEATS; index++) applyChange(`worker-${index % WORKER_COUNT}`)
    return (performance.now() - startedAt) / HEARTBEATS * 1000
  }
  const applyWhole = () => {
    engine.setQueueServices(new Map(configuration.queues.map(queue => [queue.name, queue.serviceName])))
    engine.setDataCentresOut(new Set(dataCentresOut))
    for (const entry of workers.values()) engine.setWorker(entry)
    for (const workerId of engine.workers.keys()) if (!workers.has(workerId)) engine.markRemoved(workerId)
  }
  const naive = measure(applyWhole)
  const create = (figure: string, value: number): Figure => ({
    figure: `${figure}, ${configuration.queues.length} routes, ${WORKER_COUNT} workers`,
    value: Number(value.toFixed(3)),
    unit: 'us',
    naive: Number(naive.toFixed(3)),
    target: 'no target'
  })
  return [
    create('heartbeat without a change', measure(() => { updater.update([]) })),
    create('heartbeat with a changed entry', measure(workerId => { updater.update([workerId]) }))
  ]
}
