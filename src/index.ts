/**
 * The coordination components of papayamoor, for embedding in other programs.
 *
 * All durations are in milliseconds. An operation that can fail in an expected way returns a union that is
 * discriminated by `kind`, such as `Outcome` or `TransactionOutcome`; only violated invariants throw. `index.test.ts`
 * has a short example of each component.
 */

/** Clocks, of which tests use `VirtualClock`, and the shared types for logging and outcomes. */
export { SystemClock, type CancelTimer, type Clock } from './shared/Clock.js'
export { VirtualClock } from './shared/VirtualClock.js'
export { createLogger, silentLogger, type LogFields, type Logger } from './shared/Logger.js'
export { failed, ok, type Failed, type Ok, type Outcome } from './shared/Outcome.js'
export type { JsonValue } from './shared/JsonValue.js'

/** The table service client, and a writer that determines the outcome of a write whose response was lost. */
export { HttpTableService, type HttpTableServiceOptions } from './table/HttpTableService.js'
export { SettledWriter, type Marker, type SettleOptions } from './table/SettledWriter.js'
export type {
  Condition, ObjectStore, Operation, ReadOutcome, Row, RowKey, ScanOptions, TableService, Transaction,
  TransactionOutcome
} from './table/TableService.js'

/** A shard lease whose epoch serves as the fencing token. */
export {
  ShardLease, HEARTBEAT_INTERVAL_MILLISECONDS, SHARD_LEASE_MILLISECONDS, TAKEOVER_WAIT_MILLISECONDS,
  type Fence, type ShardLeaseOptions, type ShardSummary
} from './leases/ShardLease.js'
export type { ShardLeaseState } from './leases/shardLeaseMachine.js'

/** The versioned configuration; the version that a process has in force never decreases. */
export {
  ConfigurationWriter, type AcceptedChange, type ChangeFailure, type ChangeOrigin, type ConfigurationBase,
  type ConfigurationWriterOptions
} from './configuration/ConfigurationWriter.js'
export { VersionedConfiguration, type VersionedConfigurationOptions } from './configuration/VersionedConfiguration.js'
export type { Configuration, ConfigurationSource, DataCentreSetting } from './configuration/Configuration.js'
export type { ConfigurationChange } from './configuration/ConfigurationChange.js'
export type { ConfigurationPeer } from './configuration/ConfigurationPeer.js'
export type { AuditRecord } from './audit/AuditRecord.js'

/** A view of which instances are usable, from the instance list (which lags), local observations and peer reports. */
export { MembershipView, type Member, type MembershipReport, type Observation } from './membership/MembershipView.js'
export type { InstanceRole, ListedInstance } from './membership/InstanceList.js'

/** Limits on retries and on concurrent requests. */
export { RetryBudget, type RetryBudgetOptions } from './routing/RetryBudget.js'
export { ConcurrencyLimit } from './routing/ConcurrencyLimit.js'
