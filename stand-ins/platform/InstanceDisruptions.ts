import type { EmulatedInstance, PeerFaults } from './EmulatedSite.js'
import { OverlappingSettings } from './OverlappingSettings.js'
import type { SiteFault } from './SiteFaultKind.js'
import { chooseForm, chooseNeighbours, type FaultStarters, type SiteFaultContext } from './SiteFaultContext.js'

/** How the process of an instance is kept from running. */
interface ProcessSettings {
  isDown: boolean
  hasNoPower: boolean
}

interface HostSettings extends PeerFaults {
  clockStepMilliseconds: number
}

type InstanceChoice = 'owner' | 'other' | 'last-writer' | 'target'
const STRIKES = [
  'acceptor', 'owner', 'all-killed', 'all-without-power', 'acceptor-frozen', 'acceptor-replaced'
] as const
const SHORTEST_POWER_LOSS_MILLISECONDS = 500
const STOP_MILLISECONDS = 2600
/** Time between the end of a stopped process and the start of the next one. */
const RESTART_MILLISECONDS = 900
const ROLLING_RESTART_INTERVAL_MILLISECONDS = 2000
const REPLACEMENT_MILLISECONDS = 1000
const CLOCK_STEP_MILLISECONDS = 2000
const SHORTEST_STRIKE_DELAY_MILLISECONDS = 5
const LONGEST_STRIKE_DELAY_MILLISECONDS = 400
/** How often a fault that waits for the next owner looks for one. */
const OWNER_CHECK_MILLISECONDS = 250
/** Time in which a site with a store has an owner again. */
const LONGEST_TAKEOVER_MILLISECONDS = 15_000
/** Times for which an owner leads before it is lost. */
const OWNER_DELAYS_MILLISECONDS = [0, 400, 1500]
const FIRST_ADDED_NUMBER = 100

/** The faults of the instances of a site: their processes, machines, clocks and the calls between them. */
export class InstanceDisruptions {
  /** Instances that are gone for good. */
  private readonly removed = new Set<string>()
  private readonly initialCount: number
  private addedCount = 0
  private readonly processes: OverlappingSettings<ProcessSettings>
  private readonly hosts: OverlappingSettings<HostSettings>

  private constructor (private readonly context: SiteFaultContext) {
    this.initialCount = context.site.instances.length
    this.processes = OverlappingSettings.create<ProcessSettings>({
      defaults: { isDown: false, hasNoPower: false },
      apply: (instanceId, settings) => this.applyToProcess(instanceId, settings)
    })
    this.hosts = OverlappingSettings.create<HostSettings>({
      defaults: { cutOff: false, losesCalls: false, clockStepMilliseconds: 0 },
      apply: (instanceId, { clockStepMilliseconds, ...peerFaults }) => {
        const instance = this.find(instanceId)
        if (instance === undefined) return
        Object.assign(instance.peerFaults, peerFaults)
        if (clockStepMilliseconds !== undefined) instance.process.clockStepMilliseconds = clockStepMilliseconds
      }
    })
    context.site.listeners.started.add(instance => this.hosts.reapply(getInstanceId(instance)))
  }

  /**
   * Creates the faults of a site without any.
   * @param context The site and what all of its faults share.
   * @returns The faults.
   */
  static create (context: SiteFaultContext): InstanceDisruptions {
    return new InstanceDisruptions(context)
  }

