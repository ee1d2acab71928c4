/**
 * A simulated daemon for the property test of session moves, with its own clock and knowledge of
 * the store.
 */
import { createSilentLogger } from '@snipehaven/common';
import { Freshness } from '../../configuration/freshness.js';
import { StoreClock, readClocks } from '../../configuration/storeClock.js';
import { PeerLoads } from '../../peers/index.js';
import type { StoreRevision } from '../../store/index.js';
import type { RolloutOrder } from '../../types.js';
import { UpstreamEntry } from '../../upstreams/index.js';
import { RolloutTracker } from '../rolloutTracker.js';
import type { RolloutStatus } from '../types.js';

export const SESSION_TTL_MS = 5_000;

/** Offset of the store's clock to the daemons' clocks. */
const STORE_AHEAD_MS = 70_000;

export const readStoreMs = (): number => performance.now() + STORE_AHEAD_MS;

export const createEntry = (softwareVersion: string): UpstreamEntry =>
  new UpstreamEntry(
    {
      id: softwareVersion,
      service: 's',
      host: '127.0.0.1',
      port: 1,
      dataCentre: 'a',
      softwareVersion,
      slots: 4,
      state: 'ready',
    },
    new PeerLoads(),
  );

export class SimulatedDaemon {
  readonly #vm: string;

  #tracker: RolloutTracker;

  #freshness = new Freshness();

  #clock = new StoreClock();

  constructor(vm: string) {
    this.#vm = vm;
    this.#tracker = this.#start();
  }

  get tracker(): RolloutTracker {
    return this.#tracker;
  }

  /** Restarts the daemon without its state. */
  restart(): void {
    this.#tracker = this.#start();
  }

  /** Simulates a reply of the store that took `delayMs`. */
  confirmStore(delayMs: number): void {
    const asked = readClocks();
    const askedMs = asked.steadyMs - delayMs;
    this.#clock.noteAnswer(askedMs, readStoreMs());
    this.#freshness.confirm({
      asked: { ...asked, steadyMs: askedMs },
      serverTimeMs: readStoreMs(),
    });
  }

  learnOrder(
    order: RolloutOrder,
    orderRevision: StoreRevision,
    givenWithinMs: number | undefined,
  ): void {
    this.#tracker.applyOrder(order, orderRevision, givenWithinMs);
  }

  learnStatus(status: RolloutStatus | undefined, revision: StoreRevision): void {
    if (status !== undefined) {
      this.#tracker.applyStatus(status, revision);
    }
    this.#tracker.noteStatusesRead();
  }

  /** Runs a request of the session and returns its version. */
  run(session: string, listed: UpstreamEntry[]): string | undefined {
    const options = {
      attemptId: session,
      session,
      promptTokens: 0,
      maxOutputTokens: 0,
      promptParts: [],
    };
    const [entry] = this.#tracker.filterUpstreams('s', options, listed);
    const softwareVersion = entry?.upstream.softwareVersion;
    if (softwareVersion !== undefined) {
      this.#tracker.recordSessionRun({ service: 's', session, softwareVersion, request: session });
    }
    return softwareVersion;
  }

  #start(): RolloutTracker {
    this.#freshness = new Freshness();
    this.#clock = new StoreClock();
    const tracker = new RolloutTracker({
      logger: createSilentLogger(),
      vm: this.#vm,
      freshness: this.#freshness,
      clock: this.#clock,
      sessionTtlMs: SESSION_TTL_MS,
      allowedExposure: 0.15,
      exposureSlack: 0,
      countSessionMove: () => {},
      findPeerCounts: () => undefined,
      countUpstreams: () => new Map([['a', 1]]),
      hasEvacuatedUpstreams: () => false,
    });
    this.confirmStore(1);
    return tracker;
  }
}
