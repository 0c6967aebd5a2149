import type { InstanceRole, ListedInstance } from './InstanceList.js'

/** What this process saw itself of an instance. */
export type Observation = 'answered' | 'connection-refused' | 'close-notice'

/** What one process tells another of an instance, with the age of what it saw. */
export interface MembershipReport {
  instanceId: string
  state: 'leaving' | 'unreachable'
  /** How long ago the reporting process saw this, in milliseconds, by its own clock. */
  ageMilliseconds: number
}

/** An instance with the state that all evidence together gives it. */
export interface Member extends ListedInstance {
  usable: boolean
  reason: 'listed' | 'listed-leaving' | 'close-notice' | 'unreachable' | 'reported'
}

interface Evidence {
  leavingAt: number | null
  unreachableAt: number | null
  answeredAt: number | null
  reportedLeavingAt: number | null
  reportedUnreachableAt: number | null
}

/** A close notice outlives the list's lag, after which the list itself says that the instance leaves or is gone. */
const LEAVING_HOLD_MILLISECONDS = 60_000
/** An instance that refused connections is tried again after this time; a restart takes about as long. */
const UNREACHABLE_HOLD_MILLISECONDS = 2000
/** Reports older than this are not taken over, so that two peers do not keep renewing each other's report. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 5000
/** An instance missing from the list stays usable this long while it answers, as the list lags. */
const UNLISTED_GRACE_MILLISECONDS = 5000

/**
 * Combines the platform's lagging list with own observations and with what peers report.
 *
 * Own observations weigh most, then reports of peers, then the list. All times are given by the caller.
 */
export class MembershipView {
  private readonly listed = new Map<string, ListedInstance>()
  private readonly missingSince = new Map<string, number>()
  private readonly evidence = new Map<string, Evidence>()
  private version = 0
  private members: Member[] | null = null
  private membersValidUntil = 0

  private constructor () {}

  /**
   * Creates a view without members.
   * @returns The view.
   */
  static create (): MembershipView {
    return new MembershipView()
  }

  /**
   * Takes over the platform's list.
   * @param instances All instances of the list.
   * @param now The monotonic time in milliseconds.
   */
  applyList (instances: readonly ListedInstance[], now: number): void {
    const present = new Set<string>()
    for (const instance of instances) {
      present.add(instance.instanceId)
      const known = this.listed.get(instance.instanceId)
      if (known !== undefined && known.address !== instance.address) this.evidence.delete(instance.instanceId)
      this.listed.set(instance.instanceId, instance)
      this.missingSince.delete(instance.instanceId)
    }
    for (const instanceId of this.listed.keys()) {
      if (present.has(instanceId)) continue
      const since = this.missingSince.get(instanceId) ?? now
      this.missingSince.set(instanceId, since)
      if (now - since > UNLISTED_GRACE_MILLISECONDS) this.remove(instanceId)
    }
    this.members = null
  }

  /**
   * Notes what this process saw of an instance.
   * @param instanceId The instance.
   * @param observation What was seen.
   * @param now The monotonic time in milliseconds.
   */
  observe (instanceId: string, observation: Observation, now: number): void {
    const evidence = this.evidence.get(instanceId)
    if (observation === 'answered') {
      if (evidence === undefined) return
      if (evidence.unreachableAt !== null || evidence.reportedUnreachableAt !== null) this.members = null
      evidence.answeredAt = now
      evidence.unreachableAt = null
      evidence.reportedUnreachableAt = null
      return
    }
    const updated = evidence ?? this.addEvidence(instanceId)
    if (observation === 'close-notice') updated.leavingAt = now
    else updated.unreachableAt = now
    this.members = null
  }

