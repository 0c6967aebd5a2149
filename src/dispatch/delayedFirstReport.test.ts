import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type WorkerReport } from './index.js'

/** The worker's clock shows the monotonic time of the owner. */
for (const delayMilliseconds of [0, 500, 4800]) {
  test(`a lease of an earlier owner lasts as long with a first report that is ${delayMilliseconds} ms late`, () => {
    const engine = DispatchEngine.create({ epoch: 2 })
    const leaseEndsAt = 7000
    engine.unreached.restore({ 'worker-0': leaseEndsAt })
    const worker = engine.setWorker(createWorkerEntry())
    const spare = engine.setWorker(createWorkerEntry({ workerId: 'worker-1' }))
    worker.registered = true
    spare.registered = true
    engine.unreconciled.add('worker-0', leaseEndsAt)
    engine.jobs.add({ submission: createSubmission([{}]), progress: [], recovered: true }, 0)
    const [jobRecord] = [...engine.jobs.getJobs()]
    const taskName = `${jobRecord.submission.jobId}.0.0.0`
    const getReport = (at: number): WorkerReport => ({
      workerMilliseconds: at,
      bornAtMilliseconds: 1,
      running: [{ taskName, attempt: 1, checkpoint: '', percent: 50, usageFigure: 0 }],
      ended: []
    })
    const empty = (at: number): WorkerReport => ({ ...getReport(at), running: [] })
    const arrivesAt = 1000 + delayMilliseconds
    engine.applyReport(worker, getReport(1000), 995, arrivesAt)
    if (delayMilliseconds > 0) engine.markUnreachable(worker, null)
    // The lease of a recorded worker is not renewed, so the next reports grant nothing.
    engine.applyReport(worker, getReport(arrivesAt + 100), arrivesAt + 95, arrivesAt + 100)
    assert.equal(worker.runs.size, 1)
    engine.applyReport(spare, empty(arrivesAt), arrivesAt - 1, arrivesAt + 100)
    const sentAt = arrivesAt + 400
    engine.markUnreachable(worker, sentAt, -Infinity)
    const now = sentAt + 300
    engine.plan(now, now, true)
    const starts = engine.takeOrders().filter(({ kind }) => kind === 'start')
    assert.ok(now < leaseEndsAt)
    assert.equal(starts.length, 0, `started elsewhere at ${now}, ${leaseEndsAt - now} ms before the end of the lease`)
  })
}
