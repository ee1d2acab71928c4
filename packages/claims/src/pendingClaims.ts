/** What this daemon knows of claims that the table does not yet say. */
import type { Claim, ClaimOutcome, ClaimRequest, StoredAnswer } from './types.js';

/**
 * `taking`: being written; `held`: committed; `abandoned`: its request was refused while nobody could
 * tell whether it is committed, and it was never dispatched; `finishing`, `releasing`,
 * `markingUnknown`: the outcome is known here and being written; `forgotten`: the table tells of it.
 */
export type PendingState =
  'taking' | 'held' | 'abandoned' | 'finishing' | 'releasing' | 'markingUnknown' | 'forgotten';

/** One claim, from its first write until its outcome is in the table. */
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

  /** Known while `finishing`. */
  get answer(): StoredAnswer | undefined {
    return this.#answer;
  }

  /** Version of the committed row; 0 before. */
  get fence(): number {
    return this.#fence;
  }

  /** Resolves at the next change of state. */
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

/** What a request with the same key gets; without an entry it waits until the state changes. */
const answersByState: Partial<Record<PendingState, LocalAnswer>> = {
  held: (_pending, retryAfterMs) => ({ kind: 'inProgress', retryAfterMs }),
  markingUnknown: () => ({ kind: 'outcomeUnknown' }),
  finishing: ({ answer }) => (answer ? { kind: 'finished', answer } : { kind: 'outcomeUnknown' }),
};

/** Answers a request with the same key from memory; undefined: wait for the next change. */
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
