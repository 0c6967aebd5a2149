// Orders are carried out late while a runner is cut off, crashes behind the cut and starts again under its id.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { pause, readBody } from '../lib2/http.mjs'
import { runCase } from '../lib2/site.mjs'

const STEP = { count: 6, cpu: 1000, memMb: 512, estimateMs: 800 }
const DURATION_MS = 800
const LATE_SHARE = 0.5
const LATE_FOR_MS = 5500
const CUT_FOR_MS = 5000
const RUNNERS = 6
const ROUNDS = 2
const ROUND_MS = 18_000

runCase(dirname(fileURLToPath(import.meta.url)), async (site, hasTrouble) => {
  const violations = []
  const running = new Map()
  const done = new Map()
  const noted = new Set()
  const restarted = new Map()
  await site.startPlatform({
    runners: Array.from({ length: RUNNERS }, (_, index) => ({
      id: `i-${index}a91c2`, zone: 'south-a', capacity: { cpu: 16_000, memMb: 64_000, gpu: 0 }, labels: ['a', 'r1-1']
    })),
    describe: () => ({ step: STEP, durationMs: DURATION_MS }),
    on: ({ kind, runner, task, attempt, how, hasLapsed }) => {
      if (kind === 'start') {
        site.record(`start ${task} #${attempt} at ${runner}`)
        if (running.has(task)) {
          violations.push(`TWICE: ${task} #${attempt} starts at ${runner} while it runs at ${running.get(task)}`)
          site.record(violations.at(-1))
        }
        if (done.has(task)) restarted.set(task, [...restarted.get(task) ?? [], `#${attempt} at ${runner}`])
        running.set(task, `${runner} #${attempt}`)
      }
      if (kind === 'end' || kind === 'gone') {
        site.record(`end ${task} #${attempt} at ${runner}: ${how ?? kind}`)
        if (running.get(task) === `${runner} #${attempt}`) running.delete(task)
        if (how === 'done' && !done.has(task)) done.set(task, `#${attempt} at ${runner}`)
      }
      if (kind === 'noted' && how === 'done' && !hasLapsed) noted.add(task)
    }
  })
  let isLate = false
  for (const runner of site.runners.runners) {
    const handle = runner.handle.bind(runner)
    runner.handle = async (request, response) => {
      if (runner.isCut) return
      if (!isLate || request.url === '/v1/hold' || Math.random() >= LATE_SHARE) return await handle(request, response)
      // The order gets no answer; whichever process of the runner is up later carries it out.
      const body = await readBody(request)
      const late = { url: request.url, headers: request.headers, async * [Symbol.asyncIterator] () { yield body } }
      const delayMs = 2000 + Math.random() * 10_000
      setTimeout(() => {
        if (!runner.isUp) return
        const { task, attempt } = JSON.parse(body.toString())
        const age = `${Math.round(delayMs)} ms after it was sent`
        site.record(`late ${request.url} ${task} #${attempt} at ${runner.id}, ${age}`)
        handle(late, { destroyed: true })
      }, delayMs)
    }
  }
  await site.startInstances(3)
  await site.waitUntilReady()
  await site.waitForOwner()
  await pause(1000)
  let count = 0
  const submitting = setInterval(() => {
    const id = `${(count % 16).toString(16)}ccc${String(count).padStart(12, '0')}`
    count++
    site.submit(id, { taskSpec: 'text', steps: [STEP] })
  }, 250)
  for (let round = 0; round < ROUNDS; round++) {
    const nextAt = performance.now() + ROUND_MS
    if (hasTrouble) {
      site.record('orders are carried out late from now on')
      isLate = true
      setTimeout(() => {
        isLate = false
        site.record('orders are no longer carried out late')
      }, LATE_FOR_MS)
      await pause(LATE_FOR_MS - 500)
      const runner = site.runners.runners[round % RUNNERS]
      site.record(`the runner ${runner.id} is cut off and crashes`)
      runner.isCut = true
      runner.crash()
      await pause(500)
      await runner.restart()
      site.record(`the runner ${runner.id} is up again under its id, still cut off`)
      await pause(CUT_FOR_MS - 500)
      runner.isCut = false
      site.record(`the runner ${runner.id} is no longer cut off`)
    }
    await pause(Math.max(0, nextAt - performance.now()))
  }
  clearInterval(submitting)
  await pause(3000)
  for (const [task, starts] of restarted) {
    if (!noted.has(task)) continue
    violations.push(`TWICE: ${task} had ended done (${done.get(task)}), that end was taken note of, and it was started ` +
      `again ${starts.join(', ')}`)
  }
  return violations
})
