import { deployments } from './deployments.js'
import { DeploymentScenario } from './DeploymentScenario.js'
import { addSummaries, getViolations } from './DemoSummary.js'
import { ProcessGroup } from './ProcessGroup.js'

/**
 * Runs both deployments with faults. The last line of output is a JSON object with the summary; the exit code is 1 if
 * a guarantee was violated.
 */
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
  const violations = getViolations(summary)
  for (const violation of violations) printLine('violated guarantee', violation)
  printLine('demo', violations.length === 0 ? 'no guarantee was violated' : `${violations.length} guarantees were violated`)
  console.log(JSON.stringify(summary))
  process.exitCode = violations.length === 0 ? 0 : 1
} catch (error) {
  console.error((error as Error).message)
  await Promise.all(groups.map(group => group.killAll()))
  process.exitCode = 1
}

function printLine (source: string, line: string): void {
  console.log(`${((performance.now() - startedAt) / 1000).toFixed(1).padStart(5)} s  ${source}: ${line}`)
}
