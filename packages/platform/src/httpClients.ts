/** Clients of the platform's services over HTTP; the protocol is docs/PROTOCOLS.md. */
import { DEFAULT_CALL_TIMEOUT_MS } from './constants.js';
import { decodeAnswer, HttpCaller, type PlatformAnswer } from './httpCaller.js';
import {
  namesSchema,
  ratingsSchema,
  resultsSchema,
  rowsSchema,
  scoreSchema,
  vmsSchema,
  weightsSchema,
} from './schemas.js';
import type {
  ListedVm,
  ObjectStoreClient,
  RaterClient,
  RatingPage,
  RatingRequest,
  ScanOptions,
  TableClient,
  TableRow,
  TableTransaction,
  TransactionResult,
  VmListClient,
  WeightStoreClient,
} from './types.js';

const HTTP_NOT_FOUND = 404;

export class HttpTableClient implements TableClient {
  readonly #caller: HttpCaller;

  constructor(baseUrl: string, timeoutMs = DEFAULT_CALL_TIMEOUT_MS) {
    this.#caller = new HttpCaller(baseUrl, timeoutMs);
  }

  async transact(transactions: readonly TableTransaction[]): Promise<readonly TransactionResult[]> {
    const answer = await this.#post('/table/transact', { transactions });
    return decodeAnswer(answer, resultsSchema).results;
  }

  async read(keys: readonly string[]): Promise<readonly TableRow[]> {
    return decodeAnswer(await this.#post('/table/read', { keys }), rowsSchema).rows;
  }

  async scan(options: ScanOptions): Promise<readonly TableRow[]> {
    return decodeAnswer(await this.#post('/table/scan', options), rowsSchema).rows;
  }

  #post(path: string, body: unknown): Promise<PlatformAnswer> {
    return this.#caller.call({ method: 'POST', path, body: JSON.stringify(body) });
  }
}

export class HttpObjectStoreClient implements ObjectStoreClient {
  readonly #caller: HttpCaller;

  constructor(baseUrl: string, timeoutMs = DEFAULT_CALL_TIMEOUT_MS) {
    this.#caller = new HttpCaller(baseUrl, timeoutMs);
  }

  async put(name: string, bytes: Uint8Array): Promise<void> {
    await this.#caller.call({ method: 'PUT', path: `/objects/${name}`, body: bytes });
  }

  async get(name: string): Promise<Uint8Array | undefined> {
    const answer = await this.#caller.call({ method: 'GET', path: `/objects/${name}` });
    return answer.status === HTTP_NOT_FOUND ? undefined : answer.bytes;
  }

  async delete(name: string): Promise<void> {
    await this.#caller.call({ method: 'DELETE', path: `/objects/${name}` });
  }

  async list(prefix: string): Promise<readonly string[]> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    return decodeAnswer(await this.#caller.call({ method: 'GET', path }), namesSchema).names;
  }
}

export class HttpVmListClient implements VmListClient {
  readonly #caller: HttpCaller;

  constructor(baseUrl: string, timeoutMs = DEFAULT_CALL_TIMEOUT_MS) {
    this.#caller = new HttpCaller(baseUrl, timeoutMs);
  }

  async list(): Promise<readonly ListedVm[]> {
    return decodeAnswer(await this.#caller.call({ method: 'GET', path: '/vms' }), vmsSchema).vms;
  }
}

export class HttpRaterClient implements RaterClient {
  readonly #caller: HttpCaller;

  constructor(baseUrl: string, timeoutMs = DEFAULT_CALL_TIMEOUT_MS) {
    this.#caller = new HttpCaller(baseUrl, timeoutMs);
  }

  async submit(ratings: readonly RatingRequest[]): Promise<void> {
    const body = JSON.stringify({ ratings });
    await this.#caller.call({ method: 'POST', path: '/ratings', body });
  }

  async rate(rating: RatingRequest, timeoutMs: number): Promise<number> {
    const body = JSON.stringify(rating);
    const answer = await this.#caller.call({ method: 'POST', path: '/rate', body, timeoutMs });
    return decodeAnswer(answer, scoreSchema).score;
  }

  async fetchRatings(afterSeq: number, limit: number): Promise<RatingPage> {
    const path = `/ratings?after=${afterSeq}&limit=${limit}`;
    return decodeAnswer(await this.#caller.call({ method: 'GET', path }), ratingsSchema);
  }
}

export class HttpWeightStoreClient implements WeightStoreClient {
  readonly #caller: HttpCaller;

  constructor(baseUrl: string, timeoutMs = DEFAULT_CALL_TIMEOUT_MS) {
    this.#caller = new HttpCaller(baseUrl, timeoutMs);
  }

  async getSizeBytes(version: string): Promise<number> {
    const path = `/weights/${encodeURIComponent(version)}`;
    return decodeAnswer(await this.#caller.call({ method: 'GET', path }), weightsSchema).bytes;
  }
}