  /** How the faults of each kind are started. */
  readonly starters: FaultStarters = {
    'instance-kill': fault =>
      this.takeDown(this.choose(fault, ['owner', 'other', 'last-writer']), fault.durationMilliseconds),
    'instance-kill-all': fault => this.takeDown(this.context.site.instances, fault.durationMilliseconds),
    'instance-power-off-all': fault => this.powerOffAll(fault),
    'instance-freeze': fault => {
      if (fault.variant % 4 === 3) this.freezeAfterRenewal(fault)
      else if (fault.variant % 4 === 2) this.freeze(this.context.site.instances, fault.durationMilliseconds)
      else this.freeze(this.choose(fault, ['owner', 'other']), fault.durationMilliseconds)
    },
    'instance-suspend': fault => this.freeze(this.choose(fault, ['owner', 'target']), fault.durationMilliseconds, true),
    'instance-rolling-restart': fault => this.restartAll(fault),
    'instance-replacement': fault => {
      const [instance] = this.choose(fault, ['owner', 'owner', 'target', 'target'])
      this.replace(instance, fault.variant % 2 === 0)
    },
    'instance-addition': () => {
      if (this.context.site.instances.length >= 2 * this.initialCount) return
      this.context.lasting.begin({ affected: [this.add()], durationMilliseconds: 0, end: () => {} })
    },
    'instance-peer-cut': fault => this.setHosts(
      this.choose(fault, ['owner', 'target']),
      fault.durationMilliseconds,
      chooseForm([
        { cutOff: true, losesCalls: true }, { cutOff: true }, { losesCalls: true }
      ], Math.floor(fault.variant / 2))
    ),
    'owner-losses': fault => this.loseOwners(fault),
    'strike-after-acceptance': fault => this.strikeOnce(this.context.site.listeners.accepted, fault, () => 0),
    'strike-after-submission': fault => this.strikeOnce(
      this.context.site.listeners.submitted, fault, () => SHORTEST_STRIKE_DELAY_MILLISECONDS +
        this.context.random() * (LONGEST_STRIKE_DELAY_MILLISECONDS - SHORTEST_STRIKE_DELAY_MILLISECONDS)),
    'clock-step': fault => this.setHosts(
      this.choose(fault, ['owner', 'owner', 'target', 'target']),
      fault.durationMilliseconds,
      { clockStepMilliseconds: fault.variant % 2 === 0 ? CLOCK_STEP_MILLISECONDS : -CLOCK_STEP_MILLISECONDS }
    )
  }

  /**
   * Chooses running instances, and others where none runs.
   * @param fault The fault; its variant selects which one is the first, its target the one where several fit.
   * @param choices Which instance is the first.
   * @returns The instances.
   */
  choose (fault: SiteFault, choices: readonly InstanceChoice[]): EmulatedInstance[] {
    const { site } = this.context
    const running = site.instances.filter(({ process }) => process.isAlive())
    const instances = running.length > 0 ? running : site.instances
    const owner = site.getOwner()
    const getFirst = (): EmulatedInstance | undefined => {
      const choice = chooseForm(choices, fault.variant)
      if (choice === 'owner') return owner
      if (choice === 'last-writer') {
        return instances.reduce((last, other) => other.tables.lastWriteAt > last.tables.lastWriteAt ? other : last)
      }
      const others = choice === 'other' ? instances.filter(instance => instance !== owner) : instances
      return others[fault.target % others.length]
    }
    const first = getFirst() ?? instances[fault.target % instances.length]
    const others = instances.filter(instance => instance !== first)
    return [first, ...chooseNeighbours(others, fault.target, fault.count - 1)]
  }

  /** Kills instances, or takes their machines' power, and starts them again after a time. */
  private takeDown (instances: EmulatedInstance[], downMilliseconds: number, hasNoPower = false): void {
    const instanceIds = instances.map(getInstanceId)
    const ends = instanceIds.map(instanceId =>
      this.processes.add(instanceId, hasNoPower ? { isDown: true, hasNoPower } : { isDown: true }))
    this.context.lasting.begin({
      affected: instanceIds,
      durationMilliseconds: downMilliseconds,
      end: () => { for (const end of ends) end() }
    })
  }

