import assert from 'node:assert/strict'
import { setTimeout as delay } from 'node:timers/promises'
import { test } from 'node:test'
import { getTestSeed } from '../../src/shared/testSeed.js'
import { assertRunInvariants } from './assertRunInvariants.js'
import { countStartsAfterTakeOut } from './DemoSummary.js'
import { operatorCommands } from './operatorCommands.js'
import { SmallDeployment } from './SmallDeployment.js'

const seed = getTestSeed()
const DATA_CENTRE = 'south-a'

// Guards against starts that are journalled after the configuration change, and against queued tasks that are not
// moved to other data centres.
test('no task starts in a data centre five seconds after it was taken out of service under load', async () => {
  await SmallDeployment.runTest({ entries: 0, schedulers: 2, seed }, async deployment => {
    const { processes } = deployment
    // All tasks of a job are first queued in the same shard, so a wave over all data centres takes several jobs.
    const wave: string[] = []
    for (let job = 0; job < 12; job++) {
      wave.push(...await deployment.submit({ key: `wave-${job}`, count: 10, processors: 4, runMilliseconds: 1500 }))
    }
    await deployment.waitForRuns('starts', runs =>
      runs.some(run => run.dataCentre === DATA_CENTRE) && runs.length > 10 ? true : undefined)
    await deployment.runOperatorCommand(operatorCommands.takeOut(DATA_CENTRE))
    const acceptedAt = Date.now()
    await delay(8000)
    const broughtBackAt = Date.now()
    const out = { dataCentre: DATA_CENTRE, acceptedAt, broughtBackAt }
    const { runs } = await processes.readRuns()
    assert.equal(countStartsAfterTakeOut(runs, out), 0)
    assert.deepEqual(runs.filter(run => run.dataCentre === DATA_CENTRE && run.endedAt === null), [], 'no task runs there')
    await deployment.runOperatorCommand(operatorCommands.bringBack(DATA_CENTRE))
    await deployment.waitForRuns('a start after the return', runs =>
      runs.find(run => run.dataCentre === DATA_CENTRE && run.startedAt > broughtBackAt))
    await deployment.waitUntilFinished(wave, 60_000)
    await assertRunInvariants(deployment)
  })
})
