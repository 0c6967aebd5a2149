import { isStillValid, type ConfigurationChange } from '../configuration/ConfigurationChange.js'
import type {
  AcceptedChange, ChangeOrigin, ConfigurationBase, ConfigurationWriter
} from '../configuration/ConfigurationWriter.js'
import { failed, ok, type Outcome } from '../shared/Outcome.js'
import { describeChangeFailure, type OperatorFailure } from './OperatorFailure.js'

/** What a change needs. */
export interface ChangeRequest {
  writer: ConfigurationWriter
  change: ConfigurationChange
  origin: ChangeOrigin
  /** Whether a lost race is followed by another try on the newer version. */
  retry: boolean
  /** Looks at the version that was read, and ends the command when the operator does not agree. */
  review: (base: ConfigurationBase) => Promise<void>
}

/** With 11,000 changes a day races are rare; one that is lost so often has another cause. */
const MAXIMUM_ATTEMPTS = 20

/**
 * Reads the version in force, lets the operator review the change, and writes it.
 * @param request The change.
 * @returns The durable change, or why nothing was changed.
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
      return failed({ ...failure, message: `${failure.message}; it changed the same thing, so the change was not retried` })
    }
    base = newer.value
  }
}
