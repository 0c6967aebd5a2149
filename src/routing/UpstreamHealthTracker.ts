import { stepMachine } from '../shared/stepMachine.js'
import { upstreamHealthMachine, type UpstreamHealth } from './upstreamHealthMachine.js'

/** Why an upstream was ejected. */
export type EjectionReason = 'failing' | 'slow' | 'refusing-connections'

/** What an attempt says of its upstream. */
export type HealthSample =
  | { kind: 'answered', workKind: string, milliseconds: number }
  | { kind: 'failed' }
  | { kind: 'refused-connection' }
  /** The attempt is not answered yet after this time. */
  | { kind: 'late', workKind: string, milliseconds: number }

interface HealthRecord {
  state: UpstreamHealth
  failures: number
  /** Smoothed latency as a multiple of what is typical for the kind of work. */
  latencyRatio: number
  latencySamples: number
  ejectedUntil: number
  ejections: number
  stateSince: number
}

/** Single failures happen; three in a row do not at a healthy upstream. */
const FAILURES_TO_EJECT = 3
/** Ordinary variation of service times stays below this multiple. */
const SLOW_LATENCY_MULTIPLE = 3
const MINIMUM_LATENCY_SAMPLES = 4
const LATENCY_RATIO_WEIGHT = 0.3
const TYPICAL_LATENCY_WEIGHT = 0.02
const TYPICAL_LATENCY_HALF_LIFE_MILLISECONDS = 1000
/** One very slow answer moves the typical latency by at most this multiple, so that it stays a typical one. */
const TYPICAL_LATENCY_CLAMP_MULTIPLE = 3
const FIRST_EJECTION_MILLISECONDS = 1000
const MAXIMUM_EJECTION_MILLISECONDS = 30_000
/** Load doubles after each step: 1, 2, 4 and then all slots. */
const READMISSION_STEP_MILLISECONDS = 500
const READMISSION_STEPS = 4
/** Without repeatable work to probe with, any work is used after this time. */
const UNREPEATABLE_PROBE_DELAY_MILLISECONDS = 5000
/** More than half ejected points to a common cause, which ejection does not cure. */
const MAXIMUM_EJECTED_SHARE = 0.5

/** Judges upstreams by the attempts of this process and limits how many slots of each may be used. */
export class UpstreamHealthTracker {
  private readonly records = new Map<string, HealthRecord>()
  private readonly typicalLatencies = new Map<string, { milliseconds: number, updatedAt: number }>()
  private ejectedCount = 0

  private constructor (private readonly onEject: (upstreamId: string, reason: EjectionReason) => void) {}

  /**
   * Creates a board on which every upstream is healthy.
   * @param options Called at each ejection.
   * @returns The board.
   */
  static create (options: { onEject: (upstreamId: string, reason: EjectionReason) => void }): UpstreamHealthTracker {
    return new UpstreamHealthTracker(options.onEject)
  }

  /**
   * Sets the upstreams that are judged; the share that may be ejected is of these.
   * @param upstreamIds The upstreams of all services.
   */
  setUpstreams (upstreamIds: readonly string[]): void {
    const known = new Set(upstreamIds)
    for (const [upstreamId, record] of this.records) {
      if (known.has(upstreamId)) continue
      if (record.state !== 'healthy') this.ejectedCount--
      this.records.delete(upstreamId)
    }
    for (const upstreamId of known) if (!this.records.has(upstreamId)) this.records.set(upstreamId, createRecord())
  }

  /**
   * Notes what an attempt showed.
   * @param upstreamId The upstream.
   * @param sample What was seen.
   * @param now The monotonic time in milliseconds.
   */
  recordSample (upstreamId: string, sample: HealthSample, now: number): void {
    const record = this.records.get(upstreamId)
    if (record === undefined) return
    if (sample.kind === 'failed' || sample.kind === 'refused-connection') {
      record.failures++
      const ejectsImmediately = sample.kind === 'refused-connection' || record.state !== 'healthy'
      if (ejectsImmediately || record.failures >= FAILURES_TO_EJECT) {
        this.eject(upstreamId, record, sample.kind === 'failed' ? 'failing' : 'refusing-connections', now)
      }
      return
    }
    this.recordLatency(upstreamId, record, sample, now)
  }