  /**
   * Takes over what a peer saw.
   * @param reports The reports of the peer.
   * @param now The monotonic time in milliseconds.
   */
  applyReports (reports: readonly MembershipReport[], now: number): void {
    for (const report of reports) {
      if (report.ageMilliseconds > MAXIMUM_REPORT_AGE_MILLISECONDS || !this.listed.has(report.instanceId)) continue
      const evidence = this.evidence.get(report.instanceId) ?? this.addEvidence(report.instanceId)
      const seenAt = now - Math.max(0, report.ageMilliseconds)
      if (report.state === 'leaving') {
        evidence.reportedLeavingAt = Math.max(evidence.reportedLeavingAt ?? -Infinity, seenAt)
      } else if (evidence.answeredAt === null || evidence.answeredAt < seenAt) {
        evidence.reportedUnreachableAt = Math.max(evidence.reportedUnreachableAt ?? -Infinity, seenAt)
      }
      this.members = null
    }
  }

  /**
   * Lists what this process saw itself, for its peers.
   * @param now The monotonic time in milliseconds.
   * @returns Own observations that are recent enough to be taken over.
   */
  getReports (now: number): MembershipReport[] {
    const reports: MembershipReport[] = []
    for (const [instanceId, { leavingAt, unreachableAt }] of this.evidence) {
      for (const [state, at] of [['leaving', leavingAt], ['unreachable', unreachableAt]] as const) {
        if (at !== null && now - at <= MAXIMUM_REPORT_AGE_MILLISECONDS) {
          reports.push({ instanceId, state, ageMilliseconds: now - at })
        }
      }
    }
    return reports
  }

  /**
   * Lists all members of a role.
   * @param role The role.
   * @param now The monotonic time in milliseconds.
   * @returns The members, usable or not, in the order of their identifiers.
   */
  getMembers (role: InstanceRole, now: number): Member[] {
    return this.evaluateMembers(now).filter(member => member.role === role)
  }

  /**
   * Returns a number that grows whenever the state of a member may have changed.
   * @param now The monotonic time in milliseconds.
   * @returns The number.
   */
  getVersion (now: number): number {
    this.evaluateMembers(now)
    return this.version
  }

  private evaluateMembers (now: number): Member[] {
    if (this.members !== null && now < this.membersValidUntil) return this.members
    this.membersValidUntil = Infinity
    this.members = [...this.listed.values()]
      .map(instance => this.evaluateMember(instance, now))
      .sort((left, right) => left.instanceId < right.instanceId ? -1 : 1)
    this.version++
    return this.members
  }

  private evaluateMember (instance: ListedInstance, now: number): Member {
    const evidence = this.evidence.get(instance.instanceId)
    if (this.isInEffect(evidence?.leavingAt, LEAVING_HOLD_MILLISECONDS, now)) {
      return { ...instance, usable: false, reason: 'close-notice' }
    }
    if (this.isInEffect(evidence?.unreachableAt, UNREACHABLE_HOLD_MILLISECONDS, now)) {
      return { ...instance, usable: false, reason: 'unreachable' }
    }
    if (instance.state === 'leaving') return { ...instance, usable: false, reason: 'listed-leaving' }
    const reported = this.isInEffect(evidence?.reportedLeavingAt, LEAVING_HOLD_MILLISECONDS, now) ||
      this.isInEffect(evidence?.reportedUnreachableAt, UNREACHABLE_HOLD_MILLISECONDS, now)
    return { ...instance, usable: !reported, reason: reported ? 'reported' : 'listed' }
  }

  private isInEffect (at: number | null | undefined, holdMilliseconds: number, now: number): boolean {
    if (at === null || at === undefined || now - at >= holdMilliseconds) return false
    this.membersValidUntil = Math.min(this.membersValidUntil, at + holdMilliseconds)
    return true
  }

  private addEvidence (instanceId: string): Evidence {
    const evidence: Evidence = {
      leavingAt: null, unreachableAt: null, answeredAt: null, reportedLeavingAt: null, reportedUnreachableAt: null
    }
    this.evidence.set(instanceId, evidence)
    return evidence
  }

  private remove (instanceId: string): void {
    this.listed.delete(instanceId)
    this.missingSince.delete(instanceId)
    this.evidence.delete(instanceId)
  }
}
