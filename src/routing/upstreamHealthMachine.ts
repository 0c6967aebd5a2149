import { createMachine, state, transition } from 'robot3'

/** The health of an upstream as observed by one entry instance. */
export type UpstreamHealth = 'healthy' | 'ejected' | 'probing' | 'readmitting'

/** An ejected upstream becomes healthy again only after a successful probe and a gradual increase of load. */
export const upstreamHealthMachine = createMachine('healthy', {
  healthy: state(transition('eject', 'ejected')),
  ejected: state(transition('probe', 'probing')),
  probing: state(transition('succeed', 'readmitting'), transition('eject', 'ejected')),
  readmitting: state(transition('complete', 'healthy'), transition('eject', 'ejected'))
})
