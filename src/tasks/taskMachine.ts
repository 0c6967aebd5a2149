import { createMachine, state, transition } from 'robot3'
import type { TaskState } from '../scheduler/SchedulerApi.js'

/** The events of the task state machine. */
export type TaskMachineEvent =
  | 'place' | 'started' | 'evict' | 'cancel' | 'requeue' | 'complete' | 'fail' | 'cancelled' | 'transfer' | 'unplace'

/** The state machine of a task; `requeue` begins a new attempt, `unplace` undoes a placement that is not durable. */
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

/** Returns whether a task has ended or has been transferred to another shard. */
export function isEnded (taskState: TaskState): boolean {
  return taskState === 'completed' || taskState === 'failed' || taskState === 'cancelled' || taskState === 'transferred'
}

/** Returns whether a task in this state is assigned to a worker and may be running there. */
export function isPlaced (taskState: TaskState): boolean {
  return taskState === 'starting' || taskState === 'running' || taskState === 'evicting' || taskState === 'cancelling'
}
