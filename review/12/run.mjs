// One process of the system is killed while large jobs wait. See claim.txt.
import { findLostWork, hasTrouble, pause, runCase, sendTraffic, startLastingJobs } from '../lib3/play.mjs'

// 3.56 jobs a second x 2.6 for 4 s.
const LARGE_JOBS = Number(process.env.JOBS ?? 37)
const BURST_MS = 4000
const STEPS = 2500
const TRAFFIC_AFTER_MS = 30_000

await runCase(import.meta.url, { instanceCount: 3, runnerCount: 6 }, async site => {
  await startLastingJobs(site)
  const sent = []
  for (let number = 0; number < LARGE_JOBS; number++) {
    const id = `d${number.toString(16).padStart(15, '0')}`
    sent.push(site.submit(id, createSteps(number), { ms: 1000, cpu: 500 }))
    await pause(BURST_MS / LARGE_JOBS)
  }
  const acceptedCount = (await Promise.all(sent)).filter(Boolean).length
  site.note('large-jobs', { acceptedCount, bytesOfOne: JSON.stringify({ taskSpec: '', steps: createSteps(0) }).length })
  await pause(4000)
  site.note('memory-MB', Object.fromEntries(site.instances.map(instance => [instance.name, site.getMemoryMegabytes(instance)])))
  if (hasTrouble) site.kill(site.getOwner())
  await sendTraffic(site, TRAFFIC_AFTER_MS)
  return (await findLostWork(site)).length > 0 ? 1 : 0
})

// A task for each piece of data: where it lies and how much it needs differ.
function createSteps (number) {
  return Array.from({ length: STEPS }, (_, index) => ({
    count: 1, cpu: 400 + (index * 7 + number) % 200, memMb: 256, estimateMs: 900 + (index * 13 + number) % 200, affinity: `r1-${1 + index % 2}`
  }))
}
