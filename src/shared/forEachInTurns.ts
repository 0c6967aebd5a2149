/** Options of an iteration in turns. */
export interface TurnOptions {
  /** The number of items that are handled in one turn. */
  itemsPerTurn: number
  /** Resolves in a later turn of the event loop. */
  endTurn (): Promise<void>
}

/**
 * Calls a function for each item, with a turn of the event loop after every few of them, so that a long iteration does
 * not delay other activities. Few items are handled in one turn.
 * @param items The items, which must not change meanwhile.
 * @param options The number of items of a turn and how a turn ends.
 * @param handle The function.
 */
export async function forEachInTurns<Item> (
  items: Iterable<Item>, options: TurnOptions, handle: (item: Item) => void
): Promise<void> {
  let count = 0
  for (const item of items) {
    if (count === options.itemsPerTurn) {
      count = 0
      await options.endTurn()
    }
    handle(item)
    count++
  }
}
