import { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

/**
 * Whether a connection that has just ended was reset. The runtime reports a reset that comes with the
 * last bytes as an ordinary end; but only a connection that was reset has no peer any more. To be
 * called once, in the event `end`, as the peer's address is kept once it was asked for.
 */
export const isReset = (stream: Duplex): boolean =>
  stream instanceof Socket && stream.remoteAddress === undefined;