  /**
   * Returns how many slots of an upstream may be used now.
   * @param upstreamId The upstream.
   * @param slots All its slots.
   * @param mayRepeat Whether the work may be repeated; only such work is used for a probe at first.
   * @param now The monotonic time in milliseconds.
   * @returns A number from 0 to `slots`.
   */
  getAllowedSlots (upstreamId: string, slots: number, mayRepeat: boolean, now: number): number {
    const record = this.records.get(upstreamId)
    if (record === undefined || record.state === 'healthy') return slots
    this.advanceByTime(record, now)
    switch (record.state) {
      case 'ejected': return 0
      case 'probing': return mayRepeat || now - record.stateSince > UNREPEATABLE_PROBE_DELAY_MILLISECONDS ? 1 : 0
      case 'readmitting': return Math.min(slots, 2 ** Math.floor((now - record.stateSince) / READMISSION_STEP_MILLISECONDS))
      default: return slots
    }
  }

  /**
   * Returns the state of an upstream.
   * @param upstreamId The upstream.
   * @returns The state; an upstream without record is healthy.
   */
  getState (upstreamId: string): UpstreamHealth {
    return this.records.get(upstreamId)?.state ?? 'healthy'
  }

  /**
   * Returns the latency that is typical for a kind of work. Without answers it is halved every second, so that
   * requests are let through again that were refused because of a latency of the past.
   * @param workKind The kind.
   * @param now The monotonic time in milliseconds.
   * @returns Milliseconds, or undefined before the first answer.
   */
  getTypicalLatencyMilliseconds (workKind: string, now: number): number | undefined {
    const latency = this.typicalLatencies.get(workKind)
    if (latency === undefined) return undefined
    return latency.milliseconds * 2 ** -Math.floor((now - latency.updatedAt) / TYPICAL_LATENCY_HALF_LIFE_MILLISECONDS)
  }

  private recordLatency (
    upstreamId: string,
    record: HealthRecord,
    sample: HealthSample & { kind: 'answered' | 'late' },
    now: number
  ): void {
    const typical = this.typicalLatencies.get(sample.workKind)?.milliseconds ?? sample.milliseconds
    const ratio = sample.milliseconds / Math.max(typical, 0.1)
    if (sample.kind === 'answered') {
      record.failures = 0
      const clamped = Math.min(sample.milliseconds, typical * TYPICAL_LATENCY_CLAMP_MULTIPLE)
      this.typicalLatencies.set(sample.workKind, {
        milliseconds: typical + TYPICAL_LATENCY_WEIGHT * (clamped - typical), updatedAt: now
      })
    } else if (ratio < SLOW_LATENCY_MULTIPLE) {
      return
    }
    record.latencySamples++
    record.latencyRatio += LATENCY_RATIO_WEIGHT * (ratio - record.latencyRatio)
    const isSlow = record.latencyRatio > SLOW_LATENCY_MULTIPLE && record.latencySamples >= MINIMUM_LATENCY_SAMPLES
    if (record.state === 'probing') {
      if (ratio > SLOW_LATENCY_MULTIPLE) this.eject(upstreamId, record, 'slow', now)
      else this.transition(record, 'succeed', now)
    } else if (record.state !== 'ejected' && isSlow) {
      this.eject(upstreamId, record, 'slow', now)
    }
  }

  private eject (upstreamId: string, record: HealthRecord, reason: EjectionReason, now: number): void {
    if (record.state === 'ejected') return
    const limit = Math.floor(this.records.size * MAXIMUM_EJECTED_SHARE)
    if (record.state === 'healthy') {
      if (this.ejectedCount >= limit) return
      this.ejectedCount++
    }
    this.transition(record, 'eject', now)
    record.ejections++
    record.ejectedUntil = now +
      Math.min(MAXIMUM_EJECTION_MILLISECONDS, FIRST_EJECTION_MILLISECONDS * 2 ** (record.ejections - 1))
    this.onEject(upstreamId, reason)
  }

  private advanceByTime (record: HealthRecord, now: number): void {
    if (record.state === 'ejected' && now >= record.ejectedUntil) this.transition(record, 'probe', now)
    if (record.state === 'readmitting' && now - record.stateSince >= READMISSION_STEP_MILLISECONDS * READMISSION_STEPS) {
      this.transition(record, 'complete', now)
      this.ejectedCount--
      record.ejections = 0
    }
  }

  private transition (record: HealthRecord, event: string, now: number): void {
    const next = stepMachine(upstreamHealthMachine, record.state, event)
    if (next === undefined) return
    record.state = next
    record.stateSince = now
    record.failures = 0
    if (next === 'readmitting' || next === 'ejected') {
      record.latencyRatio = 1
      record.latencySamples = 0
    }
  }
}

function createRecord (): HealthRecord {
  return { state: 'healthy', failures: 0, latencyRatio: 1, latencySamples: 0, ejectedUntil: 0, ejections: 0, stateSince: 0 }
}
