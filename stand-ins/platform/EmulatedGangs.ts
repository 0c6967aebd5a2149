import type { RunOutcome } from '../../src/dispatch/index.js'
import type { EmulatedRun } from './EmulatedRun.js'

/** One run of a member of a gang, on any worker. */
export interface GangMember {
  run: EmulatedRun
  /** The rack of its worker. */
  rack: string
  /** Returns the rate at which the member could work without the others. */
  getRate (): number
  /** Ends the run because another member has ended; an end that is not listed is represented by that of the other. */
  end (outcome: 'done' | 'broken', isListed: boolean): void
}

/** The factor by which a rack-sensitive gang on several racks takes longer, and a task that is not near its data. */
export const FAR_FACTOR = 1.5

/** The gangs of a site: their members work only while all of them are present, and end together. */
export class EmulatedGangs {
  /** The members by the name of the step and the attempt, which they share. */
  private readonly members = new Map<string, Map<string, GangMember>>()

  /**
   * Creates an empty set of gangs.
   * @returns The gangs.
   */
  static create (): EmulatedGangs {
    return new EmulatedGangs()
  }

  /** Adds a member that has started; all members work once the last one has been added. */
  join (member: GangMember): void {
    const key = getKey(member.run)
    const members = this.members.get(key) ?? new Map<string, GangMember>()
    this.members.set(key, members)
    members.set(member.run.taskName, member)
    this.updateRates(member.run)
  }

  /** Returns whether all members of the gang of a run are present. */
  isComplete (run: EmulatedRun): boolean {
    return (this.members.get(getKey(run))?.size ?? 0) === run.step?.taskCount
  }

  /** Sets the rates of all members again: all work at the rate of the slowest one, or not at all. */
  updateRates (run: EmulatedRun): void {
    const members = [...this.members.get(getKey(run))?.values() ?? []]
    const isSpread = run.step?.rackSensitive === true && new Set(members.map(({ rack }) => rack)).size > 1
    const slowest = Math.min(...members.map(member => member.getRate())) / (isSpread ? FAR_FACTOR : 1)
    const rate = this.isComplete(run) ? slowest : 0
    for (const member of members) member.run.setRate(rate)
  }

  /**
   * Removes a member whose run has ended and ends the others.
   * @param run The run.
   * @param outcome How it ended; null if it disappeared with its worker.
   */
  leave (run: EmulatedRun, outcome: RunOutcome | null): void {
    const key = getKey(run)
    const members = this.members.get(key)
    if (members?.get(run.taskName)?.run !== run) return
    this.members.delete(key)
    for (const member of members.values()) {
      if (member.run !== run) member.end(outcome === 'done' ? 'done' : 'broken', outcome !== 'done')
    }
  }
}

function getKey (run: EmulatedRun): string {
  return `${run.unitName}#${run.attempt}`
}
