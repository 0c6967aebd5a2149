export * from './CompiledPolicy.js'
export type { PolicyCheckOptions } from './checkRules.js'
export * from './parsePolicy.js'
export * from './PolicyFault.js'
