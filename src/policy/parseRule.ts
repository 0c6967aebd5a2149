import { closest, distance } from 'fastest-levenshtein'
import { failed, ok, type Outcome } from '../shared/Outcome.js'
import type { PolicyRule, RuleOrigin } from './CompiledPolicy.js'
import type { PolicyFault } from './PolicyFault.js'
import type { Token } from './tokenizeLine.js'

/** One part of the form of a rule. */
type RulePart =
  | { part: 'word', words: readonly string[] }
  | { part: 'name', what: string }
  | { part: 'number', what: string, wholeOnly: boolean, least: number, greatest: number }

interface RuleForm {
  syntax: string
  parts: readonly RulePart[]
  /**
   * Builds the rule from the names and numbers in the order of the parts. Each form writes out all fields: to spread
   * objects of eight shapes took half of the time of a check.
   */
  build: (names: string[], numbers: number[], origin: RuleOrigin) => PolicyRule
}

/** Kinds and teams; longer names than any that a person would type are refused. */
const NAME = /^[A-Za-z][A-Za-z0-9._-]{0,99}$/
const NUMBER = /^\d+(\.\d+)?$/

/** The longest delay that a timer of Node.js takes, in milliseconds. */
const MAXIMUM_DEADLINE_MILLISECONDS = 2 ** 31 - 1

/** Far above 5,400 workers of 64 cores; a larger number is a slip of the keyboard. */
const MAXIMUM_QUOTA_AMOUNT = 100_000_000
const MEGABYTES_PER_GIGABYTE = 1024

const KIND_PART: RulePart = { part: 'name', what: 'a kind of work' }
const createWordPart = (...words: string[]): RulePart => ({ part: 'word', words })
const createQuotaPart = (what: string, wholeOnly: boolean): RulePart =>
  ({ part: 'number', what, wholeOnly, least: 0, greatest: MAXIMUM_QUOTA_AMOUNT })

const RULE_FORMS: Readonly<Record<string, RuleForm>> = {
  urgent: {
    syntax: 'urgent KIND within N ms',
    parts: [
      KIND_PART,
      createWordPart('within'),
      { part: 'number', what: 'a deadline in milliseconds', wholeOnly: true, least: 1, greatest: MAXIMUM_DEADLINE_MILLISECONDS },
      createWordPart('ms')
    ],
    build: ([name], [withinMilliseconds], { who, why, line }) =>
      ({ rule: 'urgent', kind: name, withinMilliseconds, who, why, line })
  },
  'may-wait': {
    syntax: 'may-wait KIND',
    parts: [KIND_PART],
    build: ([name], _numbers, { who, why, line }) => ({ rule: 'may-wait', kind: name, who, why, line })
  },
  'may-repeat': {
    syntax: 'may-repeat KIND',
    parts: [KIND_PART],
    build: ([name], _numbers, { who, why, line }) => ({ rule: 'may-repeat', kind: name, who, why, line })
  },
  'never-repeat': {
    syntax: 'never-repeat KIND',
    parts: [KIND_PART],
    build: ([name], _numbers, { who, why, line }) => ({ rule: 'never-repeat', kind: name, who, why, line })
  },
  undisturbed: {
    syntax: 'undisturbed KIND',
    parts: [KIND_PART],
    build: ([name], _numbers, { who, why, line }) => ({ rule: 'undisturbed', kind: name, who, why, line })
  },
  apart: {
    syntax: 'apart KIND from KIND',
    parts: [KIND_PART, createWordPart('from'), KIND_PART],
    build: ([name, otherKind], _numbers, { who, why, line }) =>
      ({ rule: 'apart', kind: name, otherKind, who, why, line })
  },
  together: {
    syntax: 'together KIND with KIND',
    parts: [KIND_PART, createWordPart('with'), KIND_PART],
    build: ([name, otherKind], _numbers, { who, why, line }) =>
      ({ rule: 'together', kind: name, otherKind, who, why, line })
  },
  team: {
    syntax: 'team NAME gets N processors, N GB, N accelerators',
    parts: [
      { part: 'name', what: 'a team' },
      createWordPart('gets'),
      createQuotaPart('a number of processors', false), createWordPart('processors', 'processor'), createWordPart(','),
      createQuotaPart('gigabytes of memory', false), createWordPart('GB'), createWordPart(','),
      createQuotaPart('a whole number of accelerators', true), createWordPart('accelerators', 'accelerator')
    ],
    build: ([team], [processors, gigabytes, accelerators], { who, why, line }) => {
      const memoryMegabytes = Math.round(gigabytes * MEGABYTES_PER_GIGABYTE)
      return { rule: 'team', team, processors, memoryMegabytes, accelerators, who, why, line }
    }
  }
}

