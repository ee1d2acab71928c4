/**
 * Divides the rate of a cold upstream among the daemons, without any communication between them. A
 * returning upstream looks idle to every daemon at once. The daemons' reports about each other are
 * late at that moment, and a partitioned or frozen daemon reports nothing.
 *
 * The rate is divided in whole requests per second; the remainder goes to the daemons that come
 * first in an order specific to the upstream. Each daemon stays within its share in any second, so
 * the sum does too. With equal fractions of a request, hundreds of daemons could each send their
 * one request in the same second.
 */
import { divideByRank, type RankedDaemon } from './divideByRank.js';

export interface ColdShareInput extends RankedDaemon {
  /** Requests per second that the upstream can take from all daemons. */
  readonly ratePerS: number;
}

/** Returns the number of requests that this daemon may send to the upstream in any second. */
export const getColdShare = ({ ratePerS, ...daemon }: ColdShareInput): number =>
  divideByRank(Math.max(1, Math.floor(ratePerS)), daemon);
