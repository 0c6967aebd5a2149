import type { ListedInstance } from '../../src/membership/InstanceList.js'
import type { WorkerDescription } from '../../src/placement/PlacementEngine.js'
import type { ResourceSize } from '../../src/workers/WorkerProtocol.js'

/** A data centre of a deployment. */
export interface DeploymentDataCentre {
  name: string
  region: string
}

/** The kinds of requests and tasks of a deployment, as its policy file names them. */
export interface DeploymentWork {
  /** The kind of urgent requests, which have a deadline. */
  urgentRequest: string
  /** The kind of requests that must not be retried once they may have run. */
  submission: string
  /** The kind and team of tasks that may wait and may be evicted. */
  batch: { kind: string, team: string }
  /** The kind and team of tasks that run for days. */
  standing: { kind: string, team: string }
}

/** The size and the workload of a deployment, as section 1.2 of the design page describes it. */
export interface Deployment {
  name: string
  title: string
  dataCentres: DeploymentDataCentre[]
  /** The region of the table service and the object store. */
  storeRegion: string
  oneWayLatencyMilliseconds: { withinRegion: number, betweenRegions: number, toCallers: number }
  /** The bandwidth of the link between two regions, in each direction. */
  linkBitsPerSecond: number
  service: string
  upstreams: { count: number, slots: number, connections: number }
  workers: { count: number, capacity: ResourceSize, perRack: number }
  entryInstances: number
  policyFile: string
  work: DeploymentWork
}

const LINK_BITS_PER_SECOND = 20_000_000

/** A permit office: limit checks, permit submissions and drafts of dossiers. */
export const thuanPhat: Deployment = {
  name: 'thuan-phat',
  title: 'Thuan Phat',
  dataCentres: [
    { name: 'south-a', region: 'south' },
    { name: 'south-b', region: 'south' },
    { name: 'north-a', region: 'north' }
  ],
  storeRegion: 'south',
  oneWayLatencyMilliseconds: { withinRegion: 0.5, betweenRegions: 12, toCallers: 3 },
  linkBitsPerSecond: LINK_BITS_PER_SECOND,
  service: 'permit-desk',
  upstreams: { count: 33, slots: 8, connections: 64 },
  workers: { count: 33, capacity: { processors: 16, memoryMegabytes: 60_000, accelerators: 0 }, perRack: 8 },
  entryInstances: 7,
  policyFile: 'examples/thuan-phat.policy',
  work: {
    urgentRequest: 'limit-check',
    submission: 'permit-submission',
    batch: { kind: 'dossier-draft', team: 'dossiers' },
    standing: { kind: 'discharge-watcher', team: 'monitoring' }
  }
}

/** A printing company: proofs, chart orders, print runs and colour matching. */
export const growthmark: Deployment = {
  name: 'growthmark',
  title: 'Growthmark',
  dataCentres: [
    { name: 'lahore-press', region: 'Punjab' },
    { name: 'faisalabad-press', region: 'Punjab' },
    { name: 'karachi-press', region: 'Sindh' }
  ],
  storeRegion: 'Punjab',
  oneWayLatencyMilliseconds: { withinRegion: 1.5, betweenRegions: 12, toCallers: 1 },
  linkBitsPerSecond: LINK_BITS_PER_SECOND,
  service: 'chart-orders',
  upstreams: { count: 45, slots: 8, connections: 64 },
  workers: { count: 45, capacity: { processors: 32, memoryMegabytes: 125_000, accelerators: 0 }, perRack: 11 },
  entryInstances: 8,
  policyFile: 'examples/growthmark.policy',
  work: {
    urgentRequest: 'proof',
    submission: 'chart-order',
    batch: { kind: 'print-run', team: 'press-room' },
    standing: { kind: 'colour-match', team: 'colour' }
  }
}

/** The deployments that the demo runs. */
export const deployments: Deployment[] = [thuanPhat, growthmark]

/**
 * Creates the descriptions of a deployment's workers, distributed evenly over its data centres.
 * @param deployment The deployment.
 * @returns The workers.
 */
export function createWorkers (deployment: Deployment): WorkerDescription[] {
  const { count, capacity, perRack } = deployment.workers
  return distribute(deployment, count).map(({ dataCentre, indexInDataCentre }) => ({
    workerId: `worker-${dataCentre.name}-${indexInDataCentre + 1}`,
    dataCentre: dataCentre.name,
    rack: `${dataCentre.name}-rack-${Math.floor(indexInDataCentre / perRack) + 1}`,
    capacity
  }))
}

/**
 * Creates the entries of a deployment's workers in the platform's instance list.
 * @param deployment The deployment.
 * @param address The address at which the stand-in for all workers listens.
 * @returns The entries.
 */
export function listWorkers (deployment: Deployment, address: string): ListedInstance[] {
  return createWorkers(deployment).map(({ workerId, dataCentre, rack, capacity }) => ({
    instanceId: workerId,
    role: 'worker',
    address,
    dataCentre,
    region: getRegion(deployment, dataCentre),
    rack,
    state: 'live',
    capacity
  }))
}

/**
 * Creates the entries of a deployment's upstreams in the platform's instance list.
 * @param deployment The deployment.
 * @param ports One port for each upstream.
 * @returns The entries.
 */
export function listUpstreams (deployment: Deployment, ports: number[]): ListedInstance[] {
  const { count, slots, connections } = deployment.upstreams
  return distribute(deployment, Math.min(count, ports.length)).map(({ dataCentre, indexInDataCentre }, index) => ({
    instanceId: `upstream-${dataCentre.name}-${indexInDataCentre + 1}`,
    role: 'upstream',
    address: `127.0.0.1:${ports[index]}`,
    dataCentre: dataCentre.name,
    region: dataCentre.region,
    rack: `${dataCentre.name}-rack-1`,
    state: 'live',
    service: deployment.service,
    slots,
    connections
  }))
}

function getRegion (deployment: Deployment, dataCentre: string): string {
  return deployment.dataCentres.find(({ name }) => name === dataCentre)!.region
}

function distribute (deployment: Deployment, count: number) {
  const { dataCentres } = deployment
  return Array.from({ length: count }, (_, index) => ({
    dataCentre: dataCentres[index % dataCentres.length],
    indexInDataCentre: Math.floor(index / dataCentres.length)
  }))
}
