/** Asks one other daemon to relay a connection to an upstream. */
import { request as sendRequest } from 'node:http';
import type { Peer } from '../peers/index.js';
import { RELAY_ANSWER_TIMEOUT_MS } from './constants.js';
import { RELAY_METHOD, renderRelayPath, toRelayOutcome } from './relayProtocol.js';
import { RelayedStream } from './relayedStream.js';
import type { RelayResult } from './types.js';

export interface RelayQuestion {
  readonly peer: Peer;
  /** Own address: the other daemon relays for listed daemons only. */
  readonly localAddress: string;
  readonly lifeId: string;
}

/** Calls back once, unless given up by the returned function. */
export type AskRelay = (
  question: RelayQuestion,
  callback: (result: RelayResult) => void,
) => () => void;

export const askRelay: AskRelay = ({ peer, localAddress, lifeId }, callback) => {
  const request = sendRequest({
    host: peer.host,
    port: peer.port,
    localAddress,
    method: RELAY_METHOD,
    path: renderRelayPath(lifeId),
    headers: { 'Transfer-Encoding': 'chunked' },
    agent: false,
  });
  let isSettled = false;
  const settle = (result: RelayResult): void => {
    clearTimeout(timer);
    if (isSettled) {
      return;
    }
    isSettled = true;
    if (result.outcome !== 'connected') {
      request.destroy();
    }
    callback(result);
  };
  const timer = setTimeout(() => settle({ outcome: 'unavailable' }), RELAY_ANSWER_TIMEOUT_MS);
  request.on('response', (response) => {
    const outcome = toRelayOutcome(response.statusCode);
    settle(
      outcome === 'connected'
        ? { outcome, stream: new RelayedStream(request, response) }
        : { outcome },
    );
  });
  request.on('error', () => settle({ outcome: 'unavailable' }));
  request.setNoDelay(true);
  request.flushHeaders();
  return () => {
    isSettled = true;
    clearTimeout(timer);
    request.destroy();
  };
};
