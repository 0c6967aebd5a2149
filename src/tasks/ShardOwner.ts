import type { Configuration } from '../configuration/Configuration.js'
import { DETACHED_OWNER_WAIT_MILLISECONDS } from '../leases/WorkerLease.js'
import type { ListedInstance } from '../membership/InstanceList.js'
import type { CompiledPolicy } from '../policy/CompiledPolicy.js'
import type { CancelOutcome } from '../scheduler/SchedulerApi.js'
import type { ResourceSize } from '../workers/WorkerProtocol.js'
import type { Row } from '../table/TableService.js'
import { dispatch, hasCandidates } from './dispatch.js'
import { exchangeWorkers, expireStarts, PROOF_AFTER_WRITE_MILLISECONDS } from './exchangeWorkers.js'
import { handleExchangeOutcome } from './handleExchangeOutcome.js'
import { handleJournalOutcome } from './handleJournalOutcome.js'
import type { InboxEntry } from './JournalRecord.js'
import { drain, transferTasks } from './moveTasks.js'
import { OwnerCore, type OwnerOptions } from './OwnerCore.js'
import type { OwnerEffect, OwnerMessage } from './ownerMessages.js'
import type { EscrowContext } from './QuotaEscrow.js'
import type { ShardSnapshot } from './ShardState.js'
import { isEnded, isPlaced } from './taskMachine.js'

/** A lost notice of a new job costs at most this time. */
const INBOX_POLL_MILLISECONDS = 1000
const HOUSEKEEPING_MILLISECONDS = 1000
/** A proof of this age is renewed while the start that needs one is being journalled. */
const MAX_PROOF_AGE_MILLISECONDS = 500

/**
 * The owner of one shard as a pure step: state, message and time give effects.
 *
 * The state is updated in place; the step reads no clock and opens no socket.
 */
export class ShardOwner {
  /** Whether a scan is under way or its rows are not yet gone. */
  private inboxBusy = false
  private inboxScanning = false
  private inboxRowsPending = 0
  private nextInboxScan: number
  private nextHousekeeping: number
  private batchesSinceSnapshot = 0
  private snapshotInFlight = false
  private pendingSnapshot: { sequence: number, snapshot: ShardSnapshot } | null = null

  private constructor (readonly core: OwnerCore) {
    this.nextInboxScan = core.options.now
    this.nextHousekeeping = core.options.now + HOUSEKEEPING_MILLISECONDS
  }

  /**
   * Creates the owner of a shard whose journal has been read after the takeover.
   * @param options The recovered state and the surroundings.
   * @returns The owner.
   */
  static create (options: OwnerOptions): ShardOwner {
    const core = OwnerCore.create(options)
    for (const worker of core.state.workers.values()) {
      worker.lease.recordEarlierOwnerStopped(options.now + DETACHED_OWNER_WAIT_MILLISECONDS)
    }
    for (const task of core.state.tasks.values()) {
      if (task.state === 'waiting') core.queue.add(task)
      else if (isPlaced(task.state) && task.worker !== null) {
        core.engine.restore(core.getPlacementRequest(task), task.worker.workerId, task.reserved!, options.now)
      }
    }
    for (const [team, holding] of core.state.holdings) core.engine.setTeamHolding(team, holding)
    return new ShardOwner(core)
  }

  /**
   * Handles one message.
   * @param message What happened.
   * @param now The monotonic time.
   * @returns What is to be done.
   */
  step (message: OwnerMessage, now: number): OwnerEffect[] {
    if (this.core.dropped) return []
    this.handle(message, now)
    if (!this.core.dropped) this.runDueActions(now)
    const { effects } = this.core
    this.core.effects = []
    return effects
  }

  /**
   * Returns when the owner is to be woken if nothing happens before.
   * @param now The monotonic time.
   * @returns The monotonic time of the next wake message.
   */
  getNextWake (now: number): number {
    let next = Math.min(this.nextHousekeeping, this.inboxBusy ? Infinity : this.nextInboxScan)
    const { core } = this
    if (core.journal.pending.length > 0 || core.journal.inFlight !== null || hasCandidates(core, now)) {
      next = Math.min(next, core.journal.getNextWriteAt())
    }
    if (core.stopping) return next
    for (const worker of core.state.workers.values()) {
      if (!worker.inFlight) next = Math.min(next, worker.nextExchangeAt)
    }
    return next
  }

