/** Where answers of finished claims stand: small ones in the row, large ones in the object store. */
import type { ObjectStoreClient } from '@snipehaven/platform';
import { restoreStoredAnswer, type ClaimRow } from './claimRow.js';
import { ANSWER_PREFIX } from './constants.js';
import type { Claim, StoredAnswer } from './types.js';

type AnswerFields = Pick<ClaimRow, 'answer' | 'answerObject'>;

/** Named by the claim's token, so that writing it twice changes nothing. */
const getObjectName = (claim: Claim): string =>
  `${ANSWER_PREFIX}${claim.rowKey.split('/').at(-1)}-${encodeURIComponent(claim.token)}`;

export class AnswerKeeper {
  readonly #objectStore: ObjectStoreClient | undefined;

  readonly #maxInlineBytes: number;

  constructor(objectStore: ObjectStoreClient | undefined, maxInlineBytes: number) {
    this.#objectStore = objectStore;
    this.#maxInlineBytes = maxInlineBytes;
  }

  /** Stores the answer where needed; resolves with what the row says of it. */
  async keep(claim: Claim, answer: StoredAnswer): Promise<AnswerFields> {
    const isSmall = Buffer.byteLength(answer.body) <= this.#maxInlineBytes;
    if (isSmall || !this.#objectStore) {
      return { answer };
    }
    const answerObject = getObjectName(claim);
    await this.#objectStore.put(answerObject, Buffer.from(JSON.stringify(answer)));
    return { answerObject };
  }

  /** The answer of a finished row; undefined when it is no longer kept. */
  async load(row: ClaimRow): Promise<StoredAnswer | undefined> {
    if (row.answer) {
      return row.answer as StoredAnswer;
    }
    const bytes = row.answerObject ? await this.#objectStore?.get(row.answerObject) : undefined;
    return bytes ? (restoreStoredAnswer(bytes) as StoredAnswer) : undefined;
  }

  /** Deletes the object of a row that is gone. */
  async forget(row: ClaimRow): Promise<void> {
    if (row.answerObject) {
      await this.#objectStore?.delete(row.answerObject);
    }
  }
}
