export * from './AuditRecord.js'
export * from './AuditLog.js'
