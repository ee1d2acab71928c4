/** The usage record of one request, from its first run to settlement. */
import { invariant } from '@snipehaven/common';
import type { UsageLedger } from '@snipehaven/ledger';
import type { UsageEntry, UsageLine, UsageStream } from '@snipehaven/protocol';
import type { ModelVersionSpec } from '@snipehaven/resources';
import type { TokenUsage } from './answerAssembler.js';
import { TOKENS_PER_PRICE_UNIT } from './constants.js';

/** The fields of the record that identify the request. */
export interface AccountSubject {
  readonly requestId: string;
  readonly requestKey: string;
  readonly team: string;
  readonly teamUid: string;
}

/** The price of a run's tokens at the rates of its version. */
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

  #replication: Promise<void> | undefined;

  #isClosed = false;

  constructor(ledger: UsageLedger, subject: AccountSubject) {
    this.#ledger = ledger;
    this.#subject = subject;
  }

  get costMicroUsd(): number {
    return this.#lines.reduce((sum, line) => sum + line.costMicroUsd, 0);
  }

  get isOpen(): boolean {
    return this.#replication !== undefined && !this.#isClosed;
  }

  /**
   * Records a run before it is dispatched. Rejects immediately if the ledger is full; the record is
   * replicated to a peer while the run starts, see `ensureReplicated`.
   */
  async recordRun(stream: UsageStream): Promise<void> {
    const pending =
      this.#replication === undefined
        ? this.#ledger.open({ ...this.#subject, openedAtMs: Date.now(), streams: [stream] })
        : this.#ledger.addStream(this.#subject.requestId, stream);
    pending.catch(() => undefined);
    this.#replication = Promise.all([this.#replication, pending]).then(() => undefined);
    this.#replication.catch(() => undefined);
    await Promise.race([pending, Promise.resolve()]);
  }

  /** Resolves when a peer holds the record; no byte of an answer is sent before. */
  async ensureReplicated(): Promise<void> {
    await this.#replication;
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

  /** Drops the record of a request that is proved not to have run. */
  discard(): void {
    this.#isClosed = true;
    this.#ledger.discard(this.#subject.requestId);
  }
}
