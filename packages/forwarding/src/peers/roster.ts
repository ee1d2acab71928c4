/**
 * Who is there: daemons tell one other, drawn anew, whom they know and when each was last heard of.
 * What starts is known to its data centre at once, by its hello; this repairs what was lost, and
 * forgets who is gone.
 */
import type { PeerDirectory, Peer } from './peerDirectory.js';
import type { RosterEntry } from './joinMessages.js';

/**
 * A daemon that lives is heard of by all within 45 s, at 400 daemons that tell one other each 3 s; one
 * that is gone for good stays in no list for longer than this.
 */
const FORGET_MS = 120_000;

export class Roster {
  readonly #directory: PeerDirectory;

  readonly #heardAtMs = new Map<string, number>();

  constructor(directory: PeerDirectory) {
    this.#directory = directory;
  }

  /** The daemon was heard, or heard of, at that moment. */
  note(peer: Peer, heardAtMs: number): void {
    const known = this.#heardAtMs.get(peer.vm);
    if (known !== undefined && known >= heardAtMs) {
      return;
    }
    this.#heardAtMs.set(peer.vm, heardAtMs);
    this.#directory.put(peer);
  }

  merge(entries: readonly RosterEntry[], nowMs: number): void {
    entries
      .filter(({ ageMs }) => ageMs < FORGET_MS)
      .forEach(({ peer, ageMs }) => this.note(peer, nowMs - ageMs));
  }

  /** This daemon among them. */
  list(nowMs: number): readonly RosterEntry[] {
    const others = this.#directory.all.map((peer) => ({
      peer,
      ageMs: Math.round(nowMs - (this.#heardAtMs.get(peer.vm) ?? nowMs)),
    }));
    return [{ peer: this.#directory.self, ageMs: 0 }, ...others];
  }

  forgetGone(nowMs: number): void {
    for (const [vm, heardAtMs] of this.#heardAtMs) {
      if (nowMs - heardAtMs > FORGET_MS) {
        this.#heardAtMs.delete(vm);
        this.#directory.remove(vm);
      }
    }
  }
}
