import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine } from '../dispatch/index.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { RecoveryMonitor } from './RecoveryMonitor.js'

test('names the worker that delays tasks of an earlier owner and the long-running task that waits', async () => {
  const clock = VirtualClock.create()
  const engine = DispatchEngine.create({ epoch: 2 })
  const submission = createSubmission([{ longRunning: true }])
  engine.jobs.add({ submission, progress: [], recovered: true }, clock.monotonicMilliseconds())
  engine.jobs.createDueOccurrences(engine.jobs.getJob('job')!, 0, clock.monotonicMilliseconds())
  const worker = engine.setWorker(createWorkerEntry())
  engine.unreconciled.add('worker-0', clock.monotonicMilliseconds() + 6300)
  const lines: string[] = []
  const logger = { ...silentLogger, info: (message: string, fields = {}) => lines.push(`${message} ${JSON.stringify(fields)}`) }
  const monitor = RecoveryMonitor.create({ engine, clock, logger })
  const checkFor = async (milliseconds: number) => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 200) {
      monitor.check()
      await clock.advance(200)
    }
  }
  await checkFor(4000)
  engine.confirmWorkerExited(worker, clock.monotonicMilliseconds())
  await checkFor(2000)
  assert.deepEqual(lines, [
    'waiting for workers of earlier owners ' +
      '{"workerCount":1,"workers":["worker-0"],"leasesEndInMilliseconds":6300,"recoveredJobs":1}',
    'long-running task waits ' +
      '{"task":"job.0.0.0","reason":"unreconciled-worker","waitMilliseconds":3000,"nextAttempt":1001,' +
      '"workersInService":0,"workersWithRoom":0,"workersPaused":0,"workersUnsteady":0,"reservedWorker":null}',
    'all workers reconciled {"afterMilliseconds":4000}',
    'long-running task waits ' +
      '{"task":"job.0.0.0","reason":"no-eligible-worker","waitMilliseconds":4000,"nextAttempt":1001,' +
      '"workersInService":0,"workersWithRoom":0,"workersPaused":0,"workersUnsteady":0,"reservedWorker":null}'
  ])
})
