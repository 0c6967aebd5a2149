import { deployments, type Deployment } from './deployments.js'
import { DeploymentProcesses } from './DeploymentProcesses.js'
import { operatorCommands } from './operatorCommands.js'
import { ProcessGroup } from './ProcessGroup.js'

/** Starts both deployments, or the one named on the command line, and keeps them running until SIGINT or SIGTERM. */
const DEFAULT_SEED = 1

const selectedDeployments = deployments.filter(({ name }) => process.argv[2] === undefined || process.argv[2] === name)
if (selectedDeployments.length === 0) {
  console.error(`Usage: npm start -- [NAME], where NAME is one of: ${deployments.map(({ name }) => name).join(', ')}`)
  process.exit(2)
}
const groups = selectedDeployments.map(() => ProcessGroup.create())
const started: DeploymentProcesses[] = []
const stopped = new Promise<void>(resolve => {
  process.once('SIGINT', resolve)
  process.once('SIGTERM', resolve)
})

try {
  for (const [index, deployment] of selectedDeployments.entries()) await start(deployment, groups[index])
  console.log('\nPress Ctrl-C to stop all processes.')
  await stopped
  console.log('Stopping all processes after the requests in flight have finished.')
  await Promise.all(started.flatMap((processes, index) =>
    processes.products.map(({ name }) => groups[index].stop(name))))
  await Promise.all(groups.map(group => group.stopAll()))
} catch (error) {
  console.error((error as Error).message)
  await Promise.all(groups.map(group => group.killAll()))
  process.exitCode = 1
}

async function start (deployment: Deployment, group: ProcessGroup): Promise<void> {
  const count = deployment.dataCentres.length
  const processes = await DeploymentProcesses.create({
    deployment, group, seed: Number(process.env.PAPAYAMOOR_TEST_SEED ?? DEFAULT_SEED), entries: count, schedulers: count
  })
  await processes.startStandIns()
  await processes.startProducts()
  started.push(processes)
  const { code, standardError } = await processes.runOperatorCommand(
    ...operatorCommands.applyPolicy(deployment.policyFile))
  if (code !== 0) throw new Error(`the policy was not accepted:\n${standardError}`)
  console.log(describeDeployment(deployment, processes).join('\n'))
}

function describeDeployment (deployment: Deployment, processes: DeploymentProcesses): string[] {
  const { standInUrls } = processes
  const { work: { urgentRequest, submission, batch }, service } = deployment
  const entry = processes.getProducts('entry')[0]
  const scheduler = processes.getProducts('scheduler')[0]
  const job = {
    ...batch,
    key: 'first',
    count: 3,
    size: { processors: 2, memoryMegabytes: 2000, accelerators: 0 },
    dataCentre: null,
    payload: { runMilliseconds: 20_000 }
  }
  const environment = Object.entries(processes.getOperatorEnvironment()).map(([name, value]) => `${name}=${value}`)
  const command = `${environment.join(' ')} node bin/papayamoor.js`
  return [
    '',
    `${deployment.title}`,
    ...processes.products.map(({ name, url }) => `  ${name.padEnd(30)} ${url}`),
    ...Object.entries(standInUrls).map(([name, url]) => `  ${`stand-in: ${name}`.padEnd(30)} ${url}`),
    '  Send an urgent request, a request that is never repeated, and a job; read a task and the runs of the workers:',
    `  curl -i -H 'papayamoor-kind: ${urgentRequest}' ${entry.url}/services/${service}/checks/1`,
    `  curl -i -X POST -H 'papayamoor-kind: ${submission}' -H 'idempotency-key: 1' -d '{}' ${entry.url}/services/${service}/submissions/1`,
    `  curl -i -H 'content-type: application/json' -d '${JSON.stringify(job)}' ${scheduler.url}/jobs`,
    `  curl ${scheduler.url}/tasks/TASK`,
    `  curl ${standInUrls.workers}/runs`,
    '  Run operator commands:',
    `  ${command} --help`,
    `  ${command} ${quote(operatorCommands.takeOut(deployment.dataCentres[1].name))}`,
    `  ${command} ${quote(operatorCommands.bringBack(deployment.dataCentres[1].name))}`
  ]
}

function quote (commandLine: string[]): string {
  return commandLine.map(word => /\s/.test(word) ? `'${word}'` : word).join(' ')
}
