import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JsonValue } from '../../src/shared/JsonValue.js'
import { getInboxTable, getJournalTable, QUOTA_TABLE } from '../../src/tasks/JournalRecord.js'
import { MemoryTableService } from '../../stand-ins/table-service/MemoryTableService.js'
import { RunLog } from '../../stand-ins/workers/RunLog.js'
import { InvariantChecker } from './InvariantChecker.js'

const QUOTA_PROCESSORS = 10

/** A checker of a store and a run log that the test fills. */
class CheckedCluster {
  readonly store = MemoryTableService.create({ wait: async () => {} })
  readonly runLog = RunLog.create()
  readonly checker = InvariantChecker.create({ runLog: this.runLog, now: () => 0 })
  private sequence = 0

  constructor () {
    this.checker.quotaProcessors = QUOTA_PROCESSORS
    this.checker.watchTransactions(this.store)
  }

  async submit (jobId: string, processors: number): Promise<void> {
    const size = createSize(processors)
    const job = { jobId, team: 'team', kind: 'draft', size, dataCentre: null, payload: null }
    await this.put([{ table: getInboxTable('dc-a'), key: jobId, value: { kind: 'job', job, count: 9 } }])
  }

  run (taskId: string, reservedProcessors: number): void {
    this.runLog.add({
      taskId,
      attempt: 1,
      kind: 'draft',
      workerId: taskId,
      dataCentre: 'dc-a',
      size: createSize(reservedProcessors),
      startedAt: 0,
      endedAt: null,
      ending: null
    })
  }

  async moveQuota (shardId: string, held: number, unallocated: number): Promise<void> {
    const records = [{ type: 'holding', team: 'team', holding: createSize(held) }]
    const quota = {
      total: createSize(QUOTA_PROCESSORS), unallocated: createSize(unallocated), configurationVersion: 1
    }
    await this.put([
      { table: getJournalTable(shardId), key: String(this.sequence++), value: { writeId: 'w', epoch: 1, records } },
      { table: QUOTA_TABLE, key: 'team', value: quota }
    ])
  }

  check (): string[] {
    this.checker.check(new Map())
    return this.checker.violations.map(({ kind }) => kind)
  }

  private async put (rows: Array<{ table: string, key: string, value: JsonValue }>): Promise<void> {
    const condition = { kind: 'any' as const }
    const operations = rows.map(row => ({ kind: 'put' as const, ...row, condition }))
    assert.equal((await this.store.transact({ operations })).kind, 'committed')
  }
}

function createSize (processors: number) {
  return { processors, memoryMegabytes: 1000, accelerators: 0 }
}

test('a team with more reserved than declared is not over its quota', async () => {
  const cluster = new CheckedCluster()
  await cluster.submit('narrow', 2)
  await cluster.submit('wide', 3)
  for (const taskId of ['narrow-0', 'wide-0']) cluster.run(taskId, 4)
  for (const taskId of ['narrow-1', 'narrow-2']) cluster.run(taskId, 1.374)
  assert.deepEqual(cluster.check(), [])
})

test('a team whose tasks are charged more than its quota is over its quota', async () => {
  const cluster = new CheckedCluster()
  await cluster.submit('narrow', 2)
  for (const index of [0, 1, 2, 3, 4]) cluster.run(`narrow-${index}`, 4)
  assert.deepEqual(cluster.check(), [])
  cluster.run('narrow-5', 0.001)
  assert.deepEqual(cluster.check(), ['over-quota'])
})

test('a run of a job without a known declared size is charged what is reserved', () => {
  const cluster = new CheckedCluster()
  cluster.run('unknown-0', QUOTA_PROCESSORS + 0.001)
  assert.deepEqual(cluster.check(), ['over-quota'])
})

test('a grant that the unallocated rest does not pay for violates the sum of the quota', async () => {
  const cluster = new CheckedCluster()
  await cluster.moveQuota('dc-a', 4, 6)
  await cluster.moveQuota('dc-b', 5, 1)
  await cluster.moveQuota('dc-a', 0, 5)
  assert.deepEqual(cluster.check(), [])
  await cluster.moveQuota('dc-a', 1, 5)
  assert.deepEqual(cluster.check(), ['quota-sum'])
})
