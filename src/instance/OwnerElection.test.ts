import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { LimitedStore } from '../../stand-ins/platform/LimitedStore.js'
import { EPOCH_STEP } from '../dispatch/index.js'
import { SHARD_HEARTBEAT_TABLE, SHARD_TABLE, type HeartbeatRow, type ShardRow } from '../leases/ShardLease.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { TableService } from '../table/TableService.js'
import { OwnerElection, type InstanceResources, type Takeover } from './OwnerElection.js'
import type { OwnerPeer } from './OwnerPeer.js'
import { LEASE_RENEWAL_LIMIT_MILLISECONDS, TASK_START_LIMIT_MILLISECONDS } from './ownerTimeLimits.js'

/** Interval at which processes probe an owner. */
const PROBE_MILLISECONDS = 400
/** The row of the shard held some 1,140 such owners before it exceeded a row of the store. */
const UNRELEASED_OWNERS = 1200

test('a shard that many owners have not released can be taken over, and its row does not grow', async () => {
  const clock = VirtualClock.create(1000)
  const store = LimitedStore.create()
  const epoch = UNRELEASED_OWNERS + 1
  const shard: ShardRow = {
    owner: 'a',
    address: '10.0.0.1:1',
    region: 'south',
    epoch,
    writeId: 'a',
    earlier: Array.from({ length: UNRELEASED_OWNERS }, (_, index) => ({ epoch: index + 1, address: '10.0.0.1:17001' })),
    assignmentsStoredSince: 1
  }
  const heartbeat: HeartbeatRow = { owner: 'a', epoch, beat: 0, summary: null, released: false }
  for (const [table, value] of [[SHARD_TABLE, shard], [SHARD_HEARTBEAT_TABLE, heartbeat]] as const) {
    store.put({ table, key: 'site', value: value as unknown as JsonValue })
  }
  const election = OwnerElection.create({
    shardId: 'site',
    instanceId: 'b',
    address: '10.0.0.2:1',
    region: 'south',
    tableService: store.client,
    peer: { probe: async () => ({ kind: 'refused' }) } as unknown as OwnerPeer,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    resources: { processors: 1, linkMegabitsPerSecond: 1000 },
    random: () => 0,
    onAcquired: () => {},
    onEarlierOwnerStopped: () => {},
    onDeposed: () => {}
  })
  election.run()
  await clock.advance(10_000)
  assert.equal(election.isOwner(), true)
  const row = store.getRow({ table: SHARD_TABLE, key: 'site' })?.value as unknown as ShardRow
  assert.deepEqual([row.owner, row.epoch, row.earlier], ['b', epoch + EPOCH_STEP, []])
  await election.stop()
})

test('a third owner waits for the renewals of a first one that its short-lived predecessor could not reach', async () => {
  const clock = VirtualClock.create(1000)
  const store = LimitedStore.create()
  const shard: ShardRow = { owner: 'a', address: '10.0.0.1:1', region: 'south', epoch: 1, writeId: 'a', earlier: [] }
  const heartbeat: HeartbeatRow = { owner: 'a', epoch: 1, beat: 0, summary: null, released: false }
  for (const [table, value] of [[SHARD_TABLE, shard], [SHARD_HEARTBEAT_TABLE, heartbeat]] as const) {
    store.put({ table, key: 'site', value: value as unknown as JsonValue })
  }
  const lastRenewalAt = clock.monotonicMilliseconds()
  const takeovers: Takeover[] = []
  const createElection = (instanceId: string, address: string) => OwnerElection.create({
    shardId: 'site',
    instanceId,
    address,
    region: 'south',
    tableService: store.client,
    peer: { probe: async () => ({ kind: 'silent', reason: 'timeout' }) } as unknown as OwnerPeer,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    resources: { processors: 1, linkMegabitsPerSecond: 1000 },
    random: () => 0,
    onAcquired: takeover => { takeovers.push(takeover) },
    onEarlierOwnerStopped: () => {},
    onDeposed: () => {}
  })
  const second = createElection('b', '10.0.0.2:1')
  second.run()
  while (!second.isOwner()) await clock.advance(100)
  await second.stop()
  const third = createElection('c', '10.0.0.3:1')
  third.run()
  while (!third.isOwner()) await clock.advance(100)
  const { earlierRenewalsEndAt, earlierStartsEndAt } = takeovers[1]
  const renewalsEndAt = lastRenewalAt + LEASE_RENEWAL_LIMIT_MILLISECONDS
  assert.ok(renewalsEndAt > clock.monotonicMilliseconds())
  assert.ok(earlierRenewalsEndAt !== null && earlierRenewalsEndAt >= renewalsEndAt)
  assert.ok(earlierStartsEndAt !== null && earlierStartsEndAt >= lastRenewalAt + TASK_START_LIMIT_MILLISECONDS)
  await third.stop()
})

