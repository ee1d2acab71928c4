/** What the run itself did and found, for the last line. */
import type { WithdrawalFact } from '@snipehaven/demo';
import type { TimeSpan } from './timeSpan.js';

/** A daemon that was told to stop. */
export interface StopFact extends TimeSpan {
  readonly vm: string;
}

export interface CutOffFact extends TimeSpan {
  readonly dataCentre: string;
}

/** An upstream that said that it is leaving, until it stayed after all. */
export interface LeavingFact extends TimeSpan {
  readonly upstream: string;
}

export interface KillFact {
  readonly vm: string;
  readonly atMs: number;
}

export class SoakFacts {
  freezes = 0;

  cuts = 0;

  outages = 0;

  /** Last end of a cut. */
  lastHealAtMs = 0;

  readonly kills: KillFact[] = [];

  readonly stops: StopFact[] = [];

  /** Data centres cut off from all else. */
  readonly cutOffs: CutOffFact[] = [];

  readonly leavings: LeavingFact[] = [];

  readonly withdrawals: WithdrawalFact[] = [];

  readonly frozenVms = new Set<string>();

  readonly replacedVms = new Set<string>();

  /** Broken promises that show in no other count. */
  readonly invariants: string[] = [];

  readonly configReverts: string[] = [];

  /** Faults that act now, by name. */
  readonly active = new Map<symbol, string>();

  /** Ways to the table that are cut now, or the table itself. */
  readonly #platformFaults = new Map<symbol, string>();

  readonly #lastPlatformFaults = new Map<string, number>();

  countFreeze(): void {
    this.freezes += 1;
  }

  countOutage(): void {
    this.outages += 1;
  }

  /** Counts a cut; returns what notes its end. */
  beginCut(): () => void {
    this.cuts += 1;
    return () => {
      this.lastHealAtMs = Date.now();
    };
  }

  /** Whether a daemon of the data centre could not rely on the platform at some time since. */
  wasCutFromPlatform(dataCentre: string, sinceMs: number): boolean {
    const isNow = [...this.#platformFaults.values()].some((place) => this.#hits(place, dataCentre));
    const wasSince = [...this.#lastPlatformFaults].some(
      ([place, endedAtMs]) => this.#hits(place, dataCentre) && endedAtMs >= sinceMs,
    );
    return isNow || wasSince;
  }

  /** Notes that the platform is away for a data centre, or for `all`; returns what ends it. */
  beginPlatformFault(place: string): () => void {
    const fault = Symbol(place);
    this.#platformFaults.set(fault, place);
    return () => {
      this.#platformFaults.delete(fault);
      this.#lastPlatformFaults.set(place, Date.now());
    };
  }

  #hits(place: string, dataCentre: string): boolean {
    return place === 'all' || place === dataCentre;
  }
}
