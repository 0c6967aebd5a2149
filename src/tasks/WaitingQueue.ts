import type { TaskRecord } from './TaskRecord.js'

/** Tasks that are alike to the placement engine: when the first does not fit, neither do the others. */
export interface WaitingClass {
  key: string
  tasks: Set<TaskRecord>
  /** The capacity version at which the class did not fit; it is not tried again until that changes. */
  blockedAtVersion: number
  /** When the class is tried again in any case. */
  retryAt: number
}

/** The waiting tasks of a shard, urgent kinds first; a task that does not fit holds up only its like. */
export class WaitingQueue {
  private readonly urgent = new Map<string, WaitingClass>()
  private readonly nonUrgent = new Map<string, WaitingClass>()
  private count = 0

  private constructor (private isUrgent: (kind: string) => boolean) {}

  /**
   * Creates an empty queue.
   * @param isUrgent Tells whether a kind of work is urgent.
   * @returns The queue.
   */
  static create (isUrgent: (kind: string) => boolean): WaitingQueue {
    return new WaitingQueue(isUrgent)
  }

  get size (): number {
    return this.count
  }

  /** Adds a task behind its like. */
  add (task: TaskRecord): void {
    const classes = this.isUrgent(task.job.kind) ? this.urgent : this.nonUrgent
    const key = getClassKey(task)
    let waitingClass = classes.get(key)
    if (waitingClass === undefined) {
      waitingClass = { key, tasks: new Set(), blockedAtVersion: -1, retryAt: 0 }
      classes.set(key, waitingClass)
    }
    if (!waitingClass.tasks.has(task)) this.count++
    waitingClass.tasks.add(task)
  }

  /** Removes a task. */
  remove (task: TaskRecord): void {
    const key = getClassKey(task)
    for (const classes of [this.urgent, this.nonUrgent]) {
      const waitingClass = classes.get(key)
      if (waitingClass === undefined || !waitingClass.tasks.delete(task)) continue
      this.count--
      if (waitingClass.tasks.size === 0) classes.delete(key)
      return
    }
  }

  /** Returns the classes in the order in which they are tried. */
  * getClasses (): IterableIterator<WaitingClass> {
    yield * [...this.urgent.values()]
    yield * [...this.nonUrgent.values()]
  }

  /** Puts a class behind the others of its urgency, so that each has its turn when a pass is cut short. */
  rotate (waitingClass: WaitingClass): void {
    for (const classes of [this.urgent, this.nonUrgent]) {
      if (classes.get(waitingClass.key) !== waitingClass) continue
      classes.delete(waitingClass.key)
      classes.set(waitingClass.key, waitingClass)
    }
  }

  /**
   * Tells whether a class is due for a try.
   * @param capacityVersion The present capacity version.
   * @param now The monotonic time.
   * @returns Whether a pass would try at least one task.
   */
  hasCandidate (capacityVersion: number, now: number): boolean {
    for (const waitingClass of this.getClasses()) if (isCandidate(waitingClass, capacityVersion, now)) return true
    return false
  }

  /** Sorts all tasks anew after a change of the policy. */
  setUrgency (isUrgent: (kind: string) => boolean): void {
    const tasks = [...this.getClasses()].flatMap(waitingClass => [...waitingClass.tasks])
    this.isUrgent = isUrgent
    this.urgent.clear()
    this.nonUrgent.clear()
    this.count = 0
    tasks.sort((left, right) => left.queuedAt - right.queuedAt)
    for (const task of tasks) this.add(task)
  }
}

/** Tells whether a class may fit now. */
export function isCandidate (waitingClass: WaitingClass, capacityVersion: number, now: number): boolean {
  return waitingClass.blockedAtVersion !== capacityVersion || now >= waitingClass.retryAt
}

function getClassKey (task: TaskRecord): string {
  const { kind, team, size, dataCentre } = task.job
  return `${kind}|${team}|${size.processors}|${size.memoryMegabytes}|${size.accelerators}|${dataCentre ?? ''}`
}
