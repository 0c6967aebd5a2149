import { createMachine, state, transition } from 'robot3'

/**
 * The health states of a worker. `operator` events override the learned state; `restPassed` occurs when the quarantine
 * has elapsed.
 */
export const workerHealthMachine = createMachine('healthy', {
  healthy: state(
    transition('suspected', 'quarantined'),
    transition('operatorQuarantined', 'quarantined'),
    transition('operatorProbed', 'probing')
  ),
  quarantined: state(
    transition('restPassed', 'probing'),
    transition('operatorProbed', 'probing'),
    transition('operatorReleased', 'healthy')
  ),
  probing: state(
    transition('probePassed', 'healthy'),
    transition('probeFailed', 'quarantined'),
    transition('operatorQuarantined', 'quarantined'),
    transition('operatorReleased', 'healthy')
  )
})
