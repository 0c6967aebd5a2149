import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLeaseLoop } from '../../stand-ins/platform/createLeaseLoop.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type HoldRequest, type WorkerClient } from '../dispatch/index.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const STARTED_AT = 1000.25
const WORKER_CLOCK_OFFSET_MILLISECONDS = 50_000
const LEASE_MILLISECONDS = 6000

interface Renewal {
  deadline: number
  /** How long after the call the deadline is, on the clock of the worker. */
  milliseconds: number
}

/** Plays the first second of an owner whose predecessors' leases end at the given monotonic time. */
async function play (earlierLeasesEndAt: number): Promise<Renewal[]> {
  const clock = VirtualClock.create(STARTED_AT)
  const engine = DispatchEngine.create({ epoch: 2 })
  const worker = engine.setWorker(createWorkerEntry())
  engine.unreconciled.add(worker.entry.workerId, earlierLeasesEndAt)
  const renewals: Renewal[] = []
  const getWorkerTime = () => Math.floor(clock.monotonicMilliseconds()) + WORKER_CLOCK_OFFSET_MILLISECONDS
  const client = {
    hold: async ({ leaseDeadline }: HoldRequest) => {
      if (leaseDeadline !== null) {
        renewals.push({ deadline: leaseDeadline, milliseconds: leaseDeadline - getWorkerTime() })
      }
      await new Promise<void>(resolve => { clock.setTimer(2, resolve) })
      return {
        kind: 'reported',
        report: { workerMilliseconds: getWorkerTime(), bornAtMilliseconds: 1, running: [], ended: [] }
      }
    }
  } as unknown as WorkerClient
  const loop = createLeaseLoop({ worker, engine, client, clock })
  loop.run()
  await clock.advance(1000)
  loop.stop()
  assert.ok(renewals.length > 1, 'no lease was granted')
  return renewals
}

test('renewals of a new owner have whole deadlines although the leases of its predecessor end at a fraction', async () => {
  const fractional = (await play(STARTED_AT + 6300.5)).filter(({ deadline }) => !Number.isInteger(deadline))
  assert.deepEqual(fractional, [], 'workers take whole milliseconds only')
})

test('a new owner grants no longer leases than its successor expects, although those of its predecessor may last longer', async () => {
  const tooLong = (await play(STARTED_AT + 10_000)).filter(({ milliseconds }) => milliseconds > LEASE_MILLISECONDS)
  assert.deepEqual(tooLong, [], 'such a renewal, executed late, keeps runs after the time that a successor waits for')
})