  /** Takes the power of all machines, which have it again at the same time or one after the other. */
  private powerOffAll ({ durationMilliseconds, variant }: SiteFault): void {
    const { site, random } = this.context
    if (variant % 2 === 0) return this.takeDown(site.instances, durationMilliseconds, true)
    const spreadMilliseconds = Math.max(0, durationMilliseconds - SHORTEST_POWER_LOSS_MILLISECONDS)
    for (const instance of site.instances) {
      this.takeDown([instance], SHORTEST_POWER_LOSS_MILLISECONDS + random() * spreadMilliseconds, true)
    }
  }

  private applyToProcess (instanceId: string, { isDown, hasNoPower }: Partial<ProcessSettings>): void {
    const { site } = this.context
    if (this.removed.has(instanceId)) return
    if (hasNoPower === true) site.darkAddresses.add(getAddress(instanceId))
    if (hasNoPower === false) site.darkAddresses.delete(getAddress(instanceId))
    if (isDown === true) this.find(instanceId)?.process.kill()
    if (isDown === false) site.addInstance(instanceId)
  }

  private freeze (instances: EmulatedInstance[], durationMilliseconds: number, isSuspended = false): void {
    const processes = instances.map(({ process }) => process).filter(process => process.isAlive())
    for (const process of processes) {
      if (isSuspended && !process.isFrozen()) process.suspend(durationMilliseconds)
      else process.freeze(durationMilliseconds)
    }
    this.context.lasting.begin({
      affected: instances.map(getInstanceId),
      durationMilliseconds,
      end: isEarly => { if (isEarly) for (const process of processes) process.thaw() }
    })
  }

  /** Freezes the owner when its next renewal has been applied, before the response arrives. */
  private freezeAfterRenewal ({ durationMilliseconds }: SiteFault): void {
    const { site, lasting } = this.context
    const owner = site.getOwner()
    if (owner === undefined) return
    const forget = lasting.onEndAll(() => { owner.tables.onRenewal = () => {} })
    owner.tables.onRenewal = () => {
      owner.tables.onRenewal = () => {}
      forget()
      this.freeze([owner], durationMilliseconds)
    }
  }

  /** Stops instances one after the other, the owner first, and starts each again. */
  private restartAll ({ target, count }: SiteFault): void {
    const { site, lasting } = this.context
    const remaining = new Set(chooseNeighbours(site.instances, target, count).map(getInstanceId))
    const durationMilliseconds = (remaining.size - 1) * ROLLING_RESTART_INTERVAL_MILLISECONDS + STOP_MILLISECONDS
    lasting.begin({ affected: [...remaining], durationMilliseconds, end: () => {} })
    const restartNext = () => {
      const owner = site.getOwner()
      const ownerId = owner === undefined ? '' : getInstanceId(owner)
      const instanceId = remaining.has(ownerId) ? ownerId : [...remaining][0]
      remaining.delete(instanceId)
      this.restart(instanceId)
      if (remaining.size > 0) lasting.schedule(ROLLING_RESTART_INTERVAL_MILLISECONDS, restartNext)
    }
    restartNext()
  }

  private restart (instanceId: string): void {
    const stopped = this.find(instanceId)
    if (stopped?.process.isAlive() !== true) return
    stopped.instance.stop()
    this.context.lasting.begin({
      affected: [instanceId],
      durationMilliseconds: STOP_MILLISECONDS,
      end: () => { if (this.find(instanceId) === stopped) this.takeDown([stopped], RESTART_MILLISECONDS) }
    })
  }

  /** Replaces an instance for good by one at another address: a planned one starts first, another one later. */
  private replace (instance: EmulatedInstance, isPlanned: boolean): void {
    const { site, lasting } = this.context
    const instanceId = getInstanceId(instance)
    if (isPlanned) {
      this.add()
      if (instance.process.isAlive()) instance.instance.stop()
      lasting.begin({
        affected: [instanceId],
        durationMilliseconds: STOP_MILLISECONDS,
        end: () => this.remove(instanceId)
      })
      return
    }
    this.remove(instanceId)
    lasting.begin({ affected: [], durationMilliseconds: REPLACEMENT_MILLISECONDS, end: () => { this.add() } })
    if (site.instances.length === 0) this.add()
  }

