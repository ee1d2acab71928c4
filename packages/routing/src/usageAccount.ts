/** The one usage record of one request, through its runs to its settlement. */
import { invariant } from '@snipehaven/common';
import type { UsageLedger } from '@snipehaven/ledger';
import type { UsageEntry, UsageLine, UsageStream } from '@snipehaven/protocol';
import type { ModelVersionSpec } from '@snipehaven/resources';
import type { TokenUsage } from './answerAssembler.js';
import { TOKENS_PER_PRICE_UNIT } from './constants.js';

/** What the record says of the request. */
export interface AccountSubject {
  readonly requestId: string;
  readonly requestKey: string;
  readonly team: string;
  readonly teamUid: string;
}

/** What tokens of a version cost. */
export const getCostMicroUsd = (
  usage: TokenUsage,
  prices: Pick<
    ModelVersionSpec,
    'inputMicroUsdPerMillionTokens' | 'outputMicroUsdPerMillionTokens'
  >,
): number =>
  (usage.promptTokens * prices.inputMicroUsdPerMillionTokens +
    usage.completionTokens * prices.outputMicroUsdPerMillionTokens) /
  TOKENS_PER_PRICE_UNIT;

export class UsageAccount {
  readonly #ledger: UsageLedger;

  readonly #subject: AccountSubject;

  readonly #lines: UsageLine[] = [];

  #held: Promise<void> | undefined;

  #isClosed = false;

  constructor(ledger: UsageLedger, subject: AccountSubject) {
    this.#ledger = ledger;
    this.#subject = subject;
  }

  get costMicroUsd(): number {
    return this.#lines.reduce((sum, line) => sum + line.costMicroUsd, 0);
  }

  get isOpen(): boolean {
    return this.#held !== undefined && !this.#isClosed;
  }

  /**
   * Notes a run before it is dispatched. Rejects at once when the ledger is full; the copy on a peer
   * is made while the run starts, see `ensureHeld`.
   */
  async noteRun(stream: UsageStream): Promise<void> {
    const held =
      this.#held === undefined
        ? this.#ledger.open({ ...this.#subject, openedAtMs: Date.now(), streams: [stream] })
        : this.#ledger.addStream(this.#subject.requestId, stream);
    held.catch(() => undefined);
    this.#held = Promise.all([this.#held, held]).then(() => undefined);
    this.#held.catch(() => undefined);
    await Promise.race([held, Promise.resolve()]);
  }

  /** Resolves when a peer holds the record: no byte of an answer is released before. */
  async ensureHeld(): Promise<void> {
    await this.#held;
  }

  addLine(stream: UsageStream, usage: TokenUsage): void {
    this.#lines.push({
      streamId: stream.streamId,
      version: stream.version,
      upstream: stream.upstream,
      promptTokens: usage.promptTokens,
      completionTokens: usage.completionTokens,
      costMicroUsd: getCostMicroUsd(usage, stream),
    });
  }

  /** Settles the record once; resolves when a peer holds the settlement. */
  async settle(outcome: UsageEntry['outcome']): Promise<void> {
    invariant(!this.#isClosed, 'billedOnce', `${this.#subject.requestId} settled twice`);
    this.#isClosed = true;
    await this.#ledger.settle(this.#subject.requestId, { outcome, lines: this.#lines });
  }

  /** Forgets the record of a request that is proved not to have run. */
  discard(): void {
    this.#isClosed = true;
    this.#ledger.discard(this.#subject.requestId);
  }
}