  private handle (message: OwnerMessage, now: number): void {
    const { core } = this
    switch (message.kind) {
      case 'wake': return
      case 'lease-renewed':
        core.leaseRenewedAt = Math.max(core.leaseRenewedAt, message.renewedAt)
        return
      case 'journal-settled': return this.handleJournalSettled(message, now)
      case 'exchanged': {
        const worker = core.state.workers.get(message.workerId)
        if (worker !== undefined) handleExchangeOutcome(core, worker, message.sent, message.outcome, now)
        return
      }
      case 'inbox-changed':
        this.nextInboxScan = now
        return
      case 'inbox-scanned': return this.acceptRows(message.rows, now)
      case 'quotas-read': return core.quotas.handleRows(message.teams, message.rows, now, this.createEscrowContext())
      case 'checkpoint-looked-up': return this.requeueLostTask(message, now)
      case 'workers-listed': return this.listWorkers(message.workers, now)
      case 'configuration': return this.applyConfiguration(message.configuration, message.policy, now)
      case 'other-shards':
        core.otherShards = message.shards
        return
      case 'cancel': return this.cancel(message.taskId, message.answer, now)
      case 'snapshot-written':
        this.snapshotInFlight = false
        if (message.written) this.batchesSinceSnapshot = 0
        return
      case 'earlier-owners-stopped':
        for (const worker of core.state.workers.values()) worker.lease.recordEarlierOwnerStopped(now)
        return this.recordEarlierOwnersStopped()
      case 'stop':
        core.stopping = true
    }
  }

  /** Does everything that is due after a message. */
  private runDueActions (now: number): void {
    const { core } = this
    if (now >= this.nextHousekeeping) this.runHousekeeping(now)
    if (core.workersChanged) this.updateEngineWorkers()
    if (!this.inboxBusy && now >= this.nextInboxScan && !core.stopping) {
      this.inboxBusy = true
      this.inboxScanning = true
      core.effects.push({ kind: 'scan-inbox' })
    }
    const teams = core.quotas.takeTeamsToRead(now)
    if (teams.length > 0) core.effects.push({ kind: 'read-quotas', teams })
    if (now >= core.journal.getNextWriteAt()) this.writeJournal(now)
    exchangeWorkers(core, now)
    if (core.stopping && core.journal.inFlight === null && core.journal.pending.length === 0) {
      core.effects.push({ kind: 'stopped' })
    }
  }

  private writeJournal (now: number): void {
    const { core } = this
    if (core.journal.inFlight === null) {
      dispatch(core, now)
      if (core.isOutOfService) transferTasks(core, now)
    }
    const batch = core.journal.beginWrite(now)
    if (batch === null) return
    for (const { record } of batch.entries) {
      if (record?.type !== 'start') continue
      const task = core.state.tasks.get(record.taskId)
      if (task === undefined || task.attempt !== record.attempt || task.worker === null) continue
      task.latestProofReceipt = batch.sentAt + PROOF_AFTER_WRITE_MILLISECONDS
      const proof = task.worker.lease.getProof()
      if (proof === null || now - proof.receivedAt > MAX_PROOF_AGE_MILLISECONDS) core.requestExchange(task.worker, now)
    }
    // Holdings in memory change only when they are durable, so a batch that changes one is passed over.
    const isSnapshotDue = this.batchesSinceSnapshot >= core.rules.batchesPerSnapshot && !this.snapshotInFlight &&
      batch.entries.every(entry => entry.rows?.quotaChange === undefined)
    if (isSnapshotDue && core.journal.pending.length === 0 && this.pendingSnapshot === null) {
      // Nothing is pending now, so the memory is what the journal gives up to and with this batch.
      this.pendingSnapshot = { sequence: batch.sequence, snapshot: core.state.createSnapshot(core.engine.exportLearned()) }
    }
    core.effects.push({ kind: 'write-journal', batch, dataCentreVersion: core.dataCentreVersion })
  }

