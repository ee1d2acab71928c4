/**
 * Decides whether an upstream may be sent a request now. Every attempt passes it: first ones,
 * repeats and resumed streams.
 */
import type { WarmUpFacts } from '../types.js';
import { ColdRateLimiter } from './coldRateLimiter.js';
import { RateLimiter } from './rateLimiter.js';
import type { FleetMembership, HoldOff, HoldOffReason, PlaceSource } from './types.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** The moment of a decision, and what the service declares. */
export interface GateContext {
  readonly warmUp: WarmUpFacts | undefined;
  readonly nowMs: number;
}

/** Returns the time in ms until the upstream may be sent a request; 0 if it may now. */
type GetWaitMs = (entry: UpstreamEntry, context: GateContext) => number;

const getLonger = (a: HoldOff, b: HoldOff): HoldOff => (b.waitMs > a.waitMs ? b : a);

export class UpstreamGate {
  readonly #limits: readonly (readonly [HoldOffReason, GetWaitMs])[];

  constructor(fleet: FleetMembership, places: PlaceSource) {
    const cold = new ColdRateLimiter(fleet);
    const rate = new RateLimiter(fleet);
    const limits: Readonly<Record<HoldOffReason, GetWaitMs>> = {
      warmingUp: (entry, { warmUp, nowMs }) => cold.getWaitMs(entry, warmUp, nowMs),
      upstreamsLimited: (entry, { nowMs }) => rate.getWaitMs(entry, nowMs),
      upstreamsBackedOff: ({ statements }, { nowMs }) => statements.backOff.getWaitMs(nowMs),
      upstreamsFull: (entry, { nowMs }) => places.getWaitMs(entry, nowMs),
    };
    this.#limits = Object.entries(limits) as [HoldOffReason, GetWaitMs][];
  }

  admits(entry: UpstreamEntry, context: GateContext): boolean {
    return this.#limits.every(([, getWaitMs]) => getWaitMs(entry, context) === 0);
  }

  /** As `admits`, for a request that has got a place. */
  admitsWithPlace(entry: UpstreamEntry, context: GateContext): boolean {
    return this.#limits.every(
      ([reason, getWaitMs]) => reason === 'upstreamsFull' || getWaitMs(entry, context) === 0,
    );
  }

  /** The shortest hold-off of the upstreams; undefined if none of them is held off. */
  findShortest(entries: readonly UpstreamEntry[], context: GateContext): HoldOff | undefined {
    const holdOffs = entries
      .map((entry) => this.#getHoldOff(entry, context))
      .filter(({ waitMs }) => waitMs > 0);
    return holdOffs.sort((a, b) => a.waitMs - b.waitMs)[0];
  }

  /** How many of the upstreams are held off, by reason. */
  count(
    entries: readonly UpstreamEntry[],
    context: GateContext,
  ): Readonly<Partial<Record<HoldOffReason, number>>> {
    const counts: Partial<Record<HoldOffReason, number>> = {};
    for (const entry of entries) {
      const { reason, waitMs } = this.#getHoldOff(entry, context);
      if (waitMs > 0) {
        counts[reason] = (counts[reason] ?? 0) + 1;
      }
    }
    return counts;
  }

  #getHoldOff(entry: UpstreamEntry, context: GateContext): HoldOff {
    return this.#limits
      .map(([reason, getWaitMs]): HoldOff => ({ reason, waitMs: getWaitMs(entry, context) }))
      .reduce(getLonger);
  }
}
