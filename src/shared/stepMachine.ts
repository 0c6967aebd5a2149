import type { Machine } from 'robot3'

/**
 * Computes the next state of a robot3 machine without an interpreter, so that a record of a task
 * holds only the name of its state.
 * @param machine The machine that defines the transitions.
 * @param current The name of the present state.
 * @param event The name of the event.
 * @returns The name of the next state, or undefined when the event is not allowed in this state.
 */
export function stepMachine<State extends string> (
  machine: Machine<any, any, any>,
  current: State,
  event: string
): State | undefined {
  const transitions = machine.states[current]?.transitions.get(event)
  return transitions?.[0]?.to as State | undefined
}
