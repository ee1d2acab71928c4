/** Test fixture: claim stores of several daemons that share a fake table and a fake clock. */
import { createRandom, createSilentLogger, setInvariantsFatal } from '@snipehaven/common';
import { silentRecorder } from '@snipehaven/timeline';
import { FakeTable } from './fakeTable.js';
import { TableClaimStore, type TableClaimStoreOptions } from './tableClaimStore.js';
import type { ClaimOutcome, ClaimRequest, StoredAnswer } from './types.js';

const MINUTE_MS = 60_000;

export const answer: StoredAnswer = {
  status: 200,
  contentType: 'application/json',
  body: '{"tag":"duplicate"}',
  encoding: 'utf8',
};

/** The installed fake clock. */
export interface TestClock {
  tickAsync(timeMs: number): Promise<unknown>;
  uninstall(): void;
}

export class ClaimFixture {
  readonly clock: TestClock;

  readonly table = new FakeTable();

  readonly dead = new Set<string>();

  constructor(clock: TestClock) {
    this.clock = clock;
    setInvariantsFatal(true);
  }

  createStore(incarnation: string, options: Partial<TableClaimStoreOptions> = {}): TableClaimStore {
    return new TableClaimStore({
      table: this.table,
      incarnation,
      isIncarnationAlive: (other) => !this.dead.has(other),
      timeline: silentRecorder,
      logger: createSilentLogger(),
      random: createRandom(1),
      ...options,
    });
  }

  request(changes: Partial<ClaimRequest> = {}): ClaimRequest {
    const deadlineAtMs = Date.now() + MINUTE_MS;
    return { teamUid: 't1', key: 'k1', bodyHash: 'b1', deadlineAtMs, ...changes };
  }

  /** Advances the clock by `timeMs` and awaits the promise; a rejection resolves to the error code. */
  async settle<Value>(promise: Promise<Value>, timeMs = 5_000): Promise<Value | string> {
    const settled = promise.catch((error: { code: string }) => error.code);
    await this.clock.tickAsync(timeMs);
    return settled;
  }

  async claim(store: TableClaimStore, changes: Partial<ClaimRequest> = {}): Promise<ClaimOutcome> {
    const outcome = await this.settle(store.claim(this.request(changes)));
    if (typeof outcome === 'string') {
      throw new Error(outcome);
    }
    return outcome;
  }

  /** Resolves to the outcome kind, or to the error code if the claim is rejected. */
  async claimKind(store: TableClaimStore, changes: Partial<ClaimRequest> = {}): Promise<string> {
    const outcome = await this.settle(store.claim(this.request(changes)));
    return typeof outcome === 'string' ? outcome : outcome.kind;
  }

  close(): void {
    this.clock.uninstall();
  }
}
