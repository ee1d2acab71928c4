/** What the other packages see of membership. */
import type { Member } from '@snipehaven/protocol';

/** Carries a concern's payload along with each membership exchange, so that it costs no calls. */
export interface GossipTopic {
  readonly name: string;
  /** What the peer may not know yet; undefined: nothing to say. */
  getPayload(peer: Member): unknown;
  /** Takes in a peer's payload, which the topic checks itself. */
  mergePayload(payload: unknown, from: Member): void;
}

/** The live view of who is there. */
export interface MembershipView {
  readonly self: Member;
  /** Members held alive or suspect, in all data centres, self included. */
  listAlive(): readonly Member[];
  /** Those of the own data centre, self included. */
  listLocal(): readonly Member[];
  /** One live member of each other data centre, to relay through. */
  listRelays(): readonly Member[];
  /** Whether a process's life is still believed to go on. */
  isIncarnationAlive(incarnation: string): boolean;
  /** The member of the own data centre that does the duty for all: rendezvous over live ones. */
  getDutyOwner(duty: string): Member;
  ownsDuty(duty: string): boolean;
  /** Live members of the own data centre by falling rendezvous weight for the key. */
  rankLocal(key: string): readonly Member[];
  /** Calls the listener with each member whose state changed; returns the function that ends it. */
  onChange(listener: (member: Member) => void): () => void;
}

/** An exclusive right held for a while, under a fencing number that only rises. */
export interface Lease {
  readonly name: string;
  readonly fence: number;
  /** False once the lease may have lapsed, counting a pause of the process against it. */
  isHeld(): boolean;
  release(): Promise<void>;
}

export interface LeaseKeeper {
  /** Takes or extends the lease; undefined while another holds it or the table is away. */
  acquire(name: string, durationMs: number): Promise<Lease | undefined>;
}
