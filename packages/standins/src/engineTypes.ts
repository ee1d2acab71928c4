/** What an engine is asked, answers and records. */
import type { Random } from '@snipehaven/common';
import type { ChatMessage, VersionFaultKind } from './answers.js';
import type { GateTruth } from './faultGate.js';

/** How fast an engine is and how much it takes. */
export interface EngineSizes {
  /** Time of a step, which gives each running stream one token; 0: as fast as it goes. */
  readonly tokenMs: number;
  /** Each further running stream adds this to a step. */
  readonly tokenMsPerRunning: number;
  /** Time to read a prompt token that is not cached; prompts are read one after the other. */
  readonly prefillMsPerToken: number;
  /** Tokens in one event. */
  readonly chunkTokens: number;
  readonly maxRunning: number;
  /** Waiting streams; above it requests are refused. 0 refuses what can't run at once. */
  readonly maxQueued: number;
  /** KV cache for running streams. */
  readonly kvTokens: number;
  /** Memory for cached prefixes, in prompt tokens. */
  readonly cacheTokens: number;
  readonly cacheEventDelayMs: number;
  readonly cacheEventLossRate: number;
  readonly loadPeriodMs: number;
  /** From an accepted `loadVersion` (and its weights) until the version serves. */
  readonly versionLoadMs: number;
  readonly keepStreamMs: number;
}

/** How the answers of a version are bad. */
export interface VersionFault {
  readonly kind: VersionFaultKind;
  /** The share of prompts it strikes; always the same prompts. */
  readonly share: number;
  /** A slow version takes this many steps for a token. */
  readonly slowFactor: number;
}

export interface EngineFaults {
  /** All new requests are refused with `x-not-started`. */
  readonly isRefusing: boolean;
  /** The share of new requests refused with `x-not-started`. */
  readonly refuseRate: number;
  readonly refuseStatus: 429 | 503;
  /** The share of streams that die part of the way. */
  readonly crashRate: number;
  /** This many of the next streams die part of the way. */
  readonly crashNext: number;
  /** The share of streams whose first connection breaks part of the way while they run on. */
  readonly dropRate: number;
  /** This many of the next streams lose their first connection part of the way. */
  readonly dropNext: number;
  readonly versionFaults: Readonly<Record<string, VersionFault>>;
}

/** Fetches a version's weights; resolves to their size. */
export type FetchWeights = (version: string) => Promise<number>;

type OptionalSizes = { readonly [Name in keyof EngineSizes]?: EngineSizes[Name] | undefined };

export interface EngineOptions extends OptionalSizes {
  /** `model@version` of each loaded version. */
  readonly versions: readonly string[];
  readonly checksFences?: boolean | undefined;
  /** A leaving engine refuses new requests; otherwise it runs and records them. */
  readonly refusesWhenLeaving?: boolean | undefined;
  /** Keeps a record of each stream for `GET /truth`; without it only counts. */
  readonly recordsStreams?: boolean | undefined;
  readonly fetchWeights?: FetchWeights | undefined;
  readonly random?: Random | undefined;
}

/** A request to run. */
export interface EngineRequest {
  readonly streamId: string;
  readonly versionId: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens?: number | undefined;
  /** 0 lowest to 9. */
  readonly priority?: number | undefined;
  readonly requestKey?: string | undefined;
}

/** One event of a stream: its number from 1 and OpenAI's chunk as JSON. */
export interface StreamEvent {
  readonly id: number;
  readonly data: string;
}

/** How a subscription ended: whole, cancelled at the engine, or the connection broke. */
export type StreamEnd = 'done' | 'cancelled' | 'broken';

/** Receives a stream's events; called synchronously. */
export interface StreamListener {
  onEvents(events: readonly StreamEvent[]): void;
  onEnd(end: StreamEnd): void;
}

/** Ends a subscription; the stream runs on. */
export type Unsubscribe = () => void;

/** A stream that was just started. */
export interface StartedStream {
  /** Hands events above the number to the listener, now and as they come. */
  subscribe(fromId: number, listener: StreamListener): Unsubscribe;
  /** The answer so far; whole when its state is `finished`. */
  getAnswer(): StreamAnswer;
}

export type StreamStateKind = 'running' | 'finished' | 'cancelled';

export interface StreamState {
  readonly state: StreamStateKind;
  readonly promptTokens: number;
  readonly completionTokens: number;
  /** Events with a number so far. */
  readonly chunks: number;
}

/** A stream's answer so far. */
export interface StreamAnswer extends StreamState {
  readonly streamId: string;
  readonly versionId: string;
  readonly text: string;
  readonly cachedTokens: number;
  readonly createdMs: number;
}

export interface EngineLoad {
  readonly atMs: number;
  readonly running: number;
  readonly queued: number;
  readonly kvUsedPct: number;
  readonly versions: readonly string[];
  readonly leaving: boolean;
}

export type EngineOrderKind = 'loadVersion' | 'unloadVersion' | 'setRole';

export interface EngineOrder {
  readonly fence: number;
  readonly kind: EngineOrderKind;
  readonly version?: string | undefined;
  readonly role?: string | undefined;
}

/** What really happened to one stream. */
export interface StreamTruth {
  readonly streamId: string;
  readonly requestKey?: string | undefined;
  readonly versionId: string;
  readonly promptDigest: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
  readonly state: StreamStateKind;
  readonly isCrashed: boolean;
  readonly startedMs: number;
  readonly endedMs?: number | undefined;
  /** How long after the engine began to leave this was started. */
  readonly startedAfterLeavingMs?: number | undefined;
  /** The highest event handed to any connection. */
  readonly deliveredChunks: number;
  /** Whether a connection was handed the end of the whole answer. */
  readonly isDelivered: boolean;
  /** Further starts of the same id, which ran nothing. */
  readonly duplicateStarts: number;
}

export interface OrderTruth extends EngineOrder {
  readonly atMs: number;
  readonly isObeyed: boolean;
}

export interface EngineTruth {
  readonly gate: GateTruth;
  readonly bootMs: number;
  readonly versions: readonly string[];
  readonly role: string;
  readonly started: number;
  readonly finished: number;
  readonly cancelled: number;
  readonly crashed: number;
  readonly refused: number;
  readonly duplicates: number;
  readonly startedWhileLeaving: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
  readonly running: number;
  readonly queued: number;
  readonly orders: readonly OrderTruth[];
  readonly prefixes: readonly { readonly version: string; readonly prefix: string }[];
  readonly streams: readonly StreamTruth[];
}