/** Stores the rows of an owner at 10.0.0.1 that has not released the shard. */
function putOwner (store: LimitedStore, epoch: number, earlier: Partial<ShardRow> = {}): void {
  const shard: ShardRow = {
    owner: 'a',
    address: '10.0.0.1:1',
    region: 'south',
    epoch,
    writeId: 'a',
    earlier: [],
    earlierRenewalsMilliseconds: 0,
    ...earlier
  }
  const heartbeat: HeartbeatRow = { owner: 'a', epoch, beat: 0, summary: null, released: false }
  for (const [table, value] of [[SHARD_TABLE, shard], [SHARD_HEARTBEAT_TABLE, heartbeat]] as const) {
    store.put({ table, key: 'site', value: value as unknown as JsonValue })
  }
}

interface CandidateOptions {
  clock: VirtualClock
  store: LimitedStore
  address: string
  probe: OwnerPeer['probe']
  /** The client of the store; by default, one without faults. */
  tableService?: TableService
  /** By default, those of a process that waits for longer than others before it tries to become owner. */
  resources?: InstanceResources
}

const FEW_RESOURCES: InstanceResources = { processors: 0, linkMegabitsPerSecond: 1 }
const AMPLE_RESOURCES: InstanceResources = { processors: 1.35, linkMegabitsPerSecond: 140 }

/** Runs an election in one process. */
function runCandidate (
  { clock, store, address, probe, resources = FEW_RESOURCES, tableService = store.client }: CandidateOptions
) {
  const takeovers: Takeover[] = []
  const stops: number[] = []
  const election = OwnerElection.create({
    shardId: 'site',
    instanceId: 'b',
    address,
    region: 'south',
    tableService,
    peer: { probe } as unknown as OwnerPeer,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    resources,
    random: () => 0,
    onAcquired: takeover => { takeovers.push(takeover) },
    onEarlierOwnerStopped: renewalsEndAt => { stops.push(renewalsEndAt) },
    onDeposed: () => {}
  })
  election.run()
  return { election, takeovers, stops }
}

test('the renewals of an owner that was found to have stopped count until then, not until the takeover', async () => {
  const clock = VirtualClock.create(1000)
  const store = LimitedStore.create()
  putOwner(store, 1)
  const probedAt: number[] = []
  const { election, takeovers } = runCandidate({
    clock,
    store,
    address: '10.0.0.2:1',
    probe: async () => {
      probedAt.push(clock.monotonicMilliseconds())
      return { kind: 'refused' }
    }
  })
  await clock.advance(5000)
  await election.stop()
  assert.equal(probedAt.length, 2)
  assert.deepEqual(takeovers.map(takeover => takeover.earlierRenewalsEndAt), [probedAt[1]])
})

test('the renewals of an earlier process at the own address count until the start of this process', async () => {
  const clock = VirtualClock.create(1000)
  const store = LimitedStore.create()
  putOwner(store, 1)
  const startedAt = clock.monotonicMilliseconds()
  const { election, takeovers } = runCandidate({
    clock, store, address: '10.0.0.1:1', probe: async () => ({ kind: 'refused' })
  })
  await clock.advance(5000)
  await election.stop()
  assert.deepEqual(takeovers.map(takeover => takeover.earlierRenewalsEndAt), [startedAt])
})

for (const refusalCount of [0, 2]) {
  const title = `an owner that acquires the shard after a probe of its address keeps it, with ${refusalCount} refused probes`
  test(title, async () => {
    const clock = VirtualClock.create(1000)
    const store = LimitedStore.create()
    putOwner(store, 1)
    let probeCount = 0
    const { election, takeovers } = runCandidate({
      clock,
      store,
      address: '10.0.0.2:1',
      probe: async () => {
        probeCount++
        if (probeCount < refusalCount) return { kind: 'refused' }
        if (probeCount > Math.max(1, refusalCount)) return { kind: 'alive', isOwner: true, renewalAge: 0 }
        // Another process at the address starts and acquires the shard before the rows are read.
        putOwner(store, 2)
        return refusalCount > 0 ? { kind: 'refused' } : { kind: 'alive', isOwner: false, renewalAge: 1e9 }
      }
    })
    await clock.advance(5000)
    await election.stop()
    assert.ok(probeCount > refusalCount)
    assert.deepEqual(takeovers, [])
  })
}

test('the renewals of a silent owner count until it has given up the shard after a takeover', async () => {
  const clock = VirtualClock.create(1000)
  const store = LimitedStore.create()
  putOwner(store, 1)
  const answersFrom = 6000
  const { election, takeovers, stops } = runCandidate({
    clock,
    store,
    address: '10.0.0.2:1',
    probe: async () => clock.monotonicMilliseconds() < answersFrom
      ? { kind: 'silent', reason: 'timeout' }
      : { kind: 'alive', isOwner: false, renewalAge: 1e9 }
  })
  await clock.advance(8000)
  await election.stop()
  assert.equal(takeovers.length, 1)
  assert.ok(takeovers[0].earlierRenewalsEndAt > answersFrom + PROBE_MILLISECONDS)
  assert.equal(stops.length, 1)
  assert.ok(stops[0] >= answersFrom && stops[0] <= answersFrom + PROBE_MILLISECONDS, `stopped at ${stops[0]} ms`)
})

