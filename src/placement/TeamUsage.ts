import { Interner } from './Interner.js'
import { DIMENSIONS, type ResourceVector } from './resourceVector.js'

const ZERO: ResourceVector = [0, 0, 0]

/** What each team uses of the holding that its shard has in escrow. */
export class TeamUsage {
  readonly names = Interner.create()
  private readonly holdings: ResourceVector[] = []
  private readonly used: number[] = []

  private constructor () {}

  /**
   * Creates a record without holdings; a team without a holding may use nothing.
   * @returns The record.
   */
  static create (): TeamUsage {
    return new TeamUsage()
  }

  setHolding (team: number, holding: ResourceVector): void {
    this.holdings[team] = holding
  }

  /**
   * Tells whether a team may use more.
   * @param team The team.
   * @param charge What it would use in addition.
   * @returns Whether its holding covers that.
   */
  canCharge (team: number, charge: ResourceVector): boolean {
    const holding = this.holdings[team] ?? ZERO
    for (let dimension = 0; dimension < DIMENSIONS; dimension++) {
      if (charge[dimension] > 0 && this.getUsed(team, dimension) + charge[dimension] > holding[dimension]) return false
    }
    return true
  }

  /**
   * Changes what a team uses.
   * @param team The team.
   * @param charges An array that holds the charge.
   * @param offset Where in the array the charge begins.
   * @param sign 1 to add, -1 to subtract.
   */
  change (team: number, charges: ArrayLike<number>, offset: number, sign: 1 | -1): void {
    for (let dimension = 0; dimension < DIMENSIONS; dimension++) {
      this.used[team * DIMENSIONS + dimension] = this.getUsed(team, dimension) + sign * charges[offset + dimension]
    }
  }

  private getUsed (team: number, dimension: number): number {
    return this.used[team * DIMENSIONS + dimension] ?? 0
  }
}