const RULE_NAMES = Object.keys(RULE_FORMS)

/**
 * Parses the part of a line before the comment.
 * @param tokens The tokens, at least one.
 * @param origin Who asked for the rule and why, and its line.
 * @returns The rule, or the first fault of the line; later faults of the same rule would only follow from it.
 */
export function parseRule (tokens: readonly Token[], origin: RuleOrigin): Outcome<PolicyRule, PolicyFault> {
  const { line } = origin
  const first = tokens[0]
  if (!Object.hasOwn(RULE_FORMS, first.text)) {
    const expected = `a rule: ${RULE_NAMES.join(', ')}`
    return createSyntaxFailure(line, first.column, `${quote(first.text)} is not a rule`, expected, suggestClosest(first.text, RULE_NAMES))
  }
  const { syntax, parts, build } = RULE_FORMS[first.text]
  const names: string[] = []
  const numbers: number[] = []
  let end = first.column + first.text.length
  for (let position = 0; position < parts.length; position++) {
    const part = parts[position]
    const token = tokens[position + 1]
    if (token === undefined) return createSyntaxFailure(line, end, 'the rule ends too early', `${describePart(part)}, as in ${quote(syntax)}`)
    const mismatch = findMismatch(part, token.text)
    if (mismatch !== null) {
      const expected = `${describePart(part)}, as in ${quote(syntax)}`
      return createSyntaxFailure(line, token.column, mismatch.problem, expected, mismatch.suggestion)
    }
    if (part.part === 'name') names.push(token.text)
    if (part.part === 'number') numbers.push(Number(token.text))
    end = token.column + token.text.length
  }
  const extra = tokens[parts.length + 1]
  if (extra !== undefined) {
    return createSyntaxFailure(line, extra.column, `${quote(extra.text)} is more than the rule takes`, `the end of ${quote(syntax)}`)
  }
  return ok(build(names, numbers, origin))
}

/**
 * Returns the candidate that is most like a text.
 * @param text The text.
 * @param candidates What would be accepted.
 * @returns The candidate, or null when none is near.
 */
export function suggestClosest (text: string, candidates: readonly string[]): string | null {
  // Comparing a very long text takes long and can have no near candidate.
  if (candidates.length === 0 || text.length > 100) return null
  const best = closest(text, candidates)
  return distance(text, best) <= Math.max(2, Math.floor(best.length / 3)) ? best : null
}

function findMismatch (part: RulePart, text: string): { problem: string, suggestion: string | null } | null {
  switch (part.part) {
    case 'word':
      if (part.words.includes(text)) return null
      return { problem: `found ${quote(text)}`, suggestion: part.words[0] === ',' ? ',' : suggestClosest(text, part.words) }
    case 'name':
      if (NAME.test(text)) return null
      return { problem: `${quote(text)} is not a name`, suggestion: suggestName(text) }
    case 'number': {
      if (!NUMBER.test(text)) return { problem: `${quote(text)} is not a number`, suggestion: suggestNumber(text) }
      const number = Number(text)
      if (part.wholeOnly && !Number.isInteger(number)) {
        return { problem: `${quote(text)} is not a whole number`, suggestion: String(Math.ceil(number)) }
      }
      if (number >= part.least && number <= part.greatest) return null
      return { problem: `${quote(text)} is not from ${part.least} to ${part.greatest}`, suggestion: null }
    }
  }
}

function describePart (part: RulePart): string {
  if (part.part === 'word') return quote(part.words[0])
  if (part.part === 'name') return `${part.what}: a letter, then letters, digits, ".", "_" or "-"`
  return part.what
}

function suggestName (text: string): string | null {
  const name = text.replace(/^[^A-Za-z]+/, '').replace(/[^A-Za-z0-9._-]+/g, '-').slice(0, 100)
  return NAME.test(name) ? name : null
}

/** `500ms` is the most frequent slip: the unit without a space. */
function suggestNumber (text: string): string | null {
  const split = /^(\d+(?:\.\d+)?)([A-Za-z]+)$/.exec(text)
  return split === null || text.length > 100 ? null : `${split[1]} ${split[2]}`
}

function quote (text: string): string {
  return JSON.stringify(text.length > 60 ? `${text.slice(0, 60)}…` : text)
}

function createSyntaxFailure (
  line: number,
  column: number,
  problem: string,
  expected: string,
  suggestion: string | null = null
): Outcome<never, PolicyFault> {
  return failed({ kind: 'syntax', line, column, problem, expected, suggestion })
}
