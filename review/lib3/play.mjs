// What the scripts share: the start, the traffic around a disruption, and the check of the rule LOST at the end.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { pause, Site } from './site.mjs'

const START_MS = 20_000
const FINISH_MS = 14_000
const NOTHING_RUNS_MS = 3000
const LASTING_TASKS = 3
const LASTING_JOBS = ['f000000000000001', 'f000000000000002']

export { pause }
export const hasTrouble = process.env.TROUBLE !== '0'

// Opens a site, lets `play` use it, and exits with what it returns; with 2 where it could not run.
export async function runCase (url, options, play) {
  const site = await Site.open({ ...options, folder: dirname(fileURLToPath(url)) })
  const giveUp = reason => {
    site.note('could-not-run', { reason: String(reason?.stack ?? reason) })
    site.close().finally(() => process.exit(2))
  }
  process.once('SIGTERM', () => giveUp('out of time'))
  process.once('uncaughtException', giveUp)
  let exitCode = 2
  try {
    const isUp = await site.waitUntil(async () => {
      const ready = await Promise.all(site.instances.map(instance => site.isReady(instance)))
      return ready.every(Boolean) && site.getOwner() !== null
    }, START_MS)
    if (!isUp) throw new Error('the system did not start')
    exitCode = await play(site)
  } catch (error) {
    site.note('could-not-run', { error: String(error?.stack ?? error) })
    console.log(String(error?.stack ?? error))
  }
  await site.close()
  process.exit(exitCode)
}

export function createStep (count) {
  return { count, cpu: 1000, memMb: 256, estimateMs: 500 }
}

// Hands in jobs that last, and waits until all their tasks run.
export async function startLastingJobs (site) {
  for (const id of LASTING_JOBS) if (!await site.submitLasting(id, LASTING_TASKS)) throw new Error('a lasting job was refused')
  const areRunning = () => {
    const running = new Set(site.getRunning())
    return getLastingTasks().every(task => running.has(task))
  }
  if (!await site.waitUntil(areRunning, 10_000)) throw new Error('the lasting tasks did not start')
}

// Hands in a short job each second.
export async function sendTraffic (site, milliseconds) {
  const end = performance.now() + milliseconds
  const sent = []
  for (let number = 0; performance.now() < end; number++) {
    sent.push(site.submit(`e${number.toString(16).padStart(15, '0')}`, [createStep(2)], { ms: 500, cpu: 1000 }))
    await pause(1000)
  }
  await Promise.all(sent)
  site.note('traffic-ended')
}

// LOST: finish_s after the end of the traffic, each accepted job is asked for, and the runners are watched for 3 s.
export async function findLostWork (site, trouble) {
  await pause(FINISH_MS)
  const awayTasks = new Set(getLastingTasks())
  const hadRuns = new Set()
  let largestUse = 0
  const end = performance.now() + NOTHING_RUNS_MS
  const watching = (async () => {
    while (performance.now() < end) {
      for (const task of site.getRunning()) {
        awayTasks.delete(task)
        hadRuns.add(task.split('.', 1)[0])
      }
      largestUse = Math.max(largestUse, site.getUse())
      await pause(20)
    }
  })()
  const ids = [...site.accepted.keys()].filter(id => !LASTING_JOBS.includes(id))
  const states = await Promise.all(ids.map(async id => [id, await site.getState(id)]))
  await watching
  site.note('largest-share-of-capacity-in-use', { share: Math.round(largestUse * 1000) / 1000 })
  const faults = []
  for (const [id, state] of states) {
    site.note('state', { id, state })
    if (state === 'completed') continue
    if (!['pending', 'running'].includes(state)) faults.push(`job ${id} is answered with: ${state}`)
    else if (!hadRuns.has(id) && largestUse < 0.5) faults.push(`job ${id} is ${state}, and nothing of it ran for 3 s, with under half of the capacity in use`)
  }
  if (largestUse < 0.5) {
    for (const task of awayTasks) faults.push(`task ${task}, which lasts, did not run for 3 s, with under half of the capacity in use`)
  }
  for (const { name, ends } of site.instances) site.note('ends-by-itself', { name, ends })
  const endsByThemselves = site.instances.reduce((sum, { ends }) => sum + ends, 0)
  for (const fault of faults) site.note('rule-broken', { fault })
  site.note('result', { accepted: site.accepted.size, faults: faults.length, endsByThemselves })
  console.log(`${hasTrouble ? trouble : 'no disruption'}: ${site.accepted.size} jobs accepted, ` +
    `${faults.length} jobs or lasting tasks lost, processes ended by themselves ${endsByThemselves} times`)
  return faults
}

function getLastingTasks () {
  return LASTING_JOBS.flatMap(id => Array.from({ length: LASTING_TASKS }, (_, index) => `${id}.0.0.${index}`))
}
