import type { InstanceListOutcome, InstanceListSource, ListedInstance } from '../../src/membership/InstanceList.js'
import type { Clock } from '../../src/shared/Clock.js'

/** What the list is made of. */
export interface LaggingInstanceListOptions {
  clock: Clock
  /** How long a change takes to show, in milliseconds. */
  lagMilliseconds: number
  /** Instances that show from the beginning. */
  instances?: ListedInstance[]
}

/** The platform's list of live and leaving instances, in which changes show late. */
export class LaggingInstanceList implements InstanceListSource {
  private readonly visibleInstances = new Map<string, ListedInstance>()

  private constructor (private readonly options: LaggingInstanceListOptions) {
    for (const instance of options.instances ?? []) this.visibleInstances.set(instance.instanceId, instance)
  }

  /**
   * Creates the list.
   * @param options What the list is made of.
   * @returns The list.
   */
  static create (options: LaggingInstanceListOptions): LaggingInstanceList {
    return new LaggingInstanceList(options)
  }

  /**
   * Adds or changes an instance.
   * @param instance The instance as the list shows it after the lag.
   */
  put (instance: ListedInstance): void {
    this.apply(() => this.visibleInstances.set(instance.instanceId, instance))
  }

  /**
   * Removes an instance.
   * @param instanceId The instance.
   */
  delete (instanceId: string): void {
    this.apply(() => this.visibleInstances.delete(instanceId))
  }

  /**
   * Returns the list as it shows now.
   * @returns The instances.
   */
  getInstances (): ListedInstance[] {
    return [...this.visibleInstances.values()]
  }

  async readInstances (): Promise<InstanceListOutcome> {
    return { kind: 'ok', instances: this.getInstances() }
  }

  private apply (change: () => void): void {
    if (this.options.lagMilliseconds === 0) change()
    else this.options.clock.setTimer(this.options.lagMilliseconds, change)
  }
}