  private add (): string {
    const instanceId = `instance-${FIRST_ADDED_NUMBER + this.addedCount++}`
    this.context.site.addInstance(instanceId)
    return instanceId
  }

  private remove (instanceId: string): void {
    const instance = this.find(instanceId)
    if (instance === undefined) return
    this.removed.add(instanceId)
    this.context.site.removeInstance(instance)
  }

  /** Kills the owner again each time a new one leads. */
  private loseOwners ({ count, durationMilliseconds, variant }: SiteFault): void {
    const { site, lasting } = this.context
    const delay = chooseForm(OWNER_DELAYS_MILLISECONDS, variant)
    let remaining = count
    const end = lasting.begin({
      affected: [], durationMilliseconds: count * LONGEST_TAKEOVER_MILLISECONDS, end: () => { remaining = 0 }
    })
    const awaitOwner = () => {
      if (site.getOwner() === undefined) lasting.schedule(OWNER_CHECK_MILLISECONDS, loseNext)
      else lasting.schedule(delay, lose)
    }
    const loseNext = () => { if (remaining > 0) awaitOwner() }
    const lose = () => {
      const owner = site.getOwner()
      if (remaining > 0 && owner !== undefined) {
        this.takeDown([owner], durationMilliseconds)
        remaining--
      }
      if (remaining === 0) end()
      else awaitOwner()
    }
    lose()
  }

  /** Strikes once, a time after the next call of a listener. */
  private strikeOnce (
    listeners: Set<(instance: EmulatedInstance) => void>, fault: SiteFault, getDelay: () => number
  ): void {
    const { lasting } = this.context
    const onEvent = (instance: EmulatedInstance) => {
      listeners.delete(onEvent)
      forget()
      const delay = getDelay()
      if (delay === 0) this.strike(instance, fault)
      else lasting.schedule(delay, () => this.strike(instance, fault))
    }
    const forget = lasting.onEndAll(() => { listeners.delete(onEvent) })
    listeners.add(onEvent)
  }

  private strike (acceptor: EmulatedInstance, { variant, durationMilliseconds }: SiteFault): void {
    const { site } = this.context
    const strike = chooseForm(STRIKES, variant)
    if (strike === 'acceptor-frozen') return this.freeze([acceptor], durationMilliseconds)
    if (strike === 'acceptor-replaced') return this.replace(acceptor, false)
    const struck = {
      acceptor: [acceptor],
      owner: [site.getOwner() ?? acceptor],
      'all-killed': site.instances,
      'all-without-power': site.instances
    }[strike]
    this.takeDown(struck, durationMilliseconds, strike === 'all-without-power')
  }

  /** Cuts instances off from all others, in both directions. */
  cutPeers (instances: EmulatedInstance[], durationMilliseconds: number): void {
    this.setHosts(instances, durationMilliseconds, { cutOff: true, losesCalls: true })
  }

  private setHosts (instances: EmulatedInstance[], durationMilliseconds: number, change: Partial<HostSettings>): void {
    const instanceIds = instances.map(getInstanceId)
    const ends = instanceIds.map(instanceId => this.hosts.add(instanceId, { ...change }))
    this.context.lasting.begin({
      affected: instanceIds, durationMilliseconds, end: () => { for (const end of ends) end() }
    })
  }

  private find (instanceId: string): EmulatedInstance | undefined {
    return this.context.site.instances.find(({ address }) => address === getAddress(instanceId))
  }
}

/**
 * Returns the ID of an instance.
 * @param instance The instance.
 * @returns The ID.
 */
export function getInstanceId ({ address }: EmulatedInstance): string {
  return address.split(':')[0]
}

function getAddress (instanceId: string): string {
  return `${instanceId}:1`
}
