import type { ResourceSize } from '../workers/WorkerProtocol.js'
import type { CompiledPolicy, TeamQuota } from '../policy/CompiledPolicy.js'
import type { Row } from '../table/TableService.js'
import type { JournalQueue, QuotaChange } from './JournalQueue.js'
import type { QuotaRow } from './JournalRecord.js'

/** The part of a quota that a shard moves at a time; 15 shards can hold a chunk each. */
const CHUNKS_PER_QUOTA = 16
const SMALLEST_CHUNK: ResourceSize = { processors: 1, memoryMegabytes: 1024, accelerators: 1 }
/** A chunk that no task needed for this long goes back. */
const IDLE_HOLDING_MILLISECONDS = 10_000
/** A team whose quota is used up elsewhere is asked for again after this time. */
const RETRY_MILLISECONDS = 1000
/** Bounds how many quota rows one batch can conflict on. */
const TEAMS_PER_BATCH = 8

const NO_RESOURCES: ResourceSize = { processors: 0, memoryMegabytes: 0, accelerators: 0 }

/** What the escrow of a shard works on. */
export interface EscrowContext {
  policy: CompiledPolicy
  configurationVersion: number
  holdings: Map<string, ResourceSize>
  journal: JournalQueue
  /** Called when a holding that tasks may use has changed. */
  onHoldingChange: (team: string, holding: ResourceSize) => void
}

/** Moves chunks of the teams' quotas between the shared rows and the holdings of one shard. */
export class QuotaEscrow {
  /** What a waiting task of a team needs beyond the holding. */
  private readonly requested = new Map<string, ResourceSize>()
  private readonly retainedHoldings = new Map<string, ResourceSize>()
  private readonly idleSince = new Map<string, number>()
  private readonly retryAt = new Map<string, number>()
  /** Teams whose row is being read or written. */
  private readonly teamsInFlight = new Set<string>()

  private constructor () {}

  /**
   * Creates the escrow of a shard.
   * @returns The escrow.
   */
  static create (): QuotaEscrow {
    return new QuotaEscrow()
  }

  /** Takes note that a task waits for more of its team's quota. */
  requestQuota (team: string, size: ResourceSize, now: number): void {
    if (this.teamsInFlight.has(team) || now < (this.retryAt.get(team) ?? 0)) return
    this.requested.set(team, size)
  }

  /** Finds holdings that have been idle, and takes them out of use so that they can be returned. */
  withholdIdleHoldings (used: ReadonlyMap<string, ResourceSize>, now: number, context: EscrowContext): void {
    for (const [team, holding] of context.holdings) {
      const chunk = getChunk(context.policy.getTeamQuota(team))
      const free = subtract(holding, used.get(team) ?? NO_RESOURCES)
      const isIdle = !this.requested.has(team) && !this.teamsInFlight.has(team) && !this.retainedHoldings.has(team) &&
        (free.processors >= chunk.processors || free.memoryMegabytes >= chunk.memoryMegabytes)
      if (!isIdle) {
        this.idleSince.delete(team)
      } else if (!this.idleSince.has(team)) {
        this.idleSince.set(team, now)
      } else if (now - this.idleSince.get(team)! >= IDLE_HOLDING_MILLISECONDS) {
        this.idleSince.delete(team)
        const kept = subtract(holding, clampToZero(free))
        this.retainedHoldings.set(team, kept)
        context.onHoldingChange(team, kept)
      }
    }
  }

  /** Returns the teams whose rows are to be read now. */
  takeTeamsToRead (now: number): string[] {
    if (this.teamsInFlight.size > 0) return []
    const teams = [...new Set([...this.requested.keys(), ...this.retainedHoldings.keys()])]
      .filter(team => now >= (this.retryAt.get(team) ?? 0)).slice(0, TEAMS_PER_BATCH)
    for (const team of teams) this.teamsInFlight.add(team)
    return teams
  }

