import { z } from 'zod'
import { commonSettings, wholeNumber, type SettingDefinition, type SettingValues } from '../shared/index.js'

const SHA_256_DIGEST = /^[0-9a-f]{64}$/

/** Parses `desk=<64 hexadecimal digits>,batch=<64 hexadecimal digits>` to a map from each digest to its caller. */
const callerKeys = z.string().default('').transform((text, context) => {
  const callers = new Map<string, string>()
  for (const item of text.split(',').map(part => part.trim()).filter(part => part !== '')) {
    const separator = item.indexOf('=')
    const digest = item.slice(separator + 1)
    if (separator < 1 || !SHA_256_DIGEST.test(digest)) {
      context.addIssue({ code: 'custom', message: 'expected CALLER=SHA256 with 64 lower-case hexadecimal digits' })
      return z.NEVER
    }
    callers.set(digest, item.slice(0, separator))
  }
  return callers
})

/** The settings of the entry program. */
export const entrySettings = {
  ...commonSettings,
  callerKeys: {
    name: 'caller-keys',
    description: 'SHA-256 digests of the bearer keys of callers; without it callers name themselves',
    schema: callerKeys,
    example: `permit-desk=${'0'.repeat(64)}`,
    secret: true
  },
  tlsKeyFile: {
    name: 'tls-key-file', description: 'file with the TLS key', schema: z.string().default(''), example: 'entry.key'
  },
  tlsCertificateFile: {
    name: 'tls-certificate-file',
    description: 'file with the TLS certificate; TLS is used when both files are given',
    schema: z.string().default(''),
    example: 'entry.crt'
  },
  maxBodyBytes: {
    name: 'max-body-bytes',
    description: 'greatest length of a request body in bytes',
    schema: wholeNumber.default(1_048_576),
    example: '1048576'
  },
  maxConnections: {
    name: 'max-connections',
    description: 'greatest number of connections of callers and peers',
    schema: wholeNumber.default(4096),
    example: '4096'
  },
  senderTimeoutMilliseconds: {
    name: 'sender-timeout-milliseconds',
    description: 'how long a caller may take to send its request',
    schema: wholeNumber.default(10_000),
    example: '10000'
  },
  drainDelayMilliseconds: {
    name: 'drain-delay-milliseconds',
    description: 'how long readiness fails before a planned stop closes the listening port',
    schema: wholeNumber.default(2000),
    example: '2000'
  },
  linkBytesPerSecond: {
    name: 'link-bytes-per-second',
    description: 'requests and answers that may cross the link between regions, in bytes per second',
    schema: wholeNumber.default(250_000),
    example: '250000'
  }
} satisfies Record<string, SettingDefinition>

/** The validated settings of the entry program. */
export type EntrySettings = SettingValues<typeof entrySettings>
