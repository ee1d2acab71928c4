/**
 * How many engines ended under each chat, over all daemons: a chat that ends whoever runs it would be a
 * new one each time it is asked, and end up to three engines each time. Daemons tell each other by gossip;
 * nothing is told while no engine ends.
 */
import { asId, type RequestDigest, type UpstreamId } from '@snipehaven/common';
import type { GossipTopic } from '@snipehaven/membership';
import {
  CrashLedger,
  HOLD_MS,
  fromSuspectTuple,
  judgeSuspicion,
  toSuspectTuple,
  type EndReport,
} from '@snipehaven/policy';
import { crashGossipSchema, type CrashGossip } from '@snipehaven/protocol';

/** An upstream has one id for all its lives; two ends within this are one that two daemons saw. */
const SAME_END_MS = 2_000;

/** News are passed on this long: ten exchanges reach each of some hundred members. */
const RUMOUR_MS = 10_000;

/** Of each kind, the newest are told; an exchange carries other concerns beside. */
const MAX_RUMOURS = 32;

interface Rumour<Item> {
  readonly item: Item;
  readonly heardAtMs: number;
}

/** A chat that was lost with its engine. */
export interface LostChat {
  readonly digest: RequestDigest;
  /** The caller's attempt: one request of its own. */
  readonly requestId: string;
  readonly upstream: UpstreamId;
  /** How long its answer had been coming; absent where none had begun. */
  readonly answeredForMs: number | undefined;
  /** The engine had said that it leaves. */
  readonly isEndExpected: boolean;
}

export class CrashTally implements GossipTopic {
  readonly name = 'crashes';

  readonly #ledger = new CrashLedger();

  readonly #heldUntilMs = new Map<RequestDigest, number>();

  #ends: Rumour<EndReport>[] = [];

  #cleared: Rumour<RequestDigest>[] = [];

  /** Nothing is known of any chat: there is no need to work out digests. */
  get isEmpty(): boolean {
    return this.#ledger.size === 0 && this.#heldUntilMs.size === 0;
  }

  /** An engine ended with the chat. */
  noteLoss({ digest, requestId, upstream, answeredForMs, isEndExpected }: LostChat): void {
    const suspicion = judgeSuspicion({ answeredForMs, isEndExpected });
    const lifeId = `${upstream}@${Math.floor(Date.now() / SAME_END_MS)}`;
    this.#takeEnd({ lifeId, suspects: [{ digest, attemptId: requestId, suspicion }] });
  }

  /** An engine ran the chat to its end, and lives. */
  noteAnswered(digest: RequestDigest): void {
    if (this.#clear(digest)) {
      this.#cleared.push({ item: digest, heardAtMs: Date.now() });
    }
  }

  /** Until the chat may be sent again, in ms; undefined while it may. */
  getHoldMs(digest: RequestDigest): number | undefined {
    const leftMs = (this.#heldUntilMs.get(digest) ?? 0) - Date.now();
    if (leftMs > 0) {
      return leftMs;
    }
    this.#heldUntilMs.delete(digest);
    return undefined;
  }

  getPayload(): CrashGossip | undefined {
    this.#dropOld();
    if (this.#ends.length === 0 && this.#cleared.length === 0) {
      return undefined;
    }
    const ends = this.#ends.map(({ item: { lifeId, suspects } }): CrashGossip['ends'][number] => [
      lifeId,
      suspects.map((suspect) => [...toSuspectTuple(suspect)]),
    ]);
    return { ends, cleared: this.#cleared.map(({ item }) => item) };
  }

  mergePayload(payload: unknown): void {
    const { ends, cleared } = crashGossipSchema.parse(payload);
    for (const [lifeId, suspects] of ends) {
      this.#takeEnd({ lifeId, suspects: suspects.map(fromSuspectTuple) });
    }
    cleared.forEach((digest) => this.noteAnswered(asId<RequestDigest>(digest)));
  }

  #takeEnd(report: EndReport): void {
    const nowMs = Date.now();
    const isNews = report.suspects.some(
      ({ digest }) => !this.#ledger.hasNoted(digest, report.lifeId),
    );
    if (!isNews) {
      return;
    }
    this.#ends.push({ item: report, heardAtMs: nowMs });
    const reached = this.#ledger.note(report, nowMs);
    reached.forEach((digest) => {
      this.#heldUntilMs.set(digest, this.#heldUntilMs.get(digest) ?? nowMs + HOLD_MS);
    });
  }

  /** False when nothing was known of the chat. */
  #clear(digest: RequestDigest): boolean {
    const isKnown = this.#ledger.clear(digest);
    return this.#heldUntilMs.delete(digest) || isKnown;
  }

  #dropOld(): void {
    const oldestMs = Date.now() - RUMOUR_MS;
    const isFresh = ({ heardAtMs }: Rumour<unknown>): boolean => heardAtMs > oldestMs;
    this.#ends = this.#ends.filter(isFresh).slice(-MAX_RUMOURS);
    this.#cleared = this.#cleared.filter(isFresh).slice(-MAX_RUMOURS);
  }
}
