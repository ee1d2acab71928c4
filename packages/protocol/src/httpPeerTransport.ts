/** Reaches peers by tRPC over kept-alive HTTP connections. */
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import { Agent, request } from 'undici';
import { getErrorMessage } from '@snipehaven/common';
import {
  PEER_CALL_TIMEOUT_MS,
  PEER_CONNECTIONS,
  PEER_KEEP_ALIVE_MS,
  PEER_PATH,
  PEER_SECRET_HEADER,
} from './constants.js';
import { PeerUnreachableError } from './errors.js';
import type { PeerHandlers, PeerTransport } from './peerHandlers.js';
import type { PeerRouter } from './peerRouter.js';

interface PeerConnection {
  readonly handlers: PeerHandlers;
  readonly agent: Agent;
}

/** Peers are called by TLS, and their certificates checked. */
export interface PeerTlsOptions {
  /** PEM of the authority that signs the daemons' certificates. */
  readonly ca: string;
  /** DNS name in all of them; daemons are called by IP number, which no certificate can know. */
  readonly serverName: string;
}

type Call<Input, Output> = (input: Input, options: { signal: AbortSignal }) => Promise<Output>;

interface PostOptions {
  readonly headers: Record<string, string>;
  readonly body: string;
  readonly signal: AbortSignal;
}

interface PeerAnswer {
  readonly ok: boolean;
  json(): Promise<unknown>;
}

const HTTP_OK_LIMIT = 300;

/** What tRPC's link uses of a fetch; a whole one costs more processor time and a third more header bytes. */
const post = async (
  agent: Agent,
  url: string,
  { headers, body, signal }: PostOptions,
): Promise<PeerAnswer> => {
  const options = { dispatcher: agent, method: 'POST', headers, body, signal } as const;
  const answer = await request(url, options);
  return { ok: answer.statusCode < HTTP_OK_LIMIT, json: () => answer.body.json() };
};

/**
 * What goes wrong: a kept-alive connection to a peer goes silent for good, and every later call over it
 * times out though the peer is well. One notices a member suspected over and over that others reach.
 * After any failed call the connection is dropped, so the next call opens a new one.
 */
export class HttpPeerTransport implements PeerTransport {
  readonly #connections = new Map<string, PeerConnection>();

  readonly #secret: string;

  readonly #timeoutMs: number;

  readonly #tls: PeerTlsOptions | undefined;

  constructor(secret: string, timeoutMs = PEER_CALL_TIMEOUT_MS, tls?: PeerTlsOptions) {
    this.#secret = secret;
    this.#timeoutMs = timeoutMs;
    this.#tls = tls;
  }

  getPeer(address: string): PeerHandlers {
    const present = this.#connections.get(address);
    if (present) {
      return present.handlers;
    }
    const connection = this.#connect(address);
    this.#connections.set(address, connection);
    return connection.handlers;
  }

  /** Drops the connection to a peer that is gone. */
  drop(address: string): void {
    const connection = this.#connections.get(address);
    this.#connections.delete(address);
    connection?.agent.destroy().catch(() => undefined);
  }

  async close(): Promise<void> {
    const agents = [...this.#connections.values()].map((connection) => connection.agent);
    this.#connections.clear();
    await Promise.all(agents.map((agent) => agent.destroy()));
  }

  #connect(address: string): PeerConnection {
    const agent = new Agent({
      connections: PEER_CONNECTIONS,
      keepAliveTimeout: PEER_KEEP_ALIVE_MS,
      connect: {
        timeout: this.#timeoutMs,
        ...(this.#tls ? { ca: this.#tls.ca, servername: this.#tls.serverName } : {}),
      },
    });
    const client = createTRPCClient<PeerRouter>({
      links: [
        httpLink({
          url: `${this.#tls ? 'https' : 'http'}://${address}${PEER_PATH}`,
          headers: { [PEER_SECRET_HEADER]: this.#secret },
          fetch: (url, options) => post(agent, url as string, options as PostOptions),
        }),
      ],
    });
    return { agent, handlers: this.#createHandlers(address, client) };
  }

  #createHandlers(address: string, client: TRPCClient<PeerRouter>): PeerHandlers {
    const wrap =
      <Input, Output>(call: Call<Input, Output>) =>
      (input: Input): Promise<Output> =>
        this.#call(address, call, input);
    return {
      membership: {
        exchange: wrap(client.membership.exchange.mutate),
        probe: wrap(client.membership.probe.mutate),
      },
      configuration: {
        pushChanges: wrap(client.configuration.pushChanges.mutate),
        fetchChanges: wrap(client.configuration.fetchChanges.mutate),
        pushSafeMoves: wrap(client.configuration.pushSafeMoves.mutate),
      },
      usage: { replicate: wrap(client.usage.replicate.mutate) },
      evidence: { deliverScores: wrap(client.evidence.deliverScores.mutate) },
      limits: { requestShares: wrap(client.limits.requestShares.mutate as never) },
      sessions: {
        getPin: wrap(client.sessions.getPin.mutate),
        putPin: wrap(client.sessions.putPin.mutate),
      },
      timeline: { listEvents: wrap(client.timeline.listEvents.mutate as never) },
    };
  }

  async #call<Input, Output>(
    address: string,
    call: Call<Input, Output>,
    input: Input,
  ): Promise<Output> {
    const signal = AbortSignal.timeout(this.#timeoutMs);
    try {
      return await call(input, { signal });
    } catch (error) {
      this.drop(address);
      throw new PeerUnreachableError(`${address}: ${getErrorMessage(error)}`, { cause: error });
    }
  }
}
