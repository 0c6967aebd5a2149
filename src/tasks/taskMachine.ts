import { createMachine, state, transition } from 'robot3'
import type { TaskState } from '../scheduler/SchedulerApi.js'

/** The events of a task. */
export type TaskMachineEvent =
  | 'place' | 'started' | 'evict' | 'cancel' | 'requeue' | 'complete' | 'fail' | 'cancelled' | 'transfer' | 'unplace'

/** The transitions of a task; `requeue` begins a new attempt, `unplace` takes back a start that is not durable. */
export const taskMachine = createMachine('waiting', {
  waiting: state(
    transition('place', 'starting'),
    transition('cancel', 'cancelled'),
    transition('fail', 'failed'),
    transition('transfer', 'transferred')
  ),
  starting: state(
    transition('started', 'running'),
    transition('unplace', 'waiting'),
    transition('requeue', 'waiting'),
    transition('evict', 'evicting'),
    transition('cancel', 'cancelling'),
    transition('complete', 'completed'),
    transition('fail', 'failed')
  ),
  running: state(
    transition('evict', 'evicting'),
    transition('cancel', 'cancelling'),
    transition('requeue', 'waiting'),
    transition('complete', 'completed'),
    transition('fail', 'failed')
  ),
  evicting: state(
    transition('requeue', 'waiting'),
    transition('cancel', 'cancelling'),
    transition('complete', 'completed'),
    transition('fail', 'failed')
  ),
  cancelling: state(
    transition('cancelled', 'cancelled'),
    transition('complete', 'completed'),
    transition('fail', 'failed')
  ),
  transferred: state(),
  completed: state(),
  failed: state(),
  cancelled: state()
})

/** The states in which a task is over for this shard. */
export function isEnded (taskState: TaskState): boolean {
  return taskState === 'completed' || taskState === 'failed' || taskState === 'cancelled' || taskState === 'transferred'
}

/** The states in which a task may be on a worker. */
export function isPlaced (taskState: TaskState): boolean {
  return taskState === 'starting' || taskState === 'running' || taskState === 'evicting' || taskState === 'cancelling'
}
