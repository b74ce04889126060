import { build, type Histogram } from 'hdr-histogram-js'
import { Counter, Gauge, Registry } from 'prom-client'
import type { DispatchEndKind, RequestKind } from 'dotterelspur'
import type { GatewayErrorKind } from '../request/CallerResponse.js'
import type { RequestReport } from '../request/AdmittedRequest.js'

/** Requests of less urgent ranks are counted together, so that the label's set of values stays closed. */
const HIGHEST_RANK_LABEL = 9

const PREFIX = 'dotterelspur_gateway_'
/** Keeps gauges out of the process-wide default registry. */
const NO_REGISTER: Registry[] = []
const QUANTILES: readonly number[] = [0.5, 0.95, 0.99]
const HIGHEST_TRACKABLE_MS = 600_000
const SIGNIFICANT_DIGITS = 2

/** The gateway's metrics; every label has a closed set of values. */
export class GatewayMetrics {
  private readonly registry = new Registry()
  private readonly requests = this.counter<'kind' | 'end'>('requests_total', 'Admitted requests that ended here', ['kind', 'end'])
  private readonly ownAnswers = this.counter<'answer'>('own_answers_total', 'Answers of the system\'s own, by reason', ['answer'])
  private readonly refusals = this.counter<'reason'>('refusals_total', 'Requests for which no endpoint was to be had', ['reason'])
  private readonly admittedRequests = this.counter<'rank'>('admitted_requests', 'Requests that were dispatched, by rank', ['rank'])
  private readonly refusedRequests = this.counter<'rank'>('refused_requests', 'Requests for which no endpoint was available, by rank', ['rank'])
  private readonly attempts = this.counter('exchanges_total', 'Exchanges with endpoints, repeats included', [])
  private readonly firstByteMs = new Map<RequestKind, Histogram>()
  private readonly durationMs = new Map<RequestKind, Histogram>()

  constructor () {
    this.quantiles('first_byte_ms', 'From the request to the first byte or event for the caller', this.firstByteMs)
    this.quantiles('request_duration_ms', 'From the request to its end', this.durationMs)
  }

  countRequest (kind: RequestKind, report: RequestReport, tookMs: number): void {
    const end: DispatchEndKind = report.end.kind
    this.requests.inc({ kind, end })
    this.attempts.inc(report.end.attempts)
    if (report.answeredWith !== null) this.countOwnAnswer(report.answeredWith)
    if (report.end.refusal !== null) this.refusals.inc({ reason: report.end.refusal.reason })
    if (report.firstByteMs !== null) histogramOf(this.firstByteMs, kind).recordValue(Math.round(report.firstByteMs))
    histogramOf(this.durationMs, kind).recordValue(Math.round(tookMs))
  }

  /** Counts a request as admitted where an endpoint received it, and as refused where none was available for its first attempt. */
  countRank (rank: number, { targets, end }: RequestReport): void {
    const label = { rank: String(Math.max(0, Math.min(HIGHEST_RANK_LABEL, Math.round(rank)))) }
    if (targets.length > 0) this.admittedRequests.inc(label)
    else if (end.refusal !== null) this.refusedRequests.inc(label)
  }

  countOwnAnswer (answer: GatewayErrorKind): void {
    this.ownAnswers.inc({ answer })
  }

  /** Registers a gauge that is read at each scrape. */
  gauge (name: string, help: string, read: () => number): void {
    this.registry.registerMetric(new Gauge({ name: `${PREFIX}${name}`, help, registers: NO_REGISTER, collect () { this.set(read()) } }))
  }

  async page (): Promise<string> {
    return await this.registry.metrics()
  }

  private counter<Label extends string> (name: string, help: string, labelNames: Label[]): Counter<Label> {
    return new Counter({ name: `${PREFIX}${name}`, help, labelNames, registers: [this.registry] })
  }

  private quantiles (name: string, help: string, histograms: ReadonlyMap<RequestKind, Histogram>): void {
    this.registry.registerMetric(new Gauge({
      name: `${PREFIX}${name}`,
      help,
      labelNames: ['kind', 'quantile'],
      registers: NO_REGISTER,
      collect () {
        for (const [kind, histogram] of histograms) {
          for (const quantile of QUANTILES) this.set({ kind, quantile: String(quantile) }, histogram.getValueAtPercentile(quantile * 100))
        }
      }
    }))
  }
}

function histogramOf (histograms: Map<RequestKind, Histogram>, kind: RequestKind): Histogram {
  let histogram = histograms.get(kind)
  if (histogram === undefined) {
    histogram = build({ highestTrackableValue: HIGHEST_TRACKABLE_MS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
    histograms.set(kind, histogram)
  }
  return histogram
}