for (const { earlier, isKnown } of [
  { earlier: [{ epoch: 1, address: '10.0.0.9:1' }], isKnown: true },
  { earlier: [], isKnown: false }
]) {
  const title = `a third owner ${isKnown ? 'probes' : 'waits for'} a first one whose address is ${isKnown ? '' : 'not '}stored`
  test(title, async () => {
    const clock = VirtualClock.create(1000)
    const store = LimitedStore.create()
    putOwner(store, 2, { earlier, earlierRenewalsMilliseconds: 4000 })
    const probed = new Set<string>()
    const { election, takeovers, stops } = runCandidate({
      clock,
      store,
      address: '10.0.0.2:1',
      probe: async address => {
        probed.add(address)
        return { kind: 'refused' }
      }
    })
    await clock.advance(8000)
    const row = store.getRow({ table: SHARD_TABLE, key: 'site' })?.value as unknown as ShardRow
    await election.stop()
    assert.deepEqual(takeovers.map(({ earlierRenewalsEndAt }) => earlierRenewalsEndAt > 1000 + 4000), [true])
    assert.deepEqual(row.earlier, earlier)
    assert.equal(probed.has('10.0.0.9:1'), isKnown)
    assert.equal(stops.length, isKnown ? 1 : 0)
    if (isKnown) assert.ok(stops[0] < takeovers[0].earlierRenewalsEndAt)
  })
}

/** Time between two renewals of an owner. */
const RENEWAL_INTERVAL_MILLISECONDS = 700
const LAST_RENEWAL_AT = 8000

/** Plays an owner that answers probes and stops renewing; one of its probes by the small candidate is lost before. */
async function playStaleOwner (lostProbeFrom: number): Promise<{ winner: string, at: number }> {
  const clock = VirtualClock.create(1000)
  const store = LimitedStore.create()
  putOwner(store, 1)
  let renewedAt = clock.monotonicMilliseconds()
  const probeOwner: OwnerPeer['probe'] = async () =>
    ({ kind: 'alive', isOwner: true, renewalAge: clock.monotonicMilliseconds() - renewedAt })
  const isLost = (): boolean => {
    const now = clock.monotonicMilliseconds()
    return now >= lostProbeFrom && now < lostProbeFrom + PROBE_MILLISECONDS
  }
  const large = runCandidate({ clock, store, address: '10.0.0.2:1', probe: probeOwner, resources: AMPLE_RESOURCES })
  const small = runCandidate({
    clock,
    store,
    address: '10.0.0.3:1',
    probe: async address => isLost() ? { kind: 'silent', reason: 'timeout' } : await probeOwner(address)
  })
  for (let beat = 1; renewedAt < LAST_RENEWAL_AT; beat++) {
    await clock.advance(RENEWAL_INTERVAL_MILLISECONDS)
    renewedAt = clock.monotonicMilliseconds()
    const heartbeat: HeartbeatRow = { owner: 'a', epoch: 1, beat, summary: null, released: false }
    store.put({ table: SHARD_HEARTBEAT_TABLE, key: 'site', value: heartbeat as unknown as JsonValue })
  }
  while (large.takeovers.length + small.takeovers.length === 0) await clock.advance(10)
  const winner = large.takeovers.length > 0 ? 'large' : 'small'
  for (const { election } of [large, small]) await election.stop()
  return { winner, at: clock.monotonicMilliseconds() - renewedAt }
}

// LOST: a machine with few resources became owner before those whose probes were answered, and kept the shard.
for (const lostProbeFrom of [7800, 8100, 8400]) {
  test(`a lost probe at ${lostProbeFrom} ms gives a small machine no start before the others`, async () => {
    const { winner, at } = await playStaleOwner(lostProbeFrom)
    assert.equal(winner, 'large', `after ${at} ms`)
  })
}

const NEXT_OWNER_AT = 2500
const STORE_ANSWERS_FROM = 5000

// LOST: candidates that tried to follow an earlier owner for 5 s let smaller machines go first when the store answered.
test('a candidate whose takeover gets no answer learns of the next owner, and follows it when it fails', async () => {
  const clock = VirtualClock.create(1000)
  const store = LimitedStore.create()
  putOwner(store, 1)
  const { client } = store
  const isAway = () => clock.monotonicMilliseconds() < STORE_ANSWERS_FROM
  const { election, takeovers } = runCandidate({
    clock,
    store,
    address: '10.0.0.2:1',
    resources: AMPLE_RESOURCES,
    tableService: {
      ...client,
      transact: async transaction => isAway()
        ? { kind: 'unavailable', reason: 'store answered 503' }
        : await client.transact(transaction)
    },
    probe: async address => address === '10.0.0.1:1'
      ? { kind: 'refused' }
      : { kind: 'alive', isOwner: true, renewalAge: clock.monotonicMilliseconds() - NEXT_OWNER_AT }
  })
  await clock.advance(NEXT_OWNER_AT - 1000)
  putOwner(store, 2, { address: '10.0.0.9:1' })
  await clock.advance(STORE_ANSWERS_FROM + 1000 - NEXT_OWNER_AT)
  await election.stop()
  assert.equal(takeovers.length, 1)
})
