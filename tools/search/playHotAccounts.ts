import { HotAccountPlay, type ServedJobs } from '../../stand-ins/accounts/index.js'

const FACTOR = 5
const LOADS = [0.6, 0.8, 0.95]

/**
 * Prints how jobs are served while one account sends five times its usual rate, and without that, by load.
 * @param seeds The seeds of the plays of each load.
 */
export async function playHotAccounts (seeds: readonly number[]): Promise<void> {
  for (const load of LOADS) {
    for (const factor of [1, FACTOR]) {
      const sums = { hotAccount: createSum(), otherAccounts: createSum() }
      for (const seed of seeds) {
        const figures = await HotAccountPlay.run({ seed, load, factor })
        add(sums.hotAccount, figures.hotAccount)
        add(sums.otherAccounts, figures.otherAccounts)
      }
      console.log(JSON.stringify({
        load, factor, hotAccount: getShares(sums.hotAccount), otherAccounts: getShares(sums.otherAccounts)
      }))
    }
  }
}

function createSum (): ServedJobs {
  return { submitted: 0, inTime: 0, useful: 0 }
}

function add (sum: ServedJobs, jobs: ServedJobs): void {
  sum.submitted += jobs.submitted
  sum.inTime += jobs.inTime
  sum.useful += jobs.useful
}

function getShares ({ submitted, inTime, useful }: ServedJobs): object {
  const round = (share: number) => Math.round(share * 1000) / 1000
  return { submitted, inTime: round(inTime / submitted), useful: round(useful / submitted) }
}
