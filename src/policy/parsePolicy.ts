import { failed, ok, type Outcome } from '../shared/Outcome.js'
import { CompiledPolicy, type RuleOrigin } from './CompiledPolicy.js'
import { checkRules, type LocatedRule, type PolicyCheckOptions } from './checkRules.js'
import { parseRule } from './parseRule.js'
import type { PolicyFault } from './PolicyFault.js'
import { tokenizeLine, type TokenizedLine } from './tokenizeLine.js'

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d

/**
 * Parses and checks the text of a policy file.
 * @param text The text: one `rule # who: why` a line; blank lines and lines with only a comment are skipped.
 * @param options What is known of the deployment, for the checks that need it.
 * @returns The policy, or every fault of the text in the order of the lines.
 */
export function parsePolicy (text: string, options: PolicyCheckOptions = {}): Outcome<CompiledPolicy, PolicyFault[]> {
  const rules: LocatedRule[] = []
  const faults: PolicyFault[] = []
  for (let line = 1, start = 0; start <= text.length; line++) {
    const found = text.indexOf('\n', start)
    const end = found < 0 ? text.length : found
    const content = text.slice(start, text.charCodeAt(end - 1) === CARRIAGE_RETURN ? Math.max(start, end - 1) : end)
    start = end + 1
    const tokenized = tokenizeLine(content)
    if (tokenized.tokens.length === 0) continue
    const origin = parseOrigin(tokenized, line)
    // A rule with a faulty comment still takes part in the checks, so that all faults show in one go.
    const rule = parseRule(tokenized.tokens, origin.kind === 'ok' ? origin.value : { who: 'nobody named', why: '', line })
    if (rule.kind === 'failed') faults.push(rule.failure)
    else rules.push({ rule: rule.value, column: tokenized.tokens[0].column })
    if (origin.kind === 'failed') faults.push(origin.failure)
  }
  faults.push(...checkRules(rules, options))
  if (faults.length > 0) {
    return failed(faults.sort((left, right) => left.line - right.line || left.column - right.column))
  }
  return ok(CompiledPolicy.create(rules.map(placed => placed.rule)))
}

/**
 * Parses the bytes of a policy file.
 * @param bytes The bytes, which should be UTF-8.
 * @param options What is known of the deployment.
 * @returns The text and policy, or every fault.
 */
export function parsePolicyBytes (
  bytes: Uint8Array,
  options: PolicyCheckOptions = {}
): Outcome<{ text: string, policy: CompiledPolicy }, PolicyFault[]> {
  const text = decode(bytes)
  if (text === null) return failed(findEncodingFaults(bytes))
  const parsed = parsePolicy(text, options)
  return parsed.kind === 'ok' ? ok({ text, policy: parsed.value }) : parsed
}

function parseOrigin (tokenized: TokenizedLine, line: number): Outcome<RuleOrigin, PolicyFault> {
  const { comment, commentColumn } = tokenized
  const colon = comment?.indexOf(':') ?? -1
  const who = comment?.slice(0, Math.max(0, colon)).trim() ?? ''
  const why = comment?.slice(colon + 1).trim() ?? ''
  if (colon > 0 && who !== '' && why !== '') return ok({ who, why, line })
  const problem = comment === null
    ? 'the rule does not say who asked for it and why'
    : 'the comment does not name who asked and why'
  const expected = '"# who: why" after the rule'
  return failed({ kind: 'origin', line, column: commentColumn, problem, expected, suggestion: null })
}

/** Reports the first wrong byte of each line that is not UTF-8. */
function findEncodingFaults (bytes: Uint8Array): PolicyFault[] {
  const faults: PolicyFault[] = []
  let start = 0
  for (let line = 1; start <= bytes.length; line++) {
    const found = bytes.indexOf(LINE_FEED, start)
    const end = found < 0 ? bytes.length : found
    const content = bytes.subarray(start, end)
    if (decode(content) === null) faults.push(createEncodingFault(content, line))
    start = end + 1
  }
  return faults
}

function createEncodingFault (content: Uint8Array, line: number): PolicyFault {
  // The replacement characters of a lenient decoder stand where the wrong bytes are.
  const lenient = new TextDecoder().decode(content)
  const column = Math.max(1, lenient.indexOf('\uFFFD') + 1)
  const problem = 'the text is not UTF-8'
  return { kind: 'encoding', line, column, problem, expected: 'a file saved as UTF-8', suggestion: null }
}

function decode (bytes: Uint8Array): string | null {
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(bytes)
  } catch {
    return null
  }
}
