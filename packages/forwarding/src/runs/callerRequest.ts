/** One caller attempt with its complete body. */
import type { HeaderMap, RequestOptions } from '../types.js';

export interface CallerRequest {
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly headers: HeaderMap;
  readonly options: RequestOptions;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
}
