import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { StartOrder } from '../../src/dispatch/index.js'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { SimulatedProcess } from '../../tools/simulation/SimulatedProcess.js'
import { createRandom } from '../shared/createRandom.js'
import { MemoryTableService } from '../table-service/MemoryTableService.js'
import { EmulatedWorker } from './EmulatedWorker.js'
import { gateWorker } from './gateCalls.js'
import type { PathFault } from './PathFaults.js'
import { RunJudge } from './RunJudge.js'

const CAPACITY = { processorsMilli: 16_000, memoryMegabytes: 64_000, accelerators: 0 }
const TASK = {
  processorsMilli: 1000, memoryMegabytes: 1000, accelerators: 0, durationMilliseconds: 800, failureCount: 0
}
const ORDER: StartOrder = {
  taskName: 'job.0.0.0', attempt: 1, taskDescription: 'text', checkpoint: '', epoch: 1, leaseDeadline: 200_000
}

/** Creates a worker and its client in a process, between which there is a fault. */
function createGatedWorker (fault: PathFault | null) {
  const clock = VirtualClock.create()
  const random = createRandom(1)
  const judge = RunJudge.create()
  judge.recordSubmission('job')
  const worker = EmulatedWorker.create({
    workerId: 'worker-0', capacity: CAPACITY, clock, judge, random, getTask: () => TASK
  })
  const process = SimulatedProcess.create({
    clock,
    random,
    store: MemoryTableService.create(),
    workerClient: { exchange: () => new Promise(() => {}) }
  })
  return { clock, judge, client: gateWorker({ process, worker, getFault: () => fault }) }
}

for (const { fault, outcome, startCount } of [
  { fault: null, outcome: 'accepted', startCount: 1 },
  { fault: 'silent', outcome: 'unknown', startCount: 0 },
  { fault: 'connections-fail', outcome: 'not-sent', startCount: 0 },
  { fault: 'answers-lost', outcome: 'unknown', startCount: 1 }
] as const) {
  test(`a start on a path with the fault ${fault} ends as ${outcome}`, async () => {
    const { clock, judge, client } = createGatedWorker(fault)
    const started = client.start(ORDER)
    await clock.advance(400)
    assert.equal((await started).kind, outcome)
    assert.equal(judge.startCount, startCount)
  })

  test(`a hold on a path with the fault ${fault} has ${fault === null ? 'a' : 'no'} report`, async () => {
    const { clock, client } = createGatedWorker(fault)
    const held = client.hold({ epoch: 1, acknowledgedCompletion: 0, leaseDeadline: null, waitMilliseconds: 0 })
    await clock.advance(400)
    assert.equal((await held).kind, fault === null ? 'reported' : 'unknown')
  })
}
