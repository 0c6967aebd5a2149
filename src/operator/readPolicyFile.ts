import { readFileSync } from 'node:fs'
import type { ListedInstance } from '../membership/InstanceList.js'
import type { PolicyCheckOptions } from '../policy/checkRules.js'
import type { CompiledPolicy } from '../policy/CompiledPolicy.js'
import { parsePolicyBytes } from '../policy/parsePolicy.js'
import { formatPolicyFault, type PolicyFault } from '../policy/PolicyFault.js'
import { failed, ok, type Outcome } from '../shared/Outcome.js'
import type { ResourceSize } from '../workers/WorkerProtocol.js'
import type { OperatorFailure } from './OperatorFailure.js'

/** What the flags and the instance list tell of the deployment. */
export interface DeploymentOptions {
  kinds?: string
  workers?: string[]
  instances: ListedInstance[] | null
}

/** A failure of the checker carries the faults, for `--json`. */
export interface PolicyFileFailure extends OperatorFailure {
  faults?: PolicyFault[]
}

const WORKER_CAPACITY_PATTERN = /^(?:(\d{1,6})x)?(\d+(?:\.\d+)?),(\d+(?:\.\d+)?),(\d+)$/
const MEGABYTES_PER_GIGABYTE = 1024

/**
 * Reads and checks a policy file.
 * @param file The path.
 * @param deployment What is known of the deployment.
 * @returns The text and the policy, or every fault in one message.
 */
export function readPolicyFile (
  file: string,
  deployment: DeploymentOptions
): Outcome<{ text: string, policy: CompiledPolicy }, PolicyFileFailure> {
  const options = createCheckOptions(deployment)
  if (options.kind === 'failed') return options
  let bytes: Buffer
  try {
    bytes = readFileSync(file)
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException
    return failed({ code: 'usage', message: `${file} cannot be read: ${code}`, next: 'check the path of the policy file' })
  }
  const parsed = parsePolicyBytes(bytes, options.value)
  if (parsed.kind === 'ok') return parsed
  const lines = parsed.failure.map(fault => formatPolicyFault(fault, file))
  const count = lines.length === 1 ? '1 fault' : `${lines.length} faults`
  return failed({
    code: 'policyFaults',
    message: [`the policy has ${count}`, ...lines].join('\n'),
    next: 'correct these lines; docs/policy.md explains each rule',
    faults: parsed.failure
  })
}

function createCheckOptions (deployment: DeploymentOptions): Outcome<PolicyCheckOptions, OperatorFailure> {
  const options: PolicyCheckOptions = {}
  if (deployment.kinds !== undefined) options.knownKinds = deployment.kinds.split(',').map(kind => kind.trim())
  const listed = deployment.instances?.flatMap(({ role, capacity }) => role === 'worker' && capacity ? [capacity] : []) ?? []
  const declared: ResourceSize[] = []
  for (const text of deployment.workers ?? []) {
    const match = WORKER_CAPACITY_PATTERN.exec(text)
    if (match === null) {
      const next = 'write for example --worker 33x16,60,0 for 33 workers of 16 processors, 60 GB and no accelerators'
      return failed({ code: 'usage', message: `--worker ${JSON.stringify(text)} is not accepted`, next })
    }
    const [, count = '1', processors, gigabytes, accelerators] = match
    const memoryMegabytes = Number(gigabytes) * MEGABYTES_PER_GIGABYTE
    const capacity = { processors: Number(processors), memoryMegabytes, accelerators: Number(accelerators) }
    for (let number = 0; number < Number(count); number++) declared.push(capacity)
  }
  const workerCapacities = declared.length > 0 ? declared : listed
  if (workerCapacities.length > 0) options.workerCapacities = workerCapacities
  return ok(options)
}
