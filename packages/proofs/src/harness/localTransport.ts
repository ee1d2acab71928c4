/** The inner protocol between daemons of one process: the router's own checks, no sockets. */
import {
  createLocalPeer,
  PeerUnreachableError,
  type PeerHandlers,
  type PeerTransport,
} from '@snipehaven/protocol';
import { getErrorMessage } from '@snipehaven/common';
import type { Network } from './network.js';

const CALL_TIMEOUT_MS = 1_000;

/** Which daemon answers at an address now, if any. */
export type PeerLookup = (
  address: string,
) => { readonly node: string; readonly handlers: PeerHandlers } | undefined;

type Method = (input: unknown) => Promise<unknown>;

/** Messages cross a wire: neither side may see the other's objects. */
const copy = <Value>(value: Value): Value =>
  value === undefined ? value : (JSON.parse(JSON.stringify(value)) as Value);

export class LocalTransport implements PeerTransport {
  readonly #node: string;

  readonly #network: Network;

  readonly #lookUp: PeerLookup;

  constructor(node: string, network: Network, lookUp: PeerLookup) {
    this.#node = node;
    this.#network = network;
    this.#lookUp = lookUp;
  }

  getPeer(address: string): PeerHandlers {
    const concerns = new Proxy(
      {},
      {
        get: (_target, concern: string) =>
          new Proxy(
            {},
            {
              get: (_inner, method: string) => (input: unknown) =>
                this.#call(address, concern, method, input),
            },
          ),
      },
    );
    return concerns as PeerHandlers;
  }

  async #call(address: string, concern: string, method: string, input: unknown): Promise<unknown> {
    try {
      return await this.#network.call(this.#node, address, CALL_TIMEOUT_MS, () =>
        this.#perform(address, concern, method, input),
      );
    } catch (error) {
      throw new PeerUnreachableError(`${address}: ${getErrorMessage(error)}`, { cause: error });
    }
  }

  async #perform(
    address: string,
    concern: string,
    method: string,
    input: unknown,
  ): Promise<unknown> {
    const peer = this.#lookUp(address);
    if (peer === undefined) {
      throw new Error('connection refused');
    }
    const handlers = createLocalPeer(peer.handlers) as unknown as Record<
      string,
      Record<string, Method>
    >;
    return copy(await handlers[concern]?.[method]?.(copy(input)));
  }
}
