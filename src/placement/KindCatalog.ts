import { CompiledPolicy, type KindPolicy } from '../policy/CompiledPolicy.js'
import { Interner } from './Interner.js'
import type { EvictionClass } from './WorkerLedger.js'

/** A kind of task with its policy; related kinds are referenced by number. */
export interface KindRecord {
  number: number
  name: string
  policy: KindPolicy
  evictionClass: EvictionClass
  apartFrom: readonly number[]
  togetherWith: readonly number[]
}

/** Numbers the kinds, and resolves the current policy for each of them. */
export class KindCatalog {
  private readonly names = Interner.create()
  private records: (KindRecord | undefined)[] = []
  private policy = CompiledPolicy.create([])

  private constructor () {}

  /**
   * Creates a catalog with an empty policy.
   * @returns The catalog.
   */
  static create (): KindCatalog {
    return new KindCatalog()
  }

  get count (): number {
    return this.names.count
  }

  /**
   * Replaces the policy.
   * @param policy The policy.
   */
  setPolicy (policy: CompiledPolicy): void {
    this.policy = policy
    this.records = []
  }

  /**
   * Looks up a kind by name, and assigns a number to a new name.
   * @param name The name of the kind.
   * @returns The record.
   */
  getByName (name: string): KindRecord {
    return this.get(this.names.intern(name))
  }

  /**
   * Looks up a kind by number.
   * @param number The number.
   * @returns The record.
   */
  get (number: number): KindRecord {
    const record = this.records[number] ?? this.createRecord(number)
    this.records[number] = record
    return record
  }

  private createRecord (number: number): KindRecord {
    const name = this.names.getName(number)
    const policy = this.policy.getKindPolicy(name)
    return {
      number,
      name,
      policy,
      evictionClass: policy.workClass === 'urgent' ? 'never' : policy.undisturbed ? 'last' : 'ordinary',
      apartFrom: [...policy.apartFrom].map(kind => this.names.intern(kind)),
      togetherWith: [...policy.togetherWith].map(kind => this.names.intern(kind))
    }
  }
}
