/** In-memory state of claims whose outcome is not in the table yet. */
import type { Claim, ClaimOutcome, ClaimRequest, StoredAnswer } from './types.js';

/**
 * `taking`: the claim is being written. `held`: it is committed. `abandoned`: the request was refused
 * without being dispatched, before it was known whether the claim committed. `finishing`, `releasing`,
 * `markingUnknown`: the outcome is being written. `forgotten`: no longer tracked in memory; the table is
 * authoritative.
 */
export type PendingState =
  'taking' | 'held' | 'abandoned' | 'finishing' | 'releasing' | 'markingUnknown' | 'forgotten';

/** Tracks a claim from its first write until its outcome is in the table. */
export class PendingClaim {
  readonly rowKey: string;

  readonly token: string;

  readonly bodyHash: string;

  readonly deadlineAtMs: number;

  #state: PendingState = 'taking';

  #answer: StoredAnswer | undefined;

  #fence = 0;

  #change!: Promise<void>;

  #notifyChange!: () => void;

  constructor(request: ClaimRequest, rowKey: string, token: string) {
    this.rowKey = rowKey;
    this.token = token;
    this.bodyHash = request.bodyHash;
    this.deadlineAtMs = request.deadlineAtMs;
    this.#armChange();
  }

  get state(): PendingState {
    return this.#state;
  }

  /** Set while `finishing`, until discarded. */
  get answer(): StoredAnswer | undefined {
    return this.#answer;
  }

  /** Version of the committed row; 0 before the commit. */
  get fence(): number {
    return this.#fence;
  }

  /** Resolves on the next state change. */
  get change(): Promise<void> {
    return this.#change;
  }

  enter(state: PendingState): void {
    const notify = this.#notifyChange;
    this.#state = state;
    this.#armChange();
    notify();
  }

  hold(fence: number): Claim {
    this.#fence = fence;
    this.enter('held');
    return { rowKey: this.rowKey, token: this.token, bodyHash: this.bodyHash, fence };
  }

  finish(answer: StoredAnswer): void {
    this.#answer = answer;
    this.enter('finishing');
  }

  dropAnswer(): void {
    this.#answer = undefined;
  }

  #armChange(): void {
    this.#change = new Promise((resolve) => {
      this.#notifyChange = resolve;
    });
  }
}

type LocalAnswer = (pending: PendingClaim, retryAfterMs: number) => ClaimOutcome;

/** Outcome for a request with the same key; states without an entry make it wait for a state change. */
const answersByState: Partial<Record<PendingState, LocalAnswer>> = {
  held: (_pending, retryAfterMs) => ({ kind: 'inProgress', retryAfterMs }),
  markingUnknown: () => ({ kind: 'outcomeUnknown' }),
  finishing: ({ answer }) => (answer ? { kind: 'finished', answer } : { kind: 'outcomeUnknown' }),
};

/** Outcome for a request with the same key; undefined if it must wait for a state change. */
export const answerFromPending = (
  pending: PendingClaim,
  request: ClaimRequest,
  retryAfterMs: number,
): ClaimOutcome | undefined => {
  const answer = answersByState[pending.state];
  if (answer && pending.bodyHash !== request.bodyHash) {
    return { kind: 'differentBody' };
  }
  return answer?.(pending, retryAfterMs);
};
