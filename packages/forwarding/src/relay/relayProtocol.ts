/**
 * The request by which a daemon has a connection to an upstream relayed: `POST /connections/LIFE`,
 * LIFE being the incarnation of the upstream. After status 200 the bodies of request and response
 * carry the bytes in both directions, in chunks: a response that is not ended by its last chunk was
 * broken off, by the upstream or by the relaying daemon.
 */
import type { RelayOutcome } from './types.js';

const PREFIX = '/connections/';

export const RELAY_METHOD = 'POST';

export const renderRelayPath = (lifeId: string): string => `${PREFIX}${encodeURIComponent(lifeId)}`;

/** Undefined for any other path. */
export const parseRelayPath = (path: string): string | undefined => {
  if (!path.startsWith(PREFIX)) {
    return undefined;
  }
  try {
    return decodeURIComponent(path.slice(PREFIX.length));
  } catch {
    // Not valid percent-encoding.
    return undefined;
  }
};

export const relayStatuses: Readonly<Record<RelayOutcome, number>> = {
  connected: 200,
  refused: 502,
  silent: 504,
  unavailable: 503,
};

export const toRelayOutcome = (status: number | undefined): RelayOutcome => {
  const known = Object.entries(relayStatuses).find(([, one]) => one === status);
  return (known?.[0] as RelayOutcome | undefined) ?? 'unavailable';
};
