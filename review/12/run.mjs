// A job whose step is one large gang that fits is handed in. See claim.txt.
import { findLostWork, hasTrouble, pause, runCase, sendTraffic, startLastingJobs } from '../lib3/play.mjs'

const GANG_TASKS = hasTrouble ? Number(process.env.TASKS ?? 50_000) : 20
const TRAFFIC_MS = 30_000

await runCase(import.meta.url, { instanceCount: 3, runnerCount: 12 }, async site => {
  await startLastingJobs(site)
  const step = { count: GANG_TASKS, cpu: 1, memMb: 1, estimateMs: 1000, gang: true }
  const isAccepted = await site.submit('d000000000000001', [step], { ms: 1000, cpu: 1, gang: GANG_TASKS })
  site.note('gang', { tasks: GANG_TASKS, isAccepted })
  await pause(1000)
  await sendTraffic(site, TRAFFIC_MS)
  return (await findLostWork(site, `a gang of ${GANG_TASKS} tasks`)).length > 0 ? 1 : 0
})
