import type { ReadFailure } from '../configuration/ConfigurationStore.js'
import type { ChangeFailure } from '../configuration/ConfigurationWriter.js'

/** The exit codes of the command, which scripts may rely on. */
export const EXIT_CODES = {
  ok: 0,
  /** A fault of the command itself. */
  internal: 1,
  /** Flags, arguments or settings are missing or not accepted. */
  usage: 2,
  /** The policy file has faults. */
  policyFaults: 3,
  /** What was asked for has no effect, does not exist, or was refused; nothing was changed. */
  refused: 4,
  /** Another operator's change came first; nothing was changed. */
  lostRace: 5,
  /** The table service, scheduler or instance list cannot be reached; nothing was changed. */
  unavailable: 6,
  /** It is not known whether the change or command took effect. */
  unknown: 7,
  /** A confirmation was needed and not given; nothing was changed. */
  notConfirmed: 8
} as const

/** Why a command did not do what it was asked, and what the operator can do next. */
export interface OperatorFailure {
  code: keyof typeof EXIT_CODES
  message: string
  next: string
}

/** Carries a failure through oclif, which ends a command only by an exception. */
export class OperatorError extends Error {
  constructor (readonly failure: OperatorFailure) {
    super(failure.message)
  }
}

/**
 * Describes why a change was not accepted.
 * @param failure The failure of the write.
 * @returns The failure with what to do next.
 */
export function describeChangeFailure (failure: ChangeFailure): OperatorFailure {
  switch (failure.kind) {
    case 'lost-race': {
      const { version, changedBy, changedAt } = failure.winner
      return {
        code: 'lostRace',
        message: `${changedBy} changed the configuration first: version ${version} at ${changedAt}, after version ${failure.baseVersion} that you saw; nothing was changed`,
        next: 'see what changed with "papayamoor audit", then run the command again, or add --retry to apply it when what it changes is untouched'
      }
    }
    case 'no-effect':
      return { code: 'refused', message: `${failure.message}; nothing was changed`, next: 'nothing to do, or check the name' }
    case 'unavailable':
      return describeUnavailable('the table service', failure.reason)
    case 'unknown':
      return {
        code: 'unknown',
        message: `it is not known whether the change was accepted: ${failure.reason}`,
        next: `look for the record ${failure.writeId} with "papayamoor audit --json" before you run the command again`
      }
  }
}

/**
 * Describes a part that cannot be reached.
 * @param component The part, for example `the table service`.
 * @param reason What was seen.
 * @returns The failure with what to do next.
 */
export function describeUnavailable (component: string, reason: string): OperatorFailure {
  return {
    code: 'unavailable',
    message: `${component} cannot be reached (${reason}); nothing was changed`,
    next: 'check its address in the settings; in an outage run the command again later'
  }
}

/**
 * Describes why the configuration could not be read.
 * @param failure The failure of the read.
 * @returns The failure with what to do next.
 */
export function describeReadFailure (failure: ReadFailure): OperatorFailure {
  if (failure.kind === 'unavailable') return describeUnavailable('the table service', failure.reason)
  return {
    code: 'internal',
    message: `the section ${failure.section} of version ${failure.version} is missing in the table service`,
    next: 'ask the platform whether rows were lost; instances keep the version that they have'
  }
}
