import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AuditRecord } from '../audit/AuditRecord.js'
import { EMPTY_CONFIGURATION, type Configuration } from '../configuration/Configuration.js'
import type { TaskReport } from '../scheduler/SchedulerApi.js'
import { explainTask } from './explainTask.js'

const report: TaskReport = {
  taskId: 't-1',
  jobId: 'j-1',
  team: 'dossiers',
  kind: 'dossier-draft',
  state: 'running',
  attempt: 1,
  shardId: 's',
  workerId: 'w-1',
  dataCentre: 'south-a',
  reason: null,
  history: []
}
const configuration: Configuration = {
  ...EMPTY_CONFIGURATION,
  dataCentres: [{ name: 'south-a', state: 'out', lost: false }],
  quarantinedWorkers: ['w-1']
}

const moved: TaskReport = { ...report, workerId: 'w-2', dataCentre: 'south-b', attempt: 2 }
const changes = ['2026-12-04T08:59:58.000Z', '2026-12-04T09:30:00.000Z'].map((at, version): AuditRecord => ({
  writeId: 'w',
  operator: 'hanh',
  at,
  kind: 'data-centre-take-out',
  reason: 'cooling',
  fromVersion: version,
  toVersion: version + 1,
  summary: 'south-a out',
  subject: 'south-a'
}))

const cases: Array<{ name: string, report: TaskReport, expected: string[] }> = [
  {
    name: 'a running task names its place, and that its data centre is out and its worker quarantined',
    report: { ...report, history: [{ at: '', state: 'running', reason: 'no-capacity' }] },
    expected: [
      'it runs on w-1 in south-a: it had room there, and the rules of its kind allow it',
      'south-a is out of service, so its tasks are moved',
      'an operator quarantined w-1; running tasks stay there'
    ]
  },
  {
    name: 'a task that can never run gives the reason',
    report: { ...report, state: 'waiting', workerId: null, dataCentre: null, reason: 'team-without-quota' },
    expected: ['it waits because the policy gives its team no quota, so it can never run']
  },
  {
    name: 'a move without a recorded reason names the take-out that preceded it, and not a later one',
    report: { ...moved, history: [{ at: '2026-12-04T09:00:00.000Z', state: 'evicting', reason: '' }] },
    expected: [
      'it runs on w-2 in south-b: it had room there, and the rules of its kind allow it',
      'it was moved at 2026-12-04T09:00:00.000Z: south-a out at 2026-12-04T08:59:58.000Z (hanh: cooling)'
    ]
  },
  {
    name: 'a task that was transferred to another shard names the cause of its move',
    report: { ...moved, history: [{ at: '2026-12-04T09:00:10.000Z', state: 'waiting', reason: '' }] },
    expected: [
      'it runs on w-2 in south-b: it had room there, and the rules of its kind allow it',
      'this is attempt 2; it was moved here at 2026-12-04T09:00:10.000Z: south-a out at 2026-12-04T08:59:58.000Z (hanh: cooling)'
    ]
  },
  {
    name: 'a move that no change explains lists the possible causes',
    report: { ...moved, history: [{ at: '2026-12-04T08:00:00.000Z', state: 'evicting', reason: '' }] },
    expected: [
      'it runs on w-2 in south-b: it had room there, and the rules of its kind allow it',
      'it was moved at 2026-12-04T08:00:00.000Z: the reason was not recorded, and no change of an operator explains it; possible causes: urgent work needed the room, or the worker failed or was overloaded'
    ]
  },
  {
    name: 'a failed task gives the reason of its last transition',
    report: { ...report, state: 'failed', workerId: null, dataCentre: null, history: [{ at: '', state: 'failed', reason: 'exit code 3' }] },
    expected: ['it has ended (failed): exit code 3']
  }
]

for (const { name, report, expected } of cases) {
  test(`explain: ${name}`, () => assert.deepEqual(explainTask(report, configuration, changes).because, expected))
}
