/** Input for choosing an upstream for a request. */
import type { RequestDigest } from '@snipehaven/common';
import type { ForwardRoute, RequestOptions } from '../types.js';

export interface PlacementQuery {
  readonly service: string;
  readonly route: ForwardRoute;
  readonly options: RequestOptions;
  readonly model: string | undefined;
  /** Incarnations of upstreams that this request was already sent to, as `UpstreamEntry.lifeId`. */
  readonly usedUpstreams: ReadonlySet<string>;
  /** Incarnations of upstreams that have no free place for this request. */
  readonly fullUpstreams: ReadonlySet<string>;
  /** Digest of a request during which an upstream process exited; absent for all others. */
  readonly suspectDigest?: RequestDigest | undefined;
}
