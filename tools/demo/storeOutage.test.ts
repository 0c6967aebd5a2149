import assert from 'node:assert/strict'
import { test } from 'node:test'
import { getTestSeed } from '../../src/shared/testSeed.js'
import { assertRunInvariants } from './assertRunInvariants.js'
import { SmallDeployment } from './SmallDeployment.js'

const seed = getTestSeed()
const DATA_CENTRE = 'south-a'

// During a store outage, running tasks must continue, no task may start, and no submission may be reported as accepted.
test('tasks and requests survive an outage of the table service that outlasts the lease', async () => {
  await SmallDeployment.runTest({ entries: 1, schedulers: 2, seed }, async deployment => {
    const { processes, callers, submitter } = deployment
    await deployment.waitForOwner(DATA_CENTRE)
    const long = await deployment.submit({ key: 'long', count: 6, runMilliseconds: 14_000, dataCentre: DATA_CENTRE })
    await deployment.waitForRuns('the starts', runs => runs.length === long.length ? true : undefined)
    await processes.setTableFaults({ down: true })
    const downAt = Date.now()
    const load = callers.sendEvenly(() => ({ method: 'GET', kind: 'limit-check', deadlineMilliseconds: 3000 }), 20, 9000)
    const during = await submitter.submit({
      team: 'dossiers', kind: 'dossier-draft', key: 'during', count: 1, processors: 1, runMilliseconds: 100
    }, 3000)
    await load
    const upAt = Date.now()
    await processes.setTableFaults({ down: false })
    const late = await deployment.submit({ key: 'late', count: 4, dataCentre: DATA_CENTRE })
    await deployment.waitUntilFinished([...long, ...late])
    await callers.waitForOutcomes()
    assert.notEqual(during.kind, 'accepted')
    const { runs } = await processes.readRuns()
    assert.equal(runs.filter(run => run.startedAt > downAt + 1000 && run.startedAt < upAt).length, 0)
    assert.deepEqual(runs.filter(run => long.includes(run.taskId)).map(run => run.ending), long.map(() => 'completed'))
    assert.equal(callers.tally.answered, callers.tally.requests, callers.faults.join('\n'))
    await assertRunInvariants(deployment)
  })
})
