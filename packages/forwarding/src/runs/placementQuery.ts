/** What is to be placed at an upstream. */
import type { RequestDigest } from '@snipehaven/common';
import type { ForwardRoute, RequestOptions } from '../types.js';

export interface PlacementQuery {
  readonly service: string;
  readonly route: ForwardRoute;
  readonly options: RequestOptions;
  readonly model: string | undefined;
  /** Lives of upstreams, as `UpstreamEntry.lifeId`. */
  readonly usedUpstreams: ReadonlySet<string>;
  /** Of a request under which an upstream ended; absent for all others. */
  readonly suspectDigest?: RequestDigest | undefined;
}
