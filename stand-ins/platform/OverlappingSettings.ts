/** Options of settings. */
export interface OverlappingSettingsOptions<Settings extends object> {
  /** The settings of a thing on which no fault lasts. */
  defaults: Settings
  /** Sets some settings of a thing; those of faults that last on other settings are left as they are. */
  apply (id: string, settings: Partial<Settings>): void
}

/** The settings that several faults change on the same things; one that ends leaves those of the others. */
export class OverlappingSettings<Settings extends object> {
  private readonly changes = new Map<string, Array<Partial<Settings>>>()

  private constructor (private readonly options: OverlappingSettingsOptions<Settings>) {}

  /**
   * Creates the settings of things without faults.
   * @param options The defaults, and how settings are applied.
   * @returns The settings.
   */
  static create<Settings extends object> (
    options: OverlappingSettingsOptions<Settings>
  ): OverlappingSettings<Settings> {
    return new OverlappingSettings(options)
  }

  /**
   * Changes settings of a thing.
   * @param id The thing.
   * @param change The settings of one fault; of faults that overlap on a setting, the latest one holds.
   * @returns A function that withdraws the change.
   */
  add (id: string, change: Partial<Settings>): () => void {
    this.changes.set(id, [...this.changes.get(id) ?? [], change])
    this.apply(id, change)
    return () => {
      const remaining = this.changes.get(id)!.filter(other => other !== change)
      if (remaining.length > 0) this.changes.set(id, remaining)
      else this.changes.delete(id)
      this.apply(id, change)
    }
  }

  /** Applies all changes of a thing again, as to a new process. */
  reapply (id: string): void {
    const changes = this.changes.get(id)
    if (changes !== undefined) this.apply(id, Object.assign({}, ...changes))
  }

  /** Returns the settings of a thing as the faults have set them. */
  get (id: string): Settings {
    return Object.assign({}, this.options.defaults, ...this.changes.get(id) ?? [])
  }

  private apply (id: string, changed: Partial<Settings>): void {
    const settings = this.get(id)
    const applied: Partial<Settings> = {}
    for (const name of Object.keys(changed) as Array<keyof Settings>) applied[name] = settings[name]
    this.options.apply(id, applied)
  }
}
