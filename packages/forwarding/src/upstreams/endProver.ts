/**
 * Judges whether a response that is ended by its connection alone is whole. An upstream whose process
 * exits ends its connections in the same way as after a whole response, but all of them at once, and
 * its port then refuses connections.
 */
import { sleep } from '@snipehaven/common';
import { END_SETTLE_MS, END_TOGETHER_MS } from '../constants.js';
import type { ConnectionPool } from '../exchange/index.js';
import type { ExitVerdict } from './exitDetector.js';

/**
 * What an upstream showed as it ended a response. `connectionsOpen`: its other connections live on.
 * `accepting`: it accepts connections. `exited`: its process has exited. `leavingExit`: it has exited as
 * it had announced, which it may do after its last response. `unreachable`: nothing answers.
 */
export type EndEvidence =
  'connectionsOpen' | 'accepting' | 'exited' | 'leavingExit' | 'unreachable';

export type EndVerdict = 'whole' | 'cut' | 'unknown';

export const endVerdicts: Readonly<Record<EndEvidence, EndVerdict>> = {
  connectionsOpen: 'whole',
  accepting: 'whole',
  exited: 'cut',
  leavingExit: 'unknown',
  unreachable: 'unknown',
};

export interface EndProverOptions {
  readonly pool: ConnectionPool;
  checkProcess(): Promise<ExitVerdict>;
  /** Whether the upstream is expected to exit. */
  isLeaving(): boolean;
}

export class EndProver {
  readonly #options: EndProverOptions;

  constructor(options: EndProverOptions) {
    this.#options = options;
  }

  /** To be called when the connection of the attempt has ended and its response has been read. */
  async prove(attemptId: string): Promise<EndEvidence> {
    const { pool, checkProcess, isLeaving } = this.#options;
    const endedAtMs = performance.now();
    const others = pool.listOpen();
    await sleep(END_SETTLE_MS);
    if (pool.lastAcceptedAtMs >= endedAtMs) {
      return 'accepting';
    }
    const ends = pool.ends.listOthersSince(endedAtMs - END_TOGETHER_MS, attemptId);
    const open = others.filter((connection) => pool.isOpen(connection));
    // Some end by chance at the same time, and the end of one may be delayed on its way.
    if (open.length > ends.length) {
      return 'connectionsOpen';
    }
    const evidence: Readonly<Record<ExitVerdict, EndEvidence>> = {
      listening: 'accepting',
      ended: isLeaving() && ends.length === 0 ? 'leavingExit' : 'exited',
      unknown: 'unreachable',
    };
    return evidence[await checkProcess()];
  }
}
