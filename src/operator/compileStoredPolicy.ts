import { CompiledPolicy } from '../policy/CompiledPolicy.js'
import { parsePolicy } from '../policy/parsePolicy.js'

/**
 * Compiles the policy text of a configuration, which was checked when it was accepted.
 * @param text The policy text.
 * @returns The policy, or an empty policy when this version of the checker rejects a text that an older one accepted.
 */
export function compileStoredPolicy (text: string): CompiledPolicy {
  const parsed = parsePolicy(text)
  return parsed.kind === 'ok' ? parsed.value : CompiledPolicy.create([])
}
