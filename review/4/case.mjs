import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { pause } from '../lib/http.mjs'
import { jobId, runCase } from '../lib/site.mjs'

/** The largest job that the program accepts; with TROUBLE=0 the jobs that can never be done have the usual size. */
const WIDE_TASKS = 100_000
const USUAL_TASKS = 16
const JOB_INTERVAL_MS = 108
/** Each of these times begins 3 s in which one of 28 jobs, 4 in 100, can never be done. */
const WAVES_MS = [3000, 9000, 15_000, 21_000, 27_000]
const WATCH_MS = 75_000
const RESTART_MS = 1000
/** A process that ends by itself this often in the day is a fault, if that holds for two machines. */
const ENDS = 3
const MACHINES = 2
const runners = Array.from({ length: 10 }, () => ({}))

/** With `TROUBLE=0` the case is played without its disruption. */
const isTroubled = process.env.TROUBLE !== '0'

await runCase(dirname(fileURLToPath(import.meta.url)), {
  instances: [{}, {}, {}, {}], runners, restartMs: RESTART_MS
}, async site => {
  const waves = [...WAVES_MS]
  const begin = performance.now()
  const hasFault = () => site.instances.filter(({ ownEnds }) => ownEnds >= ENDS).length >= MACHINES
  for (let number = 1; performance.now() - begin < WATCH_MS && !hasFault(); number++) {
    const steps = [{ count: 2, cpu: 1000, memMb: 500, estimateMs: 800 }]
    if (performance.now() - begin > waves[0]) {
      waves.shift()
      // No runner has 64 processors.
      steps[0] = { ...steps[0], count: isTroubled ? WIDE_TASKS : USUAL_TASKS, cpu: 64_000 }
    }
    site.submit(jobId(number), { taskSpec: 'ms=800', steps })
    await pause(JOB_INTERVAL_MS)
  }
  const ends = site.instances.map(({ name, ownEnds }) => `${name} ${ownEnds}`).join(', ')
  if (hasFault()) site.log.violate(`Fault: processes ended by themselves: ${ends}`)
  else site.log.write(`processes ended by themselves: ${ends}`)
})