  /** Adds the changes for rows that were read to the next batch. */
  handleRows (teams: string[], rows: Array<Row | null> | null, now: number, context: EscrowContext): void {
    teams.forEach((team, index) => {
      const change = rows === null ? null : this.createChange(team, rows[index], context)
      if (change === null) {
        this.teamsInFlight.delete(team)
        this.requested.delete(team)
        this.retryAt.set(team, now + RETRY_MILLISECONDS)
        return
      }
      const { holding, quotaChange } = change
      const onDurable = () => {
        this.teamsInFlight.delete(team)
        this.requested.delete(team)
        this.retainedHoldings.delete(team)
        context.holdings.set(team, holding)
        context.onHoldingChange(team, holding)
      }
      context.journal.append({ type: 'holding', team, holding }, onDurable, { quotaChange })
    })
  }

  /** Takes note that a change was taken out of its batch; it is tried anew with the next read. */
  handleConflict (team: string): void {
    this.teamsInFlight.delete(team)
  }

  private createChange (
    team: string,
    row: Row | null,
    context: EscrowContext
  ): { holding: ResourceSize, quotaChange: QuotaChange } | null {
    const quota = context.policy.getTeamQuota(team)
    const stored = row === null ? null : row.value as unknown as QuotaRow
    const adjusted = adjustToQuota(stored, quota, context.configurationVersion)
    if (adjusted === null) return null
    const held = context.holdings.get(team) ?? NO_RESOURCES
    const kept = this.retainedHoldings.get(team)
    const moved = kept === undefined
      ? getGrant(getChunk(quota), this.requested.get(team) ?? NO_RESOURCES, adjusted.unallocated)
      : subtract(kept, held)
    if (moved === null) return null
    const value = { ...adjusted, unallocated: subtract(adjusted.unallocated, moved) }
    return { holding: add(held, moved), quotaChange: { team, version: row?.version ?? null, value } }
  }
}

/** Brings a row to the quota of the policy in force; a row of a newer configuration is left as it is. */
function adjustToQuota (stored: QuotaRow | null, quota: TeamQuota | undefined, configurationVersion: number): QuotaRow | null {
  const total = quota === undefined ? NO_RESOURCES : pickResources(quota)
  if (stored === null) return quota === undefined ? null : { total, unallocated: total, configurationVersion }
  if (stored.configurationVersion >= configurationVersion) return stored
  const unallocated = add(stored.unallocated, subtract(total, stored.total))
  return { total, unallocated, configurationVersion }
}

/** A chunk, or as much of it as there is; null when that is too little for the task that waits. */
function getGrant (chunk: ResourceSize, needed: ResourceSize, unallocated: ResourceSize): ResourceSize | null {
  const limit = (left: number, right: number, free: number) => Math.min(Math.max(left, right), Math.max(0, free))
  const grant = mapResources(limit, chunk, needed, unallocated)
  const suffices = grant.processors >= needed.processors && grant.memoryMegabytes >= needed.memoryMegabytes &&
    grant.accelerators >= needed.accelerators
  return suffices ? grant : null
}

function getChunk (quota: TeamQuota | undefined): ResourceSize {
  if (quota === undefined) return SMALLEST_CHUNK
  return {
    processors: Math.max(quota.processors / CHUNKS_PER_QUOTA, SMALLEST_CHUNK.processors),
    memoryMegabytes: Math.max(quota.memoryMegabytes / CHUNKS_PER_QUOTA, SMALLEST_CHUNK.memoryMegabytes),
    accelerators: Math.ceil(quota.accelerators / CHUNKS_PER_QUOTA)
  }
}

function pickResources ({ processors, memoryMegabytes, accelerators }: ResourceSize): ResourceSize {
  return { processors, memoryMegabytes, accelerators }
}

function mapResources (combine: (...parts: number[]) => number, ...sizes: ResourceSize[]): ResourceSize {
  return {
    processors: combine(...sizes.map(size => size.processors)),
    memoryMegabytes: combine(...sizes.map(size => size.memoryMegabytes)),
    accelerators: combine(...sizes.map(size => size.accelerators))
  }
}

function add (left: ResourceSize, right: ResourceSize): ResourceSize {
  return mapResources((first, second) => first + second, left, right)
}

function subtract (left: ResourceSize, right: ResourceSize): ResourceSize {
  return mapResources((first, second) => first - second, left, right)
}

function clampToZero (size: ResourceSize): ResourceSize {
  return mapResources(part => Math.max(0, part), size)
}
