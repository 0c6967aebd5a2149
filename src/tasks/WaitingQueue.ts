import type { TaskRecord } from './TaskRecord.js'

/** Waiting tasks with the same kind, team, size and data centre; if one does not fit, the others are not tried. */
export interface WaitingClass {
  key: string
  tasks: Set<TaskRecord>
  /** The capacity version at which the class did not fit; it is not tried again at that version before `retryAt`. */
  blockedAtVersion: number
  /** When the class is tried again even if the capacity version has not changed. */
  retryAt: number
}

/** The waiting tasks of a shard, urgent kinds first; a task that does not fit blocks only its own class. */
export class WaitingQueue {
  private readonly urgent = new Map<string, WaitingClass>()
  private readonly nonUrgent = new Map<string, WaitingClass>()
  private count = 0

  private constructor (private isUrgent: (kind: string) => boolean) {}

  /**
   * Creates an empty queue.
   * @param isUrgent Returns whether a kind of work is urgent.
   * @returns The queue.
   */
  static create (isUrgent: (kind: string) => boolean): WaitingQueue {
    return new WaitingQueue(isUrgent)
  }

  get size (): number {
    return this.count
  }

  /** Adds a task at the end of its class. */
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

  /** Removes a task, if it is queued. */
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

  /** Returns the classes in the order in which they are to be tried. */
  * getClasses (): IterableIterator<WaitingClass> {
    yield * [...this.urgent.values()]
    yield * [...this.nonUrgent.values()]
  }

  /** Moves a class behind the others of its urgency, so that a pass that ends early does not starve any class. */
  rotate (waitingClass: WaitingClass): void {
    for (const classes of [this.urgent, this.nonUrgent]) {
      if (classes.get(waitingClass.key) !== waitingClass) continue
      classes.delete(waitingClass.key)
      classes.set(waitingClass.key, waitingClass)
    }
  }

  /**
   * Returns whether any class may fit.
   * @param capacityVersion The current capacity version.
   * @param now The monotonic time.
   * @returns Whether a pass would try at least one task.
   */
  hasCandidate (capacityVersion: number, now: number): boolean {
    for (const waitingClass of this.getClasses()) if (isCandidate(waitingClass, capacityVersion, now)) return true
    return false
  }

  /** Rebuilds the queue after a policy change. */
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

/** Returns whether a class may fit: the capacity version has changed or its retry is due. */
export function isCandidate (waitingClass: WaitingClass, capacityVersion: number, now: number): boolean {
  return waitingClass.blockedAtVersion !== capacityVersion || now >= waitingClass.retryAt
}

function getClassKey (task: TaskRecord): string {
  const { kind, team, size, dataCentre } = task.job
  return `${kind}|${team}|${size.processors}|${size.memoryMegabytes}|${size.accelerators}|${dataCentre ?? ''}`
}
