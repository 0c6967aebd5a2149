import type { ResourceSize } from '../workers/WorkerProtocol.js'
import type { CompiledPolicy, TeamQuota } from '../policy/CompiledPolicy.js'
import type { Row } from '../table/TableService.js'
import type { JournalQueue, QuotaChange } from './JournalQueue.js'
import type { QuotaRow } from './JournalRecord.js'

/** Number of chunks that a team's quota is divided into; a shard takes about one, so that 15 shards can share it. */
const CHUNKS_PER_QUOTA = 16
const SMALLEST_CHUNK: ResourceSize = { processors: 1, memoryMegabytes: 1024, accelerators: 1 }
/** A shard returns part of a holding when at least a chunk of it, or all of it, has been unused for this long. */
const IDLE_HOLDING_MILLISECONDS = 10_000
/** Delay before a shard reads a team's quota row again when it could not be read or had too little left. */
const RETRY_MILLISECONDS = 1000
/** Limits the quota rows in one batch, each of which may cause a conflict. */
const TEAMS_PER_BATCH = 8

const NO_RESOURCES: ResourceSize = { processors: 0, memoryMegabytes: 0, accelerators: 0 }

/** The owner's state that the escrow reads and updates. */
export interface EscrowContext {
  policy: CompiledPolicy
  configurationVersion: number
  holdings: Map<string, ResourceSize>
  journal: JournalQueue
  /** Called when the part of a holding that tasks may use has changed. */
  onHoldingChange: (team: string, holding: ResourceSize) => void
}

/** Moves chunks of team quotas between the shared rows `quotas/<team>` and the holdings of one shard. */
export class QuotaEscrow {
  /** The size of a waiting task that does not fit into its team's holding. */
  private readonly requested = new Map<string, ResourceSize>()
  /** The holdings that remain once idle capacity has been returned, for teams with a return in progress. */
  private readonly retainedHoldings = new Map<string, ResourceSize>()
  private readonly idleSince = new Map<string, number>()
  private readonly retryAt = new Map<string, number>()
  /** Teams whose quota row is being read or written. */
  private readonly teamsInFlight = new Set<string>()

  private constructor () {}

  /**
   * Creates the escrow of a shard.
   * @returns The escrow.
   */
  static create (): QuotaEscrow {
    return new QuotaEscrow()
  }

  /** Requests more of a team's quota for a waiting task. */
  requestQuota (team: string, size: ResourceSize, now: number): void {
    if (this.teamsInFlight.has(team) || now < (this.retryAt.get(team) ?? 0)) return
    this.requested.set(team, size)
  }

  /** Withholds capacity that has been idle from tasks, so that it can be returned to the team's quota. */
  withholdIdleHoldings (used: ReadonlyMap<string, ResourceSize>, now: number, context: EscrowContext): void {
    for (const [team, holding] of context.holdings) {
      const chunk = getChunk(context.policy.getTeamQuota(team))
      const usedByTeam = used.get(team) ?? NO_RESOURCES
      const free = subtract(holding, usedByTeam)
      // Less than a chunk remains when the last tasks were charged less than a chunk.
      const isUnused = !hasAny(usedByTeam) && hasAny(holding)
      const isIdle = !this.requested.has(team) && !this.teamsInFlight.has(team) && !this.retainedHoldings.has(team) &&
        (isUnused || free.processors >= chunk.processors || free.memoryMegabytes >= chunk.memoryMegabytes)
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

  /** Returns the teams whose quota rows must be read now, and marks them as in flight. */
  takeTeamsToRead (now: number): string[] {
    if (this.teamsInFlight.size > 0) return []
    const teams = [...new Set([...this.requested.keys(), ...this.retainedHoldings.keys()])]
      .filter(team => now >= (this.retryAt.get(team) ?? 0)).slice(0, TEAMS_PER_BATCH)
    for (const team of teams) this.teamsInFlight.add(team)
    return teams
  }

  /** Appends the changes of the quota rows that were read to the journal. */
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

  /** Handles a change that was removed from its batch after a conflict; the next read creates a new change. */
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

/** Adjusts a quota row to the current policy, unless the row stems from the same or a newer configuration. */
function adjustToQuota (
  stored: QuotaRow | null,
  quota: TeamQuota | undefined,
  configurationVersion: number
): QuotaRow | null {
  const total = quota === undefined ? NO_RESOURCES : pickResources(quota)
  if (stored === null) return quota === undefined ? null : { total, unallocated: total, configurationVersion }
  if (stored.configurationVersion >= configurationVersion) return stored
  const unallocated = add(stored.unallocated, subtract(total, stored.total))
  return { total, unallocated, configurationVersion }
}

/** Returns a chunk or what is left of it, at least the needed size; null if less than that is unallocated. */
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

function hasAny ({ processors, memoryMegabytes, accelerators }: ResourceSize): boolean {
  return processors > 0 || memoryMegabytes > 0 || accelerators > 0
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
