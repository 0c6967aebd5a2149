import type { Clock } from '../../src/shared/Clock.js'
import { RepeatBudget } from '../../src/shared/RepeatBudget.js'

/**
 * Creates the budget of repeats of an owner that is never late.
 * @param clock The clock.
 * @returns A budget like that of `ShardDispatcher`.
 */
export function createTestBudget (clock: Clock): RepeatBudget {
  return RepeatBudget.create({ clock, repeatsPerSecond: 400, reserve: 400, isOverloaded: () => false })
}
