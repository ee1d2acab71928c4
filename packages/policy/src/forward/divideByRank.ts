/** Divides a number of requests among daemons without any communication between them. */

export interface RankedDaemon {
  /** Number of known daemons, including this one and those that may have ended. */
  readonly daemons: number;
  /** Number of daemons that precede this one in the upstream's order. */
  readonly rank: number;
}

/**
 * The whole requests of this daemon; the remainder goes to the first daemons. With fractions of a
 * request, hundreds of daemons could each send their one request at the same moment.
 */
export const divideByRank = (requests: number, { daemons, rank }: RankedDaemon): number => {
  const perDaemon = Math.floor(requests / daemons);
  const remainder = requests - perDaemon * daemons;
  return perDaemon + (rank < remainder ? 1 : 0);
};
