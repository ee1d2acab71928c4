/**
 * Counts the engines that crashed while running each chat, across all daemons. Without a shared
 * count, a chat that crashes any engine would look new on each retry and could crash up to three
 * engines each time. Counts are exchanged by gossip; nothing is sent while no engine crashes.
 */
import { asId, type RequestDigest, type UpstreamId } from '@snipehaven/common';
import type { GossipTopic } from '@snipehaven/membership';
import {
  CrashCounter,
  HOLD_MS,
  fromSuspectTuple,
  judgeSuspicion,
  toSuspectTuple,
  type CrashReport,
} from '@snipehaven/policy';
import { crashGossipSchema, type CrashGossip } from '@snipehaven/protocol';

/**
 * An upstream keeps its id across restarts; two crashes of one upstream within this time are taken
 * for one crash seen by two daemons.
 */
const CRASH_DEDUPLICATION_MS = 2_000;

/** How long an item is gossiped: ten exchanges reach each of a few hundred members. */
const GOSSIP_RETENTION_MS = 10_000;

/** Newest items of each kind that are sent; an exchange also carries other topics. */
const MAX_GOSSIP_ITEMS = 32;

interface GossipItem<Item> {
  readonly item: Item;
  readonly receivedAtMs: number;
}

/** A chat that was lost because its engine crashed. */
export interface CrashedChat {
  readonly digest: RequestDigest;
  /** The id of the caller's attempt; each retry has its own. */
  readonly requestId: string;
  readonly upstream: UpstreamId;
  /** How long the answer had been streaming; undefined if it had not started. */
  readonly answeredForMs: number | undefined;
  /** Whether the engine had announced that it was leaving. */
  readonly isEndExpected: boolean;
}

export class CrashTracker implements GossipTopic {
  readonly name = 'crashes';

  readonly #counter = new CrashCounter();

  readonly #heldUntilMs = new Map<RequestDigest, number>();

  #crashReports: GossipItem<CrashReport>[] = [];

  #clearedDigests: GossipItem<RequestDigest>[] = [];

  /** Nothing is recorded about any chat, so callers can skip computing digests. */
  get isEmpty(): boolean {
    return this.#counter.size === 0 && this.#heldUntilMs.size === 0;
  }

  /** Records that an engine crashed while running the chat. */
  recordCrash({ digest, requestId, upstream, answeredForMs, isEndExpected }: CrashedChat): void {
    const suspicion = judgeSuspicion({ answeredForMs, isEndExpected });
    const lifeId = `${upstream}@${Math.floor(Date.now() / CRASH_DEDUPLICATION_MS)}`;
    this.#mergeReport({ lifeId, suspects: [{ digest, attemptId: requestId, suspicion }] });
  }

  /** Records that an engine completed the chat without crashing, which clears it. */
  recordSuccess(digest: RequestDigest): void {
    if (this.#clear(digest)) {
      this.#clearedDigests.push({ item: digest, receivedAtMs: Date.now() });
    }
  }

  /** Milliseconds until the chat may be sent again; undefined if it may be sent now. */
  getHoldMs(digest: RequestDigest): number | undefined {
    const remainingMs = (this.#heldUntilMs.get(digest) ?? 0) - Date.now();
    if (remainingMs > 0) {
      return remainingMs;
    }
    this.#heldUntilMs.delete(digest);
    return undefined;
  }

  getPayload(): CrashGossip | undefined {
    this.#dropExpired();
    if (this.#crashReports.length === 0 && this.#clearedDigests.length === 0) {
      return undefined;
    }
    const ends = this.#crashReports.map(
      ({ item: { lifeId, suspects } }): CrashGossip['ends'][number] => [
        lifeId,
        suspects.map((suspect) => [...toSuspectTuple(suspect)]),
      ],
    );
    return { ends, cleared: this.#clearedDigests.map(({ item }) => item) };
  }

  mergePayload(payload: unknown): void {
    const { ends, cleared } = crashGossipSchema.parse(payload);
    for (const [lifeId, suspects] of ends) {
      this.#mergeReport({ lifeId, suspects: suspects.map(fromSuspectTuple) });
    }
    cleared.forEach((digest) => this.recordSuccess(asId<RequestDigest>(digest)));
  }

  #mergeReport(report: CrashReport): void {
    const nowMs = Date.now();
    const isNew = report.suspects.some(
      ({ digest }) => !this.#counter.hasRecorded(digest, report.lifeId),
    );
    if (!isNew) {
      return;
    }
    this.#crashReports.push({ item: report, receivedAtMs: nowMs });
    const newlyHeld = this.#counter.recordReport(report, nowMs);
    newlyHeld.forEach((digest) => {
      this.#heldUntilMs.set(digest, this.#heldUntilMs.get(digest) ?? nowMs + HOLD_MS);
    });
  }

  /** Returns false if nothing was recorded about the chat. */
  #clear(digest: RequestDigest): boolean {
    const isKnown = this.#counter.clear(digest);
    return this.#heldUntilMs.delete(digest) || isKnown;
  }

  #dropExpired(): void {
    const oldestMs = Date.now() - GOSSIP_RETENTION_MS;
    const isFresh = ({ receivedAtMs }: GossipItem<unknown>): boolean => receivedAtMs > oldestMs;
    this.#crashReports = this.#crashReports.filter(isFresh).slice(-MAX_GOSSIP_ITEMS);
    this.#clearedDigests = this.#clearedDigests.filter(isFresh).slice(-MAX_GOSSIP_ITEMS);
  }
}
