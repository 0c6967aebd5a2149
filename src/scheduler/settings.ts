import { z } from 'zod'
import { commonSettings, wholeNumber } from '../shared/settings.js'

/** The settings of the scheduler program. */
export const schedulerSettings = {
  ...commonSettings,
  advertisedAddress: {
    name: 'advertised-address',
    description: 'host and port at which peers reach this instance; the listen address when not given',
    schema: z.string().regex(/^[^\s/:]+:\d+$/, 'expected HOST:PORT').optional(),
    example: '10.1.2.3:8200'
  },
  storeTimeoutMilliseconds: {
    name: 'store-timeout-milliseconds',
    description: 'how long a call of the table service may take before its outcome counts as unknown',
    schema: wholeNumber.default(2000),
    example: '2000'
  },
  workerTimeoutMilliseconds: {
    name: 'worker-timeout-milliseconds',
    description: 'how long an exchange with a worker may take before its outcome counts as unknown',
    schema: wholeNumber.default(2000),
    example: '2000'
  }
}
