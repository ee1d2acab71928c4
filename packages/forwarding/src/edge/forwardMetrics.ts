/**
 * Counters by `prom-client` and latencies by `hdr-histogram-js`, rendered for the metrics endpoint.
 */
import {
  LATENCY_QUANTILES,
  createLatencyHistogram,
  type Histogram,
  type Stall,
} from '@snipehaven/common';
import { Counter, Gauge, Registry } from 'prom-client';
import type { ConnectionPath, ConnectOutcome } from '../exchange/index.js';
import type { RolloutStage } from '../rollouts/types.js';
import type { RouteKind } from '../types.js';
import type { EndEvidence } from '../upstreams/index.js';
import type { CallerLimit } from './limits/index.js';

const MAX_LATENCY_MS = 120_000;

const createHistogram = (): Histogram => createLatencyHistogram(MAX_LATENCY_MS);

export class ForwardMetrics {
  readonly #registry = new Registry();

  readonly #requests: Counter;

  readonly #storeCalls: Counter;

  readonly #datagrams: Counter;

  readonly #upstreamEnds: Counter;

  readonly #connections: Counter;

  readonly #foreignAnswers: Counter;

  readonly #unframedEnds: Counter;

  readonly #stalls: Counter;

  readonly #stalledMs: Counter;

  readonly #relayedForPeers: Counter;

  readonly #sessionMoves: Counter;

  readonly #limited: Counter;

  readonly #latency: Gauge;

  readonly #histograms = new Map<RouteKind, Histogram>();

  constructor() {
    const registers = [this.#registry];
    this.#requests = new Counter({
      name: 'snipehaven_forwarded_total',
      help: 'Forwarded requests by kind and outcome.',
      labelNames: ['kind', 'outcome'],
      registers,
    });
    this.#storeCalls = new Counter({
      name: 'snipehaven_store_calls_total',
      help: 'Calls to the platform’s store by what they are for and how they ended.',
      labelNames: ['purpose', 'outcome'],
      registers,
    });
    this.#datagrams = new Counter({
      name: 'snipehaven_datagrams_total',
      help: 'Datagrams between daemons by kind and direction.',
      labelNames: ['kind', 'direction'],
      registers,
    });
    this.#upstreamEnds = new Counter({
      name: 'snipehaven_upstream_ends_total',
      help: 'Upstreams whose process ended with requests of this daemon.',
      labelNames: ['service'],
      registers,
    });
    this.#connections = new Counter({
      name: 'snipehaven_upstream_connections_total',
      help: 'Attempts to connect to upstreams by path and outcome.',
      labelNames: ['path', 'outcome'],
      registers,
    });
    this.#foreignAnswers = new Counter({
      name: 'snipehaven_foreign_answers_total',
      help: 'Answers of upstreams turned down, as they name another attempt or none.',
      labelNames: ['service', 'reason'],
      registers,
    });
    this.#unframedEnds = new Counter({
      name: 'snipehaven_unframed_ends_total',
      help: 'Answers of upstreams ended by their connection alone, by what showed whether they were whole.',
      labelNames: ['service', 'evidence'],
      registers,
    });
    this.#stalls = new Counter({
      name: 'snipehaven_stalls_total',
      help: 'Times the event loop stood still, by the work that held it up.',
      labelNames: ['activity'],
      registers,
    });
    this.#stalledMs = new Counter({
      name: 'snipehaven_stalled_ms_total',
      help: 'Time for which the event loop stood still, in milliseconds.',
      labelNames: ['activity'],
      registers,
    });
    this.#relayedForPeers = new Counter({
      name: 'snipehaven_relayed_for_peers_total',
      help: 'Connections to upstreams that other daemons asked this one to relay, by outcome.',
      labelNames: ['outcome'],
      registers,
    });
    this.#sessionMoves = new Counter({
      name: 'snipehaven_sessions_moved_total',
      help: 'Sessions that ran on another version here than before, by the stage of the roll-out.',
      labelNames: ['stage'],
      registers,
    });
    this.#limited = new Counter({
      name: 'snipehaven_limited_total',
      help: 'Times that clients met a limit of what they may make this process hold, by limit and port.',
      labelNames: ['limit', 'port'],
      registers,
    });
    this.#latency = new Gauge({
      name: 'snipehaven_forward_ms',
      help: 'Time to the end of whole answers, in milliseconds.',
      labelNames: ['kind', 'quantile'],
      registers,
    });
  }

  /** Adds a gauge whose value is read on each scrape. */
  addGauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.#registry],
      collect: () => gauge.set(read()),
    });
  }

  /** Adds a gauge with a value for each table, read on each scrape. */
  addGaugeByTable(
    name: string,
    help: string,
    read: () => readonly { readonly table: string; readonly value: number }[],
  ): void {
    const gauge: Gauge<'table'> = new Gauge({
      name,
      help,
      labelNames: ['table'],
      registers: [this.#registry],
      collect: () => read().forEach(({ table, value }) => gauge.set({ table }, value)),
    });
  }

  countRequest(kind: RouteKind, outcome: string, tookMs: number): void {
    this.#requests.inc({ kind, outcome });
    if (outcome === 'answered') {
      this.#getHistogram(kind).recordValue(
        Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(tookMs))),
      );
    }
  }

  countRefused(reason: string): void {
    this.#requests.inc({ kind: 'none', outcome: reason });
  }

  countStoreCall(purpose: string, outcome: string): void {
    this.#storeCalls.inc({ purpose, outcome });
  }

  countDatagram(kind: string, direction: 'sent' | 'received'): void {
    this.#datagrams.inc({ kind, direction });
  }

  countUpstreamExit(service: string): void {
    this.#upstreamEnds.inc({ service });
  }

  countConnection(path: ConnectionPath, outcome: ConnectOutcome): void {
    this.#connections.inc({ path, outcome });
  }

  countForeignAnswer(service: string, reason: 'otherAttempt' | 'noId'): void {
    this.#foreignAnswers.inc({ service, reason });
  }

  countUnframedEnd(service: string, evidence: EndEvidence): void {
    this.#unframedEnds.inc({ service, evidence });
  }

  countStall({ activity, stalledMs }: Stall): void {
    this.#stalls.inc({ activity });
    this.#stalledMs.inc({ activity }, stalledMs);
  }

  countRelayedForPeer(outcome: string): void {
    this.#relayedForPeers.inc({ outcome });
  }

  countSessionMove(stage: RolloutStage): void {
    this.#sessionMoves.inc({ stage });
  }

  countLimited(limit: CallerLimit, port: string): void {
    this.#limited.inc({ limit, port });
  }

  async render(): Promise<string> {
    this.#histograms.forEach((histogram, kind) => {
      LATENCY_QUANTILES.forEach((quantile) => {
        const valueMs = histogram.getValueAtPercentile(quantile);
        this.#latency.set({ kind, quantile: String(quantile / 100) }, valueMs);
      });
    });
    return this.#registry.metrics();
  }

  #getHistogram(kind: RouteKind): Histogram {
    const present = this.#histograms.get(kind) ?? createHistogram();
    this.#histograms.set(kind, present);
    return present;
  }
}
