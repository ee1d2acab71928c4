/** What engines say of a dead owner's runs, and the settlement that follows. */
import { sleep } from '@snipehaven/common';
import type { OpenUsage, UsageStream } from '@snipehaven/protocol';
import { StreamUnknownError, type EngineClient, type StreamState } from '@snipehaven/upstream';
import type { LedgerSettings, Settlement } from './types.js';
import { createUsageLine } from './usageCost.js';
import { withTimeout } from './withTimeout.js';

/** `unknown`: the engine is silent, or may have forgotten a run that ended long ago. */
export type StreamAccount =
  | { readonly kind: 'ran'; readonly stream: UsageStream; readonly state: StreamState }
  | { readonly kind: 'notStarted' }
  | { readonly kind: 'unknown'; readonly stream: UsageStream };

export type AccountEngines = Pick<EngineClient, 'getState' | 'cancel'>;

/** A record to ask engines for, and since when it is known by the own clock. */
export interface AccountQuery {
  readonly usage: OpenUsage;
  readonly receivedAtMs: number;
}

type Bounds = Pick<
  LedgerSettings,
  'engineTimeoutMs' | 'engineAttempts' | 'engineRetryMs' | 'engineRetentionMs'
>;

/** No run of the record was handed over before. */
const getHandedOverAtMs = (query: AccountQuery): number =>
  Math.min(query.receivedAtMs, query.usage.openedAtMs);

/** The end of a run as the engine states it; a run under way is cancelled first. */
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
 * Engines answer "unknown stream" both for a run that never started and for one whose account they have
 * dropped. Only within their time of keeping does it prove the first.
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

/** Asks for all runs of a record at the same time, each a bounded number of times. */
export const askEngines = (
  engines: AccountEngines,
  query: AccountQuery,
  bounds: Bounds,
): Promise<readonly StreamAccount[]> =>
  Promise.all(query.usage.streams.map((stream) => askEngine(engines, stream, query, bounds)));

/**
 * The settlement by the engines' accounts: delivered tokens make it partial, and what no engine accounts
 * for is never charged. Undefined: every run is proven not started.
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
