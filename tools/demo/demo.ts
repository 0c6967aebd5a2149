import { deployments } from './deployments.js'
import { DeploymentScenario } from './DeploymentScenario.js'
import { addSummaries, getViolations } from './DemoSummary.js'
import { ProcessGroup } from './ProcessGroup.js'

/** Runs both deployments with faults; the last line is one JSON object, and a broken promise gives exit code 1. */
const DEFAULT_SEED = 1

const startedAt = performance.now()
const seed = Number(process.env.PAPAYAMOOR_TEST_SEED ?? DEFAULT_SEED)
const groups: ProcessGroup[] = []
process.once('SIGINT', () => process.exit(130))
process.once('SIGTERM', () => process.exit(143))

try {
  printLine('demo', `seed ${seed}; Thuan Phat and Growthmark run at the same time, all on loopback`)
  const summaries = await Promise.all(deployments.map(async deployment => {
    const group = ProcessGroup.create()
    groups.push(group)
    const scenario = await DeploymentScenario.create({
      deployment, group, seed, log: line => printLine(deployment.title, line)
    })
    return await scenario.run()
  }))
  await Promise.all(groups.map(group => group.stopAll()))
  const summary = addSummaries(summaries)
  const broken = getViolations(summary)
  for (const promise of broken) printLine('broken promise', promise)
  printLine('demo', broken.length === 0 ? 'all promises were kept' : `${broken.length} promises were broken`)
  console.log(JSON.stringify(summary))
  process.exitCode = broken.length === 0 ? 0 : 1
} catch (error) {
  console.error((error as Error).message)
  await Promise.all(groups.map(group => group.killAll()))
  process.exitCode = 1
}

function printLine (who: string, line: string): void {
  console.log(`${((performance.now() - startedAt) / 1000).toFixed(1).padStart(5)} s  ${who}: ${line}`)
}
