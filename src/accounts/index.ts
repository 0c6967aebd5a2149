export * from './AccountKeys.js'
export * from './ClientAccount.js'
export * from './decideAccess.js'
export * from './isForeignAccount.js'
