/** Stores the answers of finished claims: small ones in the row, large ones in the object store. */
import type { ObjectStoreClient } from '@snipehaven/platform';
import { restoreStoredAnswer, type ClaimRow } from './claimRow.js';
import { ANSWER_PREFIX } from './constants.js';
import type { Claim, StoredAnswer } from './types.js';

type AnswerFields = Pick<ClaimRow, 'answer' | 'answerObject'>;

/** Derived from the claim's token, which makes a repeated write idempotent. */
const getObjectName = (claim: Claim): string =>
  `${ANSWER_PREFIX}${claim.rowKey.split('/').at(-1)}-${encodeURIComponent(claim.token)}`;

export class AnswerKeeper {
  readonly #objectStore: ObjectStoreClient | undefined;

  readonly #maxInlineBytes: number;

  constructor(objectStore: ObjectStoreClient | undefined, maxInlineBytes: number) {
    this.#objectStore = objectStore;
    this.#maxInlineBytes = maxInlineBytes;
  }

  /** Writes a large answer to the object store; resolves with the fields to write to the row. */
  async keep(claim: Claim, answer: StoredAnswer): Promise<AnswerFields> {
    const isSmall = Buffer.byteLength(answer.body) <= this.#maxInlineBytes;
    if (isSmall || !this.#objectStore) {
      return { answer };
    }
    const answerObject = getObjectName(claim);
    await this.#objectStore.put(answerObject, Buffer.from(JSON.stringify(answer)));
    return { answerObject };
  }

  /** Loads the answer of a finished row; undefined if it has already been deleted. */
  async load(row: ClaimRow): Promise<StoredAnswer | undefined> {
    if (row.answer) {
      return row.answer as StoredAnswer;
    }
    const bytes = row.answerObject ? await this.#objectStore?.get(row.answerObject) : undefined;
    return bytes ? (restoreStoredAnswer(bytes) as StoredAnswer) : undefined;
  }

  /** Deletes the stored object of a deleted row. */
  async forget(row: ClaimRow): Promise<void> {
    if (row.answerObject) {
      await this.#objectStore?.delete(row.answerObject);
    }
  }
}
