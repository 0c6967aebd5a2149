import type { ObjectStore, ReadOutcome } from './TableService.js'

/** An object store that also lists objects, and stores an object only when there is none with its key. */
export interface ListedObjectStore extends ObjectStore {
  /** Stores an object on condition that there is none with its key, and returns whether there is. */
  putObjectIfAbsent (key: string, bytes: Uint8Array): Promise<ReadOutcome<'stored' | 'exists'>>
  /** Returns the keys of all objects that begin with the prefix and are greater than `after`, in ascending order. */
  listObjects (prefix: string, after?: string): Promise<ReadOutcome<string[]>>
}
