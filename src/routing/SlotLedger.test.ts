import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { getTestSeed } from '../shared/testSeed.js'
import { chooseHome } from './chooseHome.js'
import { SlotLedger, type UpstreamSite } from './SlotLedger.js'

const sites: UpstreamSite[] = ['u1', 'u2', 'u3'].map(upstreamId => ({
  upstreamId, service: 's', address: upstreamId, dataCentre: upstreamId === 'u3' ? 'b' : 'a', region: 'r', slots: 2
}))

type Ledger = Pick<SlotLedger, 'setUpstreams' | 'take' | 'release' | 'lend' | 'takeBack' | 'expire'>

const commands = fastCheck.array(fastCheck.record({
  kind: fastCheck.constantFrom('take', 'lend', 'release', 'take-back', 'take-back-again', 'expire', 'move'),
  choice: fastCheck.nat()
}), { maxLength: 80 })

/** Plays commands next to a naive count per upstream and checks that no upstream is used beyond its slots. */
function checkCounts (createLedger: () => Ledger): void {
  fastCheck.assert(fastCheck.property(commands, list => {
    const ledger = createLedger()
    ledger.setUpstreams(sites)
    const used = new Map(sites.map(site => [site.upstreamId, 0]))
    const own: string[] = []
    const lent: Array<{ leaseId: string, upstreamId: string }> = []
    const ended: string[] = []
    let homes = sites
    const change = (upstreamId: string, by: number) => used.set(upstreamId, used.get(upstreamId)! + by)
    for (const { kind, choice } of list) {
      if (kind === 'move') ledger.setUpstreams(homes = sites.filter((_, index) => (choice >> index) % 2 === 0))
      if (kind === 'take' || kind === 'lend') {
        const site = ledger.take({ service: 's', dataCentre: 'a', avoided: [], getAllowedSlots: () => 2 })
        const isFull = homes.every(home => used.get(home.upstreamId)! >= home.slots)
        assert.equal(site === null, isFull, 'a slot is given exactly when one is free')
        if (site === null) continue
        change(site.upstreamId, 1)
        if (kind === 'take') own.push(site.upstreamId)
        else lent.push({ leaseId: ledger.lend(site.upstreamId, 100), upstreamId: site.upstreamId })
      }
      if (kind === 'release' && own.length > 0) {
        const [upstreamId] = own.splice(choice % own.length, 1)
        ledger.release(upstreamId)
        change(upstreamId, -1)
      }
      if (kind === 'take-back' && lent.length > 0) {
        const [{ leaseId, upstreamId }] = lent.splice(choice % lent.length, 1)
        ledger.endLease(leaseId)
        ended.push(leaseId)
        change(upstreamId, -1)
      }
      if (kind === 'take-back-again' && ended.length > 0) ledger.endLease(ended[choice % ended.length])
      if (kind === 'expire') {
        ledger.expireLeases(101)
        lent.splice(0).forEach(({ leaseId, upstreamId }) => { ended.push(leaseId); change(upstreamId, -1) })
      }
      for (const site of sites) assert.ok(used.get(site.upstreamId)! <= site.slots, 'an upstream is used beyond its slots')
    }
  }), { seed: getTestSeed(), numRuns: 500, includeErrorInReport: true })
}

test('slots are counted exactly through loans, lost returns, double returns and moves of homes', () => {
  checkCounts(() => SlotLedger.create({ leasePrefix: 'l' }))
})

test('the proof catches a ledger that forgets slots in use when a home moves', () => {
  assert.throws(() => checkCounts(() => {
    let ledger = SlotLedger.create({ leasePrefix: 'l' })
    return {
      setUpstreams: homes => { ledger = SlotLedger.create({ leasePrefix: 'l' }); ledger.setUpstreams(homes) },
      take: options => ledger.take(options),
      release: upstreamId => { try { ledger.release(upstreamId) } catch {} },
      lend: (upstreamId, expiresAt) => ledger.lend(upstreamId, expiresAt),
      endLease: leaseId => ledger.endLease(leaseId),
      expireLeases: now => ledger.expireLeases(now)
    }
  }), /slot/)
})

test('the same data centre comes first, and its full upstreams are passed over', () => {
  const ledger = SlotLedger.create({ leasePrefix: 'l' })
  ledger.setUpstreams(sites)
  const options = { service: 's', dataCentre: 'a', avoided: [], getAllowedSlots: () => 2 }
  const taken = Array.from({ length: 7 }, () => ledger.take(options)?.dataCentre ?? null)
  assert.deepEqual(taken, ['a', 'a', 'a', 'a', 'b', 'b', null])
})

test('when an entry instance goes, only its upstreams get another home', () => {
  const upstreams = Array.from({ length: 200 }, (_, index) => `u${index}`)
  const entries = ['e1', 'e2', 'e3', 'e4']
  for (const upstreamId of upstreams) {
    const before = chooseHome(upstreamId, entries)
    const after = chooseHome(upstreamId, entries.slice(1))
    if (before !== 'e1') assert.equal(after, before)
  }
  for (const entry of entries) {
    const share = upstreams.filter(upstreamId => chooseHome(upstreamId, entries) === entry).length / upstreams.length
    assert.ok(share > 0.15 && share < 0.35, `${entry} is home of ${share}`)
  }
})
