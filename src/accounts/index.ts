export * from './ClientAccount.js'
