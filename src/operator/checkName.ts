import { suggestClosest } from '../policy/parseRule.js'
import { failed, ok, type Outcome } from '../shared/Outcome.js'
import type { OperatorFailure } from './OperatorFailure.js'

/**
 * Checks a name against the instance list, so that a slip of the keyboard changes nothing.
 * @param nameType What is named, for example `data centre`.
 * @param name The name.
 * @param listedNames All names, null when the instance list is not configured.
 * @returns The name, or a failure with the nearest name.
 */
export function checkName (
  nameType: string,
  name: string,
  listedNames: readonly string[] | null
): Outcome<string, OperatorFailure> {
  if (listedNames === null || listedNames.includes(name)) return ok(name)
  const nearest = suggestClosest(name, [...new Set(listedNames)])
  return failed({
    code: 'refused',
    message: `the instance list names no ${nameType} ${name}; nothing was changed`,
    next: nearest === null
      ? 'check the name; leave --instance-list-url out to do without this check'
      : `did you mean ${nearest}? Leave --instance-list-url out to do without this check`
  })
}
