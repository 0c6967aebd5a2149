import { Worker } from 'node:worker_threads'
import { LOSS_KINDS, type LossFigures, type LossPlayOptions } from '../../stand-ins/search/index.js'

/** The figures of a play. */
export interface CurvePoint extends LossPlayOptions {
  figures: LossFigures
}

const SHARE_COUNT = 10
const COLUMNS: ReadonlyArray<{ title: string, format: (figures: LossFigures) => string }> = [
  { title: 'jobs lost', format: ({ lostJobs }) => formatNumber(lostJobs) },
  { title: 'tasks lost', format: ({ lostTasks }) => formatNumber(lostTasks) },
  { title: 'at work', format: ({ atWorkShare }) => atWorkShare.toFixed(3) },
  { title: 'done / sent', format: ({ doneJobs, sentJobs }) => `${formatNumber(doneJobs)} / ${formatNumber(sentJobs)}` },
  { title: 'executed starts', format: ({ executedStarts }) => formatNumber(executedStarts) },
  { title: 'start calls', format: ({ startCalls }) => formatNumber(startCalls) },
  { title: 'stop calls', format: ({ stopCalls }) => formatNumber(stopCalls) },
  { title: 'hold calls', format: ({ holdCalls }) => formatNumber(holdCalls) },
  { title: 'store calls', format: ({ storeCalls }) => formatNumber(storeCalls) },
  { title: 'store writes', format: ({ storeWrites }) => formatNumber(storeWrites) },
  { title: 'runs lapsed', format: ({ lapsedRuns }) => formatNumber(lapsedRuns) },
  { title: 'leases lapsed', format: ({ lapsedLeases }) => formatNumber(lapsedLeases) },
  { title: 'violations', format: ({ violations }) => formatNumber(violations) }
]

function formatNumber (value: number): string {
  return String(Math.round(value * 10) / 10)
}

/** Returns the means of the figures of several plays. */
function getMeans (figures: readonly LossFigures[]): LossFigures {
  const names = Object.keys(figures[0]) as Array<keyof LossFigures>
  const getMean = (name: keyof LossFigures) =>
    figures.reduce((total, figure) => total + figure[name], 0) / figures.length
  return Object.fromEntries(names.map(name => [name, getMean(name)])) as unknown as LossFigures
}

function printTable (points: readonly CurvePoint[]): void {
  console.log(`| fault | share | ${COLUMNS.map(({ title }) => title).join(' | ')} |`)
  console.log(`| --- | ---: |${COLUMNS.map(() => ' ---: |').join('')}`)
  for (const kind of LOSS_KINDS) {
    for (let index = 0; index < SHARE_COUNT; index++) {
      const share = index / SHARE_COUNT
      const found = points.filter(point => point.kind === kind && point.share === share)
      if (found.length === 0) continue
      const means = getMeans(found.map(({ figures }) => figures))
      console.log(`| ${kind} | ${share} | ${COLUMNS.map(({ format }) => format(means)).join(' | ')} |`)
    }
  }
}

/** Creates the plays of a curve; those without any fault are played once. */
function createPlays (seeds: readonly number[]): LossPlayOptions[] {
  return seeds.flatMap(seed => Array.from({ length: SHARE_COUNT }, (_, index) => index / SHARE_COUNT).flatMap(share =>
    (share === 0 ? LOSS_KINDS.slice(0, 1) : LOSS_KINDS).map(kind => ({ seed, kind, share }))))
}

/**
 * Plays one site with each share of lost responses, and prints the figures of each play as a line of JSON and the means
 * as a table.
 * @param seeds The seeds of the plays.
 * @param parallel The number of threads.
 */
export async function playCurve (seeds: readonly number[], parallel: number): Promise<void> {
  const plays = createPlays(seeds)
  const points: CurvePoint[] = []
  await Promise.all(Array.from({ length: parallel }, (_, index) => new Promise<void>((resolve, reject) => {
    const batch = plays.filter((_, position) => position % parallel === index)
    const worker = new Worker(new URL('./curveThread.js', import.meta.url), { workerData: batch })
    worker.on('message', (point: CurvePoint) => {
      points.push(point)
      console.log(JSON.stringify(point))
    })
    worker.on('error', reject)
    worker.on('exit', () => resolve())
  })))
  printTable(points)
}
