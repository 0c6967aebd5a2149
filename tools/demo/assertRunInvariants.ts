import assert from 'node:assert/strict'
import type { SmallDeployment } from './SmallDeployment.js'

/**
 * Checks what the workers counted: no double run, no second completion, no overload, nothing that was refused.
 * @param deployment The deployment after the work is done.
 */
export async function assertRunInvariants ({ processes, submitter }: SmallDeployment): Promise<void> {
  const report = await processes.readRuns()
  const { doubleRuns, repeatedCompletions, overCommitments } = report
  const runsNotAccepted = submitter.countRunsNotAccepted(report)
  assert.deepEqual(
    { doubleRuns, repeatedCompletions, overCommitments, runsNotAccepted },
    { doubleRuns: 0, repeatedCompletions: 0, overCommitments: 0, runsNotAccepted: 0 })
}
