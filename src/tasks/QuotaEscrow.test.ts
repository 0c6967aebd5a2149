import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CompiledPolicy } from '../policy/CompiledPolicy.js'
import type { JsonValue } from '../shared/JsonValue.js'
import type { Row } from '../table/TableService.js'
import type { ResourceSize } from '../workers/WorkerProtocol.js'
import { JournalQueue } from './JournalQueue.js'
import { QUOTA_TABLE, type QuotaRow } from './JournalRecord.js'
import { QuotaEscrow, type EscrowContext } from './QuotaEscrow.js'

const QUOTA = { processors: 10, memoryMegabytes: 102_400, accelerators: 0 }
const NOTHING = { processors: 0, memoryMegabytes: 0, accelerators: 0 }
const POLICY = CompiledPolicy.create([{ rule: 'team', team: 'team', ...QUOTA, who: 'test', why: 'test', line: 1 }])
const HOUSEKEEPING_MILLISECONDS = 1000
/** Longer than a holding must be idle before it is returned. */
const LONGEST_RETURN_MILLISECONDS = 15_000

/** The escrow of a shard that holds part of a quota, and the quota's row. */
class Shard {
  now = 0
  row: QuotaRow
  version = 1
  readonly escrow = QuotaEscrow.create()
  readonly context: EscrowContext

  constructor (holding: ResourceSize) {
    const unallocated = {
      processors: QUOTA.processors - holding.processors,
      memoryMegabytes: QUOTA.memoryMegabytes - holding.memoryMegabytes,
      accelerators: 0
    }
    this.row = { total: QUOTA, unallocated, configurationVersion: 1 }
    this.context = {
      policy: POLICY,
      configurationVersion: 1,
      holdings: new Map([['team', holding]]),
      journal: JournalQueue.create({ lastSequence: 0 }),
      onHoldingChange: () => {}
    }
  }

  /** Runs the housekeeping of a shard whose tasks use a constant part of the quota. */
  advance (durationMilliseconds: number, used: ResourceSize): void {
    for (const end = this.now + durationMilliseconds; this.now < end;) {
      this.now += HOUSEKEEPING_MILLISECONDS
      this.escrow.withholdIdleHoldings(new Map([['team', used]]), this.now, this.context)
      const teams = this.escrow.takeTeamsToRead(this.now)
      if (teams.length === 0) continue
      const row: Row = {
        table: QUOTA_TABLE, key: 'team', version: this.version, value: this.row as unknown as JsonValue
      }
      this.escrow.handleRows(teams, [row], this.now, this.context)
      this.writeJournal()
    }
  }

  private writeJournal (): void {
    const batch = this.context.journal.beginWrite(this.now)
    if (batch === null) return
    for (const { rows, onDurable } of batch.entries) {
      this.row = rows!.quotaChange!.value
      this.version++
      onDurable?.(this.now)
    }
    this.context.journal.commit()
  }
}

test('a holding smaller than a chunk is returned once its shard uses nothing of the quota', () => {
  const shard = new Shard({ processors: 2, memoryMegabytes: 12_800, accelerators: 0 })
  const used = { processors: 0.954, memoryMegabytes: 700, accelerators: 0 }
  shard.advance(LONGEST_RETURN_MILLISECONDS, used)
  assert.deepEqual(shard.context.holdings.get('team'), used)
  shard.advance(LONGEST_RETURN_MILLISECONDS, NOTHING)
  assert.deepEqual(shard.row.unallocated, QUOTA)
  assert.deepEqual(shard.context.holdings.get('team'), NOTHING)
  const versionAfterReturn = shard.version
  shard.advance(LONGEST_RETURN_MILLISECONDS, NOTHING)
  assert.equal(shard.version, versionAfterReturn)
})
