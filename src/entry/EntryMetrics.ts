import { Counter, Gauge, Histogram, Registry } from 'prom-client'

const OUTCOMES = ['answered', 'notRun', 'unknown'] as const
const DURATION_BUCKETS_SECONDS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10]

/** The metrics of one entry instance; every label has a bounded set of values. */
export class EntryMetrics {
  readonly registry = new Registry()
  readonly requests = this.createCounter('requests_total', 'Requests of callers by outcome', ['outcome', 'class'])
  readonly notRun = this.createCounter('not_run_total', 'Requests that did not run by reason', ['reason'])
  readonly rejected = this.createCounter('rejected_total', 'Requests rejected by a hard limit', ['limit'])
  readonly attempts = this.createCounter('attempts_total', 'Attempts at upstreams by result', ['result'])
  readonly retries = this.createCounter('retries_total', 'Attempts after the first one', ['reason'])
  readonly borrowed = this.createCounter('slots_borrowed_total', 'Slots asked of peers by result', ['result'])
  readonly ejections = this.createCounter('ejections_total', 'Upstreams ejected by reason', ['reason'])
  readonly linkBytes = this.createCounter('link_bytes_total', 'Bytes sent and received over the link', [])
  readonly claims = this.createCounter('claims_total', 'Idempotency keys claimed by result', ['result'])
  readonly queued = this.createGauge('queued_requests', 'Requests that wait for a slot')
  readonly inFlight = this.createGauge('in_flight_requests', 'Requests of callers in flight')
  readonly duration: Histogram<'outcome'>

  private constructor () {
    this.duration = new Histogram({
      name: 'papayamoor_entry_request_duration_seconds',
      help: 'Time from the request to its outcome',
      labelNames: ['outcome'],
      buckets: DURATION_BUCKETS_SECONDS,
      registers: [this.registry]
    })
    for (const outcome of OUTCOMES) {
      this.requests.inc({ outcome, class: 'urgent' }, 0)
      this.requests.inc({ outcome, class: 'may-wait' }, 0)
    }
  }

  /**
   * Creates the metrics with a registry of their own.
   * @returns The metrics.
   */
  static create (): EntryMetrics {
    return new EntryMetrics()
  }

  private createCounter<Label extends string> (name: string, help: string, labelNames: Label[]): Counter<Label> {
    return new Counter({ name: `papayamoor_entry_${name}`, help, labelNames, registers: [this.registry] })
  }

  private createGauge (name: string, help: string): Gauge {
    return new Gauge({ name: `papayamoor_entry_${name}`, help, registers: [this.registry] })
  }
}
