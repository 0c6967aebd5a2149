import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { pause } from '../lib/http.mjs'
import { jobId, runCase } from '../lib/site.mjs'

/** Tasks of the large job; with TROUBLE=0 it is a job of the usual size. */
const WIDE_TASKS = 2400
const USUAL_TASKS = 24
const capacity = { cpu: 32_000, memMb: 128_000, gpu: 0 }
const runners = Array.from({ length: 12 }, (_, index) => ({ capacity, labels: ['a', `r1-${index % 3}`] }))

/** With `TROUBLE=0` the case is played without its disruption. */
const isTroubled = process.env.TROUBLE !== '0'

await runCase(dirname(fileURLToPath(import.meta.url)), {
  instances: [{}, {}, {}], runners
}, async site => {
  const step = { memMb: 10, estimateMs: 6000 }
  const count = isTroubled ? WIDE_TASKS : USUAL_TASKS
  const large = { taskSpec: 'ms=9000 saves', steps: [{ ...step, count, cpu: 100, checkpointing: true }] }
  if (!await site.submit(jobId(1), large)) return 'the large job was not accepted'
  await pause(25_000)
  const lasting = { taskSpec: 'lasts', steps: [{ ...step, count: 2, cpu: 1000, longRunning: true }] }
  const short = { taskSpec: 'ms=300', steps: [{ ...step, count: 2, cpu: 1000 }] }
  if (!await site.submit(jobId(2), lasting)) return 'the lasting job was not accepted'
  if (!await site.submit(jobId(3), short)) return 'the short job was not accepted'
  const acceptedAt = site.log.now
  const hasRun = id => site.log.runs.some(run => run.task.startsWith(id))
  // The rule allows 3 s without a run, and 4 s of calm before them.
  const isStarted = await site.waitFor('a run of the lasting job', () => hasRun(jobId(2)), 20_000)
  const used = site.log.runs.filter(run => run.to === null).length
  if (!isStarted) site.log.violate(`LOST: ${jobId(2)} has nothing running ${(site.log.now - acceptedAt).toFixed(1)} s after it was accepted; ${used} tasks run on 12 runners`)
  await pause(14_000)
  for (const number of [1, 2, 3]) await site.state(jobId(number))
})
