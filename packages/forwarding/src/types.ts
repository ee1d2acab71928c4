/**
 * The forwarder's domain types: routes, service pools, teams, upstreams, and the options of a
 * request.
 */

/**
 * Which requests may be repeated: `idempotent` ones may run again; `nonIdempotent` ones run at most
 * once per caller attempt; a `stream` is a series of numbered events, repeatable only when
 * resumable.
 */
export type RouteKind = 'idempotent' | 'nonIdempotent' | 'stream';

/** The share of a route's requests that goes to one service. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

export interface ForwardRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** The longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Answers within this time are on time; for streams, the first event. */
  readonly targetLatencyMs: number;
  /** The longest pause between events for which a stream is still on time. */
  readonly targetGapMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isPublic: boolean;
  readonly isResumable: boolean;
  /** Maximum number of upstreams that one caller attempt may be sent to. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
  /** Models to choose from, smallest first; empty if the caller names the model. */
  readonly models: readonly string[];
}

export interface EngineModel {
  readonly name: string;
  /** Per 1,000 generated tokens, in the operator's own unit. */
  readonly costPer1000Tokens: number;
}

/** Declared properties of a pool whose upstreams run language models. */
export interface EngineFacts {
  readonly models: readonly EngineModel[];
}

/** Declared properties of upstreams that have just started or become cold again. */
export interface WarmUpFacts {
  /** How long an upstream stays cold after its start. */
  readonly durationMs: number;
  /**
   * Requests a second that a cold upstream can take from all daemons together; far above this rate,
   * it crashes.
   */
  readonly requestsPerS: number;
}

export interface ServicePool {
  readonly name: string;
  /** Absent if a cold upstream can take as many requests as any other. */
  readonly warmUp?: WarmUpFacts;
  readonly engine?: EngineFacts;
}

export interface ForwardTeam {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the route's priority. */
  readonly priority?: number;
}

/** Size limits of requests, and time-outs for receiving them. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface ForwardConfiguration {
  readonly version: number;
  readonly routes: readonly ForwardRoute[];
  readonly services: readonly ServicePool[];
  /** Empty if requests carry no key. */
  readonly teams: readonly ForwardTeam[];
  readonly limits: CallerLimits;
}

/** An order to move a service's traffic to the upstreams of another software version. */
export interface RolloutOrder {
  readonly service: string;
  readonly toVersion: string;
  readonly durationMs: number;
}

export type RolloutState = 'running' | 'completed' | 'rolledBack';

export type UpstreamState = 'ready' | 'draining';

export interface Upstream {
  readonly id: string;
  /**
   * Unix time of its start in ms. An upstream that restarts under its id knows nothing of its
   * earlier life.
   */
  readonly bornAtMs?: number;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly softwareVersion: string;
  readonly slots: number;
  readonly state: UpstreamState;
  /** Rises with each row that this life of the upstream writes. */
  readonly sequence?: number;
  /** How much longer it stays cold, counted from its statement; absent if it is not cold. */
  readonly coldMs?: number;
}

export interface PromptPart {
  /** In a form of bounded length. */
  readonly id: string;
  readonly tokens: number;
}

/** Options from a caller's headers. */
export interface RequestOptions {
  /** Identifies one caller attempt. Empty when the caller sent none. */
  readonly attemptId: string;
  /**
   * How long the caller waits, counted from when it sent the request; absent if there is no limit.
   */
  readonly deadlineMs?: number;
  readonly teamKey?: string;
  /** In a form of bounded length. */
  readonly session?: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** In order; the last part belongs to the request or its session alone. */
  readonly promptParts: readonly PromptPart[];
  /** The caller has received all events up to this one. */
  readonly lastEventId?: number;
}

/**
 * What an answer says about the request rate that its upstream accepts from all daemons together.
 * `invalid`: the value is not a plausible rate and changes nothing.
 */
export type StatedRateLimit =
  | { readonly kind: 'none' }
  | { readonly kind: 'limited'; readonly requestsPerS: number }
  | { readonly kind: 'invalid'; readonly text: string };

/**
 * How long an upstream that turned a request away wants none from this daemon. `invalid`: the value
 * is not a plausible time and changes nothing.
 */
export type StatedBackOff =
  | { readonly kind: 'none' }
  | { readonly kind: 'backOff'; readonly delayMs: number }
  | { readonly kind: 'invalid'; readonly text: string };

/**
 * How many requests an upstream can turn away in a second for want of room before it falls over.
 * `invalid`: the value is not a plausible number and changes nothing.
 */
export type StatedBrittleness =
  | { readonly kind: 'none' }
  | { readonly kind: 'brittle'; readonly rejectionsPerS: number }
  | { readonly kind: 'invalid'; readonly text: string };

/** Metadata from an upstream's answer headers. */
export interface AnswerMetadata {
  /** The attempt that the answer belongs to, as echoed by the upstream. */
  readonly attemptId?: string;
  /** The upstream states that it did not run the request. */
  readonly isNotRun: boolean;
  /** The answer came from another upstream than the one that the request was sent to. */
  readonly isMisdirected: boolean;
  /** The model's confidence in its answer, 0 to 100. */
  readonly confidence?: number;
  readonly rateLimit: StatedRateLimit;
  readonly backOff: StatedBackOff;
  readonly brittleness: StatedBrittleness;
  /** The upstream states that it is leaving. */
  readonly isLeaving: boolean;
}

/** Values of the headers that the forwarder adds to a request to an upstream. */
export interface UpstreamHeaderValues {
  readonly upstreamId: string;
  readonly remainingMs: number;
  readonly team?: string;
  readonly model?: string;
  readonly lastEventId?: number;
  /** 0 (first) to 9; only engines read it. */
  readonly enginePriority?: number;
}

export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>;

/** Header names and formats, implemented by the platform's adapter. */
export interface HeaderDialect {
  readRequest(headers: HeaderMap): RequestOptions;
  /** The headers for an upstream: the caller's end-to-end headers plus the values. */
  buildUpstreamHeaders(
    headers: HeaderMap,
    values: UpstreamHeaderValues,
  ): Record<string, string | string[]>;
  readAnswer(status: number, headers: HeaderMap): AnswerMetadata;
  /** The answer's end-to-end headers as sent to the caller. */
  buildCallerHeaders(headers: HeaderMap): Record<string, string | string[]>;
}

export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}
