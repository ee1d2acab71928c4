/**
 * Membership list of the fleet, spread by gossip: each daemon periodically sends its roster, with
 * the time since each member was last heard of, to a random other daemon. A starting daemon becomes
 * known to its data centre at once by its hello; gossip repairs losses and removes daemons that are
 * gone.
 */
import type { PeerDirectory, Peer } from './peerDirectory.js';
import type { RosterEntry } from './joinMessages.js';

/**
 * With 400 daemons that each send a roster every 3 s, a live daemon is heard of by all others
 * within 45 s. A daemon that is gone stays in no roster for longer than this.
 */
const EXPIRY_MS = 120_000;

/** Several times the daemons of the largest fleet; others can't make the roster grow beyond. */
const MAX_MEMBERS = 2_000;

export class Roster {
  readonly #directory: PeerDirectory;

  readonly #heardAtMs = new Map<string, number>();

  constructor(directory: PeerDirectory) {
    this.#directory = directory;
  }

  /** Records that the daemon was heard of at that time, directly or through a roster. */
  record(peer: Peer, heardAtMs: number): void {
    const known = this.#heardAtMs.get(peer.vm);
    const isUnwanted =
      known === undefined ? this.#heardAtMs.size >= MAX_MEMBERS : known >= heardAtMs;
    if (isUnwanted) {
      return;
    }
    this.#heardAtMs.set(peer.vm, heardAtMs);
    this.#directory.put(peer);
  }

  merge(entries: readonly RosterEntry[], nowMs: number): void {
    entries
      .filter(({ ageMs }) => ageMs < EXPIRY_MS)
      .forEach(({ peer, ageMs }) => this.record(peer, nowMs - ageMs));
  }

  /** Includes this daemon. */
  list(nowMs: number): readonly RosterEntry[] {
    const others = this.#directory.all.map((peer) => ({
      peer,
      ageMs: Math.round(nowMs - (this.#heardAtMs.get(peer.vm) ?? nowMs)),
    }));
    return [{ peer: this.#directory.self, ageMs: 0 }, ...others];
  }

  removeExpired(nowMs: number): void {
    for (const [vm, heardAtMs] of this.#heardAtMs) {
      if (nowMs - heardAtMs > EXPIRY_MS) {
        this.#heardAtMs.delete(vm);
        this.#directory.remove(vm);
      }
    }
  }
}
