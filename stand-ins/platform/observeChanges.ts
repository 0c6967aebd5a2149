/**
 * Calls a listener after each change of a field.
 * @param observed The object; it is changed through the returned one.
 * @param onChange The listener.
 * @returns The object with the same fields whose changes are observed.
 */
export function observeChanges<Observed extends object> (observed: Observed, onChange: () => void): Observed {
  return new Proxy(observed, {
    set: (target, key, value) => {
      const hasChanged = Reflect.get(target, key) !== value
      Reflect.set(target, key, value)
      if (hasChanged) onChange()
      return true
    }
  })
}
