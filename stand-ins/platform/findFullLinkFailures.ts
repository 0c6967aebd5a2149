import { FullLinkScenario, RESTART_MILLISECONDS, type LinkTraffic } from './FullLinkScenario.js'

const SEEDS = [2, 7]
const FILL_MILLISECONDS = [2000, 4000, 8000]

/**
 * Plays a full link with some seeds and durations.
 * @param traffic The traffic that fills the link.
 * @param report Called with the measures of each play.
 * @returns The invariants that were violated and the long-running tasks that were away for too long.
 */
export async function findFullLinkFailures (traffic: LinkTraffic, report: (text: string) => void): Promise<string[]> {
  const failures: string[] = []
  for (const seed of SEEDS) {
    for (const fillMilliseconds of FILL_MILLISECONDS) {
      const measures = await FullLinkScenario.create(traffic, seed).play(fillMilliseconds)
      const { violations, longestAwayMilliseconds } = measures
      const play = `seed ${seed}, ${fillMilliseconds} ms`
      report(`${play}: ${JSON.stringify({ ...measures, violations: violations.length })}`)
      failures.push(...violations.map(violation => `${play}: ${violation}`))
      if (longestAwayMilliseconds > RESTART_MILLISECONDS) {
        failures.push(`${play}: a long-running task was away for ${longestAwayMilliseconds} ms`)
      }
    }
  }
  return failures
}
