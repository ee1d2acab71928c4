/** What a daemon measures: latency by `hdr-histogram-js`, counters by `prom-client`. */
import {
  LATENCY_QUANTILES,
  createLatencyHistogram,
  getViolationCounts,
  type Histogram,
} from '@snipehaven/common';
import type { AnswerMeasure, RoutingMetrics } from '@snipehaven/routing';
import { Counter, Gauge, Registry } from 'prom-client';
import type { LatencyRow } from '../operatorApi/index.js';

interface VersionHistograms {
  readonly team: string;
  readonly version: string;
  readonly firstToken: Histogram;
  readonly total: Histogram;
}

const HIGHEST_MS = 600_000;

const createHistogram = (): Histogram => createLatencyHistogram(HIGHEST_MS);

/** A number read when the metrics are asked for. */
export interface GaugeSource {
  readonly name: string;
  readonly help: string;
  read(): number;
}

export class DaemonMetrics implements RoutingMetrics {
  readonly #registry = new Registry();

  readonly #histograms = new Map<string, VersionHistograms>();

  readonly #answers: Counter;

  readonly #refusals: Counter;

  readonly #tokens: Counter;

  readonly #cost: Counter;

  readonly #latency: Gauge;

  readonly #violations: Gauge;

  constructor(gauges: readonly GaugeSource[]) {
    const registers = [this.#registry];
    const labelNames = ['team', 'version'];
    this.#answers = new Counter({
      name: 'snipehaven_answers_total',
      help: 'Whole answers.',
      labelNames,
      registers,
    });
    this.#refusals = new Counter({
      name: 'snipehaven_refusals_total',
      help: 'Refused requests by code.',
      labelNames: ['team', 'code'],
      registers,
    });
    this.#tokens = new Counter({
      name: 'snipehaven_completion_tokens_total',
      help: 'Tokens of whole answers.',
      labelNames,
      registers,
    });
    this.#cost = new Counter({
      name: 'snipehaven_cost_micro_usd_total',
      help: 'Cost of whole answers in micro-dollars.',
      labelNames,
      registers,
    });
    this.#latency = new Gauge({
      name: 'snipehaven_latency_ms',
      help: 'Latency quantiles in milliseconds.',
      labelNames: [...labelNames, 'phase', 'quantile'],
      registers,
    });
    this.#violations = new Gauge({
      name: 'snipehaven_invariant_violations_total',
      help: 'Promises found broken; must stay 0.',
      labelNames: ['promise'],
      registers,
    });
    gauges.forEach((source) => this.addGauge(source));
  }

  recordAnswer(answer: AnswerMeasure): void {
    const labels = { team: answer.team, version: answer.version };
    const histograms = this.#getHistograms(answer.team, answer.version);
    histograms.firstToken.recordValue(Math.max(0, Math.round(answer.firstTokenMs)));
    histograms.total.recordValue(Math.max(0, Math.round(answer.totalMs)));
    this.#answers.inc(labels);
    this.#tokens.inc(labels, answer.completionTokens);
    this.#cost.inc(labels, answer.costMicroUsd);
  }

  recordRefusal(team: string, code: string): void {
    this.#refusals.inc({ team, code });
  }

  /** Adds a number that is read when the metrics are asked for. */
  addGauge(source: GaugeSource): void {
    const gauge: Gauge = new Gauge({
      name: source.name,
      help: source.help,
      registers: [this.#registry],
      collect: () => {
        gauge.set(source.read());
      },
    });
  }

  /** Prometheus text. */
  async getText(): Promise<string> {
    this.#histograms.forEach((histograms) => this.#exportLatency(histograms));
    getViolationCounts().forEach((count, promise) => this.#violations.set({ promise }, count));
    return this.#registry.metrics();
  }

  listLatency(): readonly LatencyRow[] {
    return [...this.#histograms.values()].map(({ team, version, firstToken, total }) => ({
      team,
      version,
      answers: total.totalCount,
      firstTokenP50Ms: firstToken.getValueAtPercentile(50),
      firstTokenP95Ms: firstToken.getValueAtPercentile(95),
      totalP50Ms: total.getValueAtPercentile(50),
      totalP95Ms: total.getValueAtPercentile(95),
    }));
  }

  #getHistograms(team: string, version: string): VersionHistograms {
    const key = `${team}\0${version}`;
    const present = this.#histograms.get(key);
    if (present) {
      return present;
    }
    const created = { team, version, firstToken: createHistogram(), total: createHistogram() };
    this.#histograms.set(key, created);
    return created;
  }

  #exportLatency({ team, version, firstToken, total }: VersionHistograms): void {
    LATENCY_QUANTILES.forEach((quantile) => {
      const labels = { team, version, quantile: String(quantile / 100) };
      const firstTokenMs = firstToken.getValueAtPercentile(quantile);
      this.#latency.set({ ...labels, phase: 'firstToken' }, firstTokenMs);
      this.#latency.set({ ...labels, phase: 'total' }, total.getValueAtPercentile(quantile));
    });
  }
}
