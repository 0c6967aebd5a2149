import assert from 'node:assert/strict'
import { test } from 'node:test'
import { getTestSeed } from '../../src/shared/testSeed.js'
import { assertRunInvariants } from './assertRunInvariants.js'
import { SmallDeployment } from './SmallDeployment.js'

const seed = getTestSeed()
const DATA_CENTRE = 'south-a'
/** A lease of 6 s with its allowance for clock drift, 2 s for the takeover, and 4 s for a busy machine. */
const TAKEOVER_MILLISECONDS = 12_600

// Guards against a takeover that stops running tasks, starts them twice or ignores the submissions in the inbox.
test('after a scheduler is killed, running tasks continue and queued tasks start once its shard is taken over', async () => {
  await SmallDeployment.runTest({ entries: 0, schedulers: 2, seed }, async deployment => {
    const owner = await deployment.waitForOwner(DATA_CENTRE)
    const long = await deployment.submit({ key: 'long', count: 6, runMilliseconds: 9000, dataCentre: DATA_CENTRE })
    await deployment.waitForRuns('the starts', runs => runs.length === long.length ? true : undefined)
    await deployment.group.kill(owner.name)
    const killedAt = Date.now()
    const late = await deployment.submit({ key: 'late', count: 6, dataCentre: DATA_CENTRE })
    const firstStart = await deployment.waitForRuns('a start after the takeover', runs =>
      runs.find(run => late.includes(run.taskId))?.startedAt)
    await deployment.waitUntilFinished([...long, ...late])
    await assertRunInvariants(deployment)
    const { runs } = await deployment.processes.readRuns()
    assert.equal(runs.length, long.length + late.length, 'no task was restarted')
    assert.ok(firstStart - killedAt <= TAKEOVER_MILLISECONDS, `first start after ${firstStart - killedAt} ms`)
  })
})
