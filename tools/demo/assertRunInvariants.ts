import assert from 'node:assert/strict'
import type { SmallDeployment } from './SmallDeployment.js'

/**
 * Asserts that the workers recorded no concurrent runs of a task, no repeated completion, no start beyond a worker's
 * capacity and no run of a task that was not accepted.
 * @param deployment The deployment, after all work has ended.
 */
export async function assertRunInvariants ({ processes, submitter }: SmallDeployment): Promise<void> {
  const report = await processes.readRuns()
  const { doubleRuns, repeatedCompletions, overCommitments } = report
  const runsNotAccepted = submitter.countRunsNotAccepted(report)
  assert.deepEqual(
    { doubleRuns, repeatedCompletions, overCommitments, runsNotAccepted },
    { doubleRuns: 0, repeatedCompletions: 0, overCommitments: 0, runsNotAccepted: 0 })
}
