import { isStillValid, type ConfigurationChange } from '../configuration/ConfigurationChange.js'
import type {
  AcceptedChange, ChangeOrigin, ConfigurationBase, ConfigurationWriter
} from '../configuration/ConfigurationWriter.js'
import { failed, ok, type Outcome } from '../shared/Outcome.js'
import { describeChangeFailure, type OperatorFailure } from './OperatorFailure.js'

/** A change with its origin and the handling of races. */
export interface ChangeRequest {
  writer: ConfigurationWriter
  change: ConfigurationChange
  origin: ChangeOrigin
  /** Whether to retry on the newer version when another change was accepted first. */
  retry: boolean
  /** Lets the operator review the change to the version that was read; ends the command when it is not confirmed. */
  review: (base: ConfigurationBase) => Promise<void>
}

/** Races are rare with 11,000 changes a day, so this many lost races in a row have another cause. */
const MAXIMUM_ATTEMPTS = 20

/**
 * Reads the newest version, lets the operator review the change, and writes it.
 * @param request The change with its origin.
 * @returns The accepted change, or why it is not known to be accepted.
 */
export async function changeConfiguration (
  request: ChangeRequest
): Promise<Outcome<AcceptedChange, OperatorFailure>> {
  const { writer, change, origin, retry, review } = request
  const reviewed = await writer.readBase()
  if (reviewed.kind === 'failed') return failed(describeChangeFailure(reviewed.failure))
  await review(reviewed.value)
  let base = reviewed.value
  for (let attempt = 1; ; attempt++) {
    const written = await writer.write(base, change, origin)
    if (written.kind === 'ok') return ok(written.value)
    const failure = describeChangeFailure(written.failure)
    if (written.failure.kind !== 'lost-race' || !retry || attempt === MAXIMUM_ATTEMPTS) return failed(failure)
    const newer = await writer.readBase()
    if (newer.kind === 'failed') return failed(describeChangeFailure(newer.failure))
    if (!isStillValid(reviewed.value.configuration, newer.value.configuration, change)) {
      return failed({ ...failure, message: `${failure.message}; the policy, data centre or worker of this change has changed since, so the change was not retried` })
    }
    base = newer.value
  }
}
