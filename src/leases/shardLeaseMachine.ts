import { createMachine, state, transition } from 'robot3'

/** The states of a shard lease. */
export type ShardLeaseState = 'observing' | 'acquiring' | 'held' | 'releasing'

/** The events of a shard lease. */
export type ShardLeaseEvent = 'acquire' | 'acquired' | 'rejected' | 'deposed' | 'release' | 'released'

/** The state machine of a shard lease in one process. */
export const shardLeaseMachine = createMachine('observing', {
  observing: state(transition('acquire', 'acquiring')),
  acquiring: state(transition('acquired', 'held'), transition('rejected', 'observing')),
  held: state(transition('deposed', 'observing'), transition('release', 'releasing')),
  releasing: state(transition('released', 'observing'), transition('deposed', 'observing'))
})
