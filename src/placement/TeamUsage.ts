import { Interner } from './Interner.js'
import { DIMENSIONS, type ResourceVector } from './resourceVector.js'

const ZERO: ResourceVector = [0, 0, 0]

/** Tracks how much of its holding each team uses. A holding is the part of the team's quota allocated to the shard. */
export class TeamUsage {
  readonly names = Interner.create()
  private readonly holdings: ResourceVector[] = []
  private readonly used: number[] = []

  private constructor () {}

  /**
   * Creates a tracker without holdings; a team without a holding may use nothing.
   * @returns The tracker.
   */
  static create (): TeamUsage {
    return new TeamUsage()
  }

  setHolding (team: number, holding: ResourceVector): void {
    this.holdings[team] = holding
  }

  /**
   * Returns whether the holding of a team covers an additional charge.
   * @param team The team.
   * @param charge The size to charge.
   * @returns Whether the holding covers it together with the current use.
   */
  canCharge (team: number, charge: ResourceVector): boolean {
    const holding = this.holdings[team] ?? ZERO
    for (let dimension = 0; dimension < DIMENSIONS; dimension++) {
      if (charge[dimension] > 0 && this.getUsed(team, dimension) + charge[dimension] > holding[dimension]) return false
    }
    return true
  }

  /**
   * Adds a charge to the use of a team, or subtracts it.
   * @param team The team.
   * @param charges An array that contains the charge.
   * @param offset The index in the array at which the charge begins.
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
