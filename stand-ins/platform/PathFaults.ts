/**
 * What happens to calls on a path between an instance and a worker: nothing arrives (`silent`), no connection opens
 * (`connections-fail`), or calls are executed and their responses are lost (`answers-lost`).
 */
export type PathFault = 'silent' | 'connections-fail' | 'answers-lost'

/** The faults of single paths between instances and workers, which outlast the processes at both ends. */
export class PathFaults {
  private readonly faults = new Map<string, PathFault>()

  private constructor () {}

  /**
   * Creates paths without faults.
   * @returns The faults.
   */
  static create (): PathFaults {
    return new PathFaults()
  }

  /** Returns the fault of a path, or null if it has none. */
  get (instanceId: string, workerId: string): PathFault | null {
    if (this.faults.size === 0) return null
    return this.faults.get(getPathId(instanceId, workerId)) ?? null
  }

  /** Sets the fault of a path by the ID of the path, or removes it with null. */
  set (pathId: string, fault: PathFault | null): void {
    if (fault === null) this.faults.delete(pathId)
    else this.faults.set(pathId, fault)
  }
}

/**
 * Returns the ID of a path.
 * @param instanceId The instance at its one end.
 * @param workerId The worker at its other end.
 * @returns The ID.
 */
export function getPathId (instanceId: string, workerId: string): string {
  return `${instanceId}/${workerId}`
}
