/** The kinds of faults that the parser and the checker report. */
export type PolicyFaultKind =
  /** The bytes are not UTF-8 text. */
  | 'encoding'
  /** The line is not a rule. */
  | 'syntax'
  /** The rule does not say who asked for it and why. */
  | 'origin'
  /** The rule repeats or contradicts an earlier one. */
  | 'contradiction'
  /** The rule can never apply, for example because no caller submits its kind. */
  | 'never-matches'
  /** The rule gives a team more resources than all workers have. */
  | 'unsatisfiable'

/** One fault of a policy file, with its location. */
export interface PolicyFault {
  kind: PolicyFaultKind
  /** The line of the file, from 1. */
  line: number
  /** The column in UTF-16 code units of the line, from 1. */
  column: number
  problem: string
  expected: string
  /** The replacement that was probably intended, or null. */
  suggestion: string | null
}

/**
 * Formats a fault as one line.
 * @param fault The fault.
 * @param file The name of the file.
 * @returns The location, the problem, what was expected and the suggestion.
 */
export function formatPolicyFault (fault: PolicyFault, file: string): string {
  const suggestion = fault.suggestion === null ? '' : `; did you mean ${JSON.stringify(fault.suggestion)}?`
  return `${file}:${fault.line}:${fault.column}: ${fault.problem}; expected ${fault.expected}${suggestion}`
}
