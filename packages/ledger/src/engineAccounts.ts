/** Asks engines about a dead owner's runs and derives the settlement. */
import { sleep } from '@snipehaven/common';
import type { OpenUsage, UsageStream } from '@snipehaven/protocol';
import { StreamUnknownError, type EngineClient, type StreamState } from '@snipehaven/upstream';
import type { LedgerSettings, Settlement } from './types.js';
import { createUsageLine } from './usageCost.js';
import { withTimeout } from './withTimeout.js';

/** `unknown`: the engine does not answer, or may have dropped a run that ended long ago. */
export type StreamAccount =
  | { readonly kind: 'ran'; readonly stream: UsageStream; readonly state: StreamState }
  | { readonly kind: 'notStarted' }
  | { readonly kind: 'unknown'; readonly stream: UsageStream };

export type AccountEngines = Pick<EngineClient, 'getState' | 'cancel'>;

/** A record to ask engines about, and the local time at which it was received. */
export interface AccountQuery {
  readonly usage: OpenUsage;
  readonly receivedAtMs: number;
}

type Bounds = Pick<
  LedgerSettings,
  'engineTimeoutMs' | 'engineAttempts' | 'engineRetryMs' | 'engineRetentionMs'
>;

/** Lower bound for the time at which a run of the record was handed over. */
const getHandedOverAtMs = (query: AccountQuery): number =>
  Math.min(query.receivedAtMs, query.usage.openedAtMs);

/** Final state of a run according to the engine; a running one is cancelled first. */
const fetchFinalState = async (
  engines: AccountEngines,
  stream: UsageStream,
  handedOverAtMs: number,
  timeoutMs: number,
): Promise<StreamState | undefined> => {
  const { upstreamUrl, streamId } = stream;
  const bound = <Result>(call: Promise<Result>): Promise<Result> =>
    withTimeout(call, timeoutMs, stream.upstream);
  const state = await bound(engines.getState(upstreamUrl, streamId, handedOverAtMs));
  return state?.state === 'running'
    ? bound(engines.cancel(upstreamUrl, streamId, handedOverAtMs))
    : state;
};

/**
 * Engines answer "unknown stream" for a run that never started and for one they no longer keep. Only
 * within their retention period does it prove that the run never started.
 */
const canProveNotStarted = (query: AccountQuery, bounds: Bounds): boolean =>
  Date.now() - getHandedOverAtMs(query) < bounds.engineRetentionMs;

const askEngine = async (
  engines: AccountEngines,
  stream: UsageStream,
  query: AccountQuery,
  bounds: Bounds,
): Promise<StreamAccount> => {
  for (let attempt = 1; attempt <= bounds.engineAttempts; attempt += 1) {
    try {
      const handedOverAtMs = getHandedOverAtMs(query);
      const state = await fetchFinalState(engines, stream, handedOverAtMs, bounds.engineTimeoutMs);
      if (state) {
        return { kind: 'ran', stream, state };
      }
      const isProof = canProveNotStarted(query, bounds);
      return isProof ? { kind: 'notStarted' } : { kind: 'unknown', stream };
    } catch (error) {
      if (error instanceof StreamUnknownError) {
        return { kind: 'unknown', stream };
      }
      await sleep(bounds.engineRetryMs);
    }
  }
  return { kind: 'unknown', stream };
};

/** Asks about all runs of a record concurrently, with a bounded number of attempts each. */
export const askEngines = (
  engines: AccountEngines,
  query: AccountQuery,
  bounds: Bounds,
): Promise<readonly StreamAccount[]> =>
  Promise.all(query.usage.streams.map((stream) => askEngine(engines, stream, query, bounds)));

/**
 * Derives the settlement from the engines' answers: delivered tokens make it partial, and tokens that no
 * engine reports are never charged. Undefined if every run is proven not to have started.
 */
export const getAdoptedSettlement = (
  accounts: readonly StreamAccount[],
): Settlement | undefined => {
  if (accounts.every((account) => account.kind === 'notStarted')) {
    return undefined;
  }
  const lines = accounts.flatMap((account) =>
    account.kind === 'ran' && account.state.completionTokens > 0
      ? [
          createUsageLine(
            account.stream,
            account.state.promptTokens,
            account.state.completionTokens,
          ),
        ]
      : [],
  );
  return { outcome: lines.length > 0 ? 'partial' : 'unanswered', lines };
};
