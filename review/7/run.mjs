// The owner is killed; before another one is there, more tasks end on each runner than one list of ends holds (500).
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { pause } from '../lib2/http.mjs'
import { runCase } from '../lib2/site.mjs'

const JOB = '5c0e7a21d94b36f8'
const STEP = { count: 2400, cpu: 20, memMb: 50, estimateMs: 10_000 }
/** The tasks work on until the event that they all wait for; only then do they end. */
const LONGEST_MS = 40_000
/** The runs that each runner has at least when the owner is killed. */
const RUNS = 780

runCase(dirname(fileURLToPath(import.meta.url)), async (site, hasTrouble) => {
  const violations = []
  /** The runs that have ended done, and the starts after such an end. */
  const done = new Map()
  const runs = new Map()
  const restarted = new Map()
  const noted = new Set()
  let durationMs = LONGEST_MS
  await site.startPlatform({
    runners: Array.from({ length: 2 }, (_, index) => ({
      id: `i-${index}a91c2`, zone: 'south-a', capacity: { cpu: 16_000, memMb: 64_000, gpu: 0 }, labels: ['a', 'r1-1']
    })),
    describe: () => ({ step: STEP, durationMs }),
    on: ({ kind, runner, task, attempt, how, hasLapsed }) => {
      if (kind === 'start') {
        site.record(`start ${task} #${attempt} at ${runner}`)
        if (done.has(task)) restarted.set(task, [...restarted.get(task) ?? [], `run ${attempt} at ${runner}`])
        if (runs.has(task)) violations.push(`TWICE: ${task} runs at ${runs.get(task)} and at ${runner}`)
        runs.set(task, runner)
      }
      if (kind === 'end' || kind === 'gone') {
        site.record(`end ${task} #${attempt} at ${runner}: ${how ?? kind}`)
        runs.delete(task)
        if (how === 'done' && !done.has(task)) done.set(task, `run ${attempt} at ${runner}`)
      }
      // An end counts as taken note of unless the lease of its runner has lapsed in between.
      if (kind === 'noted' && how === 'done' && !hasLapsed) noted.add(task)
    }
  })
  await site.startInstances(3)
  await site.waitUntilReady()
  await site.waitForOwner()
  await pause(1000)
  if (await site.submit(JOB, { taskSpec: 'text', steps: [STEP] }) !== true) throw new Error('the job was not accepted')
  const sizes = () => site.runners.runners.map(({ runs: present, ends }) => `${present.size} running ${ends.length} ends`).join(', ')
  const getRunners = () => site.runners.runners
  const limitAt = performance.now() + 25_000
  while (getRunners().some(({ runs: present }) => present.size < RUNS)) {
    if (performance.now() > limitAt) throw new Error('the tasks were not started in time')
    await pause(20)
  }
  site.record(`runners: ${sizes()}`)
  if (hasTrouble) {
    site.signal(await site.waitForOwner(), 'SIGKILL')
    await pause(100)
  }
  // Whatever starts from now on finds that the event has come, and takes half a second.
  durationMs = 500
  for (const runner of getRunners()) for (const run of [...runner.runs.values()]) runner.end(run, 'done')
  site.record(`the tasks end; runners: ${sizes()}`)
  const endAt = performance.now() + 45_000
  let state = null
  while (state !== 'completed' && performance.now() < endAt) {
    await pause(500)
    site.record(`runners: ${sizes()}`)
    state = await site.getState(JOB)
  }
  await pause(1000)
  site.record(`the job is told as ${state}`)
  for (const [task, starts] of restarted) {
    if (noted.has(task)) violations.push(`TWICE: ${task} had ended done (${done.get(task)}), that end was taken note of, and it was started again as ${starts.join(' and ')}`)
  }
  if (!hasTrouble && state !== 'completed') violations.push(`the job is told as ${state}`)
  return violations
})
