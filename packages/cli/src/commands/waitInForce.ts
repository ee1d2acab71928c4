/** Waits until a revision is in force at every daemon. */
import { sleep } from '@snipehaven/common';
import type { OperatorApi } from '../api/operatorApi.js';
import { WAIT_POLL_MS } from '../constants.js';
import { InvalidInputError, UnreachableError, WaitTimeoutError } from '../errors.js';

/** What `--wait` can wait for. */
export const waitConditions = ['inForce'] as const;

/** Checks the value of `--wait`. */
export const requireWaitCondition = (condition: string | undefined): void => {
  if (condition !== undefined && !waitConditions.some((known) => known === condition)) {
    throw new InvalidInputError(
      `cannot wait for ${condition}; there is ${waitConditions.join(', ')}`,
    );
  }
};

/** What the last poll found; a daemon that does not answer is asked again. */
const poll = async (api: OperatorApi, revision: number): Promise<string | undefined> => {
  try {
    const status = await api.getStatus(revision);
    const condition = status.conditions.find(({ type }) => type === 'InForce');
    return condition?.status === 'true' ? undefined : (condition?.message ?? 'unknown');
  } catch (error) {
    if (error instanceof UnreachableError) {
      return error.message;
    }
    throw error;
  }
};

/** Resolves when all daemons have applied the revision; throws {@link WaitTimeoutError}. */
export const waitInForce = async (
  api: OperatorApi,
  revision: number,
  timeoutMs: number,
): Promise<void> => {
  const endMs = Date.now() + timeoutMs;
  let missing = await poll(api, revision);
  while (missing !== undefined) {
    if (Date.now() >= endMs) {
      throw new WaitTimeoutError(`not in force after ${timeoutMs} ms: ${missing}`);
    }
    await sleep(WAIT_POLL_MS);
    missing = await poll(api, revision);
  }
};
