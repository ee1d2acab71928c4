/** The connections to one upstream that the upstream or the network has ended lately. */
import { MAX_REMEMBERED_ENDS } from '../constants.js';

/** `closed`: the upstream ended its side. `reset`: the connection was lost in another way. */
export type ConnectionEnding = 'closed' | 'reset';

export interface ConnectionEnd {
  readonly atMs: number;
  readonly ending: ConnectionEnding;
  /** The caller's attempt that it carried; undefined while it was idle. */
  readonly attemptId: string | undefined;
}

export class ConnectionEnds {
  #recent: ConnectionEnd[] = [];

  record(end: ConnectionEnd): void {
    this.#recent.push(end);
    if (this.#recent.length > MAX_REMEMBERED_ENDS) {
      this.#recent.shift();
    }
  }

  /** Ends since then of connections that did not carry the attempt; newest last. */
  listOthersSince(sinceMs: number, attemptId: string): readonly ConnectionEnd[] {
    return this.#recent.filter((end) => end.atMs >= sinceMs && end.attemptId !== attemptId);
  }
}