  private handleJournalSettled (message: Extract<OwnerMessage, { kind: 'journal-settled' }>, now: number): void {
    const { core } = this
    const batch = core.journal.inFlight
    const kind = handleJournalOutcome(core, message.outcome, now)
    if (kind === 'amended') this.pendingSnapshot = null
    if (kind !== 'committed' || batch === null) return
    this.batchesSinceSnapshot++
    this.inboxRowsPending -= batch.entries.filter(entry => entry.rows?.inboxRow !== undefined).length
    if (this.inboxRowsPending === 0 && !this.inboxScanning) this.inboxBusy = false
    if (this.pendingSnapshot?.sequence !== batch.sequence) return
    this.snapshotInFlight = true
    core.effects.push({ kind: 'write-snapshot', ...this.pendingSnapshot })
    this.pendingSnapshot = null
  }

  /** The next scan begins only when these rows are gone, so that no row is accepted twice. */
  private acceptRows (rows: Row[] | null, now: number): void {
    const { core } = this
    this.nextInboxScan = Math.max(this.nextInboxScan, now + INBOX_POLL_MILLISECONDS)
    this.inboxScanning = false
    if (rows === null || rows.length === 0 || core.stopping) {
      this.inboxBusy = false
      return
    }
    this.inboxRowsPending += rows.length
    for (const { key, version, value } of rows) {
      const entry = value as unknown as InboxEntry
      core.journal.append({ type: 'accepted', key, entry }, undefined, { inboxRow: { key, version } })
      for (const task of core.state.accept(entry, now)) {
        core.queue.add(task)
        core.counters.accepted++
      }
    }
    // More rows may wait than one scan returns.
    this.nextInboxScan = now
  }

  private cancel (taskId: string, answer: (outcome: CancelOutcome) => void, now: number): void {
    const { core } = this
    const respond = (outcome: CancelOutcome) => core.effects.push({ kind: 'answer', run: () => answer(outcome) })
    const accepted = () => { respond({ kind: 'accepted' }) }
    const task = core.state.tasks.get(taskId)
    if (task === undefined) {
      respond({ kind: 'not-found' })
    } else if (isEnded(task.state)) {
      respond({ kind: 'already-ended', state: task.state })
    } else if (task.state === 'cancelling') {
      core.journal.append(null, accepted)
    } else if (task.state === 'waiting') {
      core.end(task, 'cancelled', now, accepted)
    } else {
      core.state.advance(task, 'cancel', now)
      core.evicting.delete(task)
      core.journal.append({ type: 'cancel', taskId }, accepted)
      if (task.startPhase === 'durable') core.end(task, 'cancelled', now)
      else if (task.startPhase !== 'journalling') core.requestStop(task, now)
    }
  }

  private requeueLostTask (message: Extract<OwnerMessage, { kind: 'checkpoint-looked-up' }>, now: number): void {
    const { core } = this
    const task = core.state.tasks.get(message.taskId)
    if (task === undefined || !task.isLost || task.attempt !== message.attempt) return
    if (message.checkpoint === 'unavailable') {
      // Housekeeping looks it up again.
      task.isLost = false
      if (task.worker !== null && task.worker.isReconciled && task.worker.consecutiveFailures === 0) task.worker.reconcileAt = now
      return
    }
    core.requeue(task, message.checkpoint, now)
  }

  private listWorkers (listed: ListedInstance[], now: number): void {
    const { core } = this
    const present = new Set<string>()
    for (const { instanceId, address, dataCentre, rack, capacity, state } of listed) {
      if (dataCentre !== core.options.dataCentre || capacity === undefined) continue
      present.add(instanceId)
      const known = { workerId: instanceId, address, dataCentre, rack, capacity }
      const worker = core.state.getOrAddWorker(known, { mayBeLeased: true })
      if (worker.address !== address) worker.journalled = false
      if (worker.listed !== state) core.workersChanged = true
      Object.assign(worker, known, { listed: state })
      if (worker.nextExchangeAt === 0) worker.nextExchangeAt = now
    }
    for (const worker of core.state.workers.values()) {
      if (present.has(worker.workerId)) continue
      worker.listed = 'absent'
      if (worker.tasks.size > 0 || worker.inFlight || worker.consecutiveFailures === 0) continue
      core.state.workers.delete(worker.workerId)
    }
  }

  private updateEngineWorkers (): void {
    const { core } = this
    core.workersChanged = false
    core.capacityVersion++
    core.engine.setWorkers([...core.state.workers.values()].filter(worker => core.isReady(worker))
      .map(({ workerId, dataCentre, rack, capacity }) => ({ workerId, dataCentre, rack, capacity })))
  }

  private applyConfiguration (configuration: Configuration, policy: CompiledPolicy, now: number): void {
    const { core } = this
    const formerlyQuarantined = core.configuration.quarantinedWorkers
    core.configuration = configuration
    core.policy = policy
    core.engine.setPolicy(policy)
    core.queue.setUrgency(kind => core.isUrgent(kind))
    for (const { name, state } of configuration.dataCentres) {
      core.engine.setDataCentreState(name, state)
      if (name === core.options.dataCentre) setOutOfService(core, state === 'out', now)
    }
    const quarantined = new Set(configuration.quarantinedWorkers)
    for (const workerId of formerlyQuarantined) {
      if (!quarantined.has(workerId)) core.engine.setWorkerHealth(workerId, 'healthy', now)
    }
    for (const workerId of quarantined) core.engine.setWorkerHealth(workerId, 'quarantined', now)
    core.capacityVersion++
  }

  private runHousekeeping (now: number): void {
    const { core } = this
    this.nextHousekeeping = now + HOUSEKEEPING_MILLISECONDS
    const declaredLost = new Set(core.configuration.lostWorkers)
    const isDataCentreLost = core.configuration.dataCentres
      .some(dataCentre => dataCentre.name === core.options.dataCentre && dataCentre.lost)
    for (const worker of core.state.workers.values()) {
      expireStarts(core, worker, now)
      if (worker.tasks.size === 0 || (worker.isReconciled && worker.consecutiveFailures === 0)) continue
      const isLost = isDataCentreLost || declaredLost.has(worker.workerId) || !core.rules.waitForLeaseEnd ||
        worker.lease.hasExpired(now)
      if (isLost) for (const task of [...worker.tasks]) core.handleLostRun(task, now)
    }
    const workers = [...core.state.workers.values()]
    if (workers.length > 0 && workers.every(worker => worker.isReconciled)) this.recordEarlierOwnersStopped()
    drain(core, now)
    if (!core.isOutOfService) transferTasks(core, now)
    core.quotas.withholdIdleHoldings(this.getUsedByTeam(), now, this.createEscrowContext())
  }

  /** Spares later owners the question whether owners before this one still renew leases. */
  private recordEarlierOwnersStopped (): void {
    const { state, journal, options: { epoch } } = this.core
    if (state.stoppedEpoch >= epoch - 1) return
    state.stoppedEpoch = epoch - 1
    journal.append({ type: 'earlier-owners-stopped', epoch: epoch - 1 })
  }

  private getUsedByTeam (): Map<string, ResourceSize> {
    const used = new Map<string, ResourceSize>()
    for (const worker of this.core.state.workers.values()) {
      for (const task of worker.tasks) {
        const sum = used.get(task.job.team) ?? { processors: 0, memoryMegabytes: 0, accelerators: 0 }
        // A team is charged at most what it declared, even when more is reserved for what was learned.
        sum.processors += Math.min(task.reserved!.processors, task.job.size.processors)
        sum.memoryMegabytes += Math.min(task.reserved!.memoryMegabytes, task.job.size.memoryMegabytes)
        sum.accelerators += Math.min(task.reserved!.accelerators, task.job.size.accelerators)
        used.set(task.job.team, sum)
      }
    }
    return used
  }

  private createEscrowContext (): EscrowContext {
    const { core } = this
    return {
      policy: core.policy,
      configurationVersion: core.configuration.version,
      holdings: core.state.holdings,
      journal: core.journal,
      onHoldingChange: (team, holding) => {
        core.engine.setTeamHolding(team, holding)
        core.capacityVersion++
      }
    }
  }
}

/** Sets whether the data centre of the shard is out of service. */
export function setOutOfService (core: OwnerCore, isOutOfService: boolean, now: number): void {
  if (core.isOutOfService && !isOutOfService) {
    core.returnedAt = now
    core.startsSinceReturn = 0
  }
  core.isOutOfService = isOutOfService
  core.engine.setDataCentreState(core.options.dataCentre, isOutOfService ? 'out' : 'in-service')
  core.capacityVersion++
}
