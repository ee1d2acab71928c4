/** What the other packages see of membership. */
import type { Logger, Random } from '@snipehaven/common';
import type { VmListClient } from '@snipehaven/platform';
import type { Member, PeerTransport } from '@snipehaven/protocol';
import type { HybridClock, TimelineRecorder } from '@snipehaven/timeline';

/** Who this process is, from its settings. */
export type SelfIdentity = Pick<Member, 'vm' | 'dataCentre' | 'address' | 'incarnation'>;

export interface MembershipSettings {
  /** One member of the own data centre is probed in each period. */
  readonly probeIntervalMs: number;
  readonly probeTimeoutMs: number;
  /** How long a helper waits for the member that it probes for another. */
  readonly indirectTimeoutMs: number;
  /** How often each relay reaches into its other data centre. */
  readonly relayIntervalMs: number;
  /** How often a dead member's or seed's address is tried again. */
  readonly healIntervalMs: number;
  readonly vmListIntervalMs: number;
  /** How long a suspect of the own data centre may take to refute, times log10 of the size. */
  readonly suspicionMs: number;
  /** How much longer a suspect of another data centre may take. */
  readonly remoteSuspicionFactor: number;
  /** How long the dead and the left are remembered. */
  readonly forgetAfterMs: number;
  /** A member asks for a repair of differing digests at most this often. */
  readonly repairIntervalMs: number;
  /** A timer as late as this counts as a pause of the process. */
  readonly pauseThresholdMs: number;
}

export interface MembershipOptions {
  readonly self: SelfIdentity;
  /** Addresses of the inner protocol to join through. */
  readonly seeds: readonly string[];
  readonly transport: PeerTransport;
  readonly vmList?: VmListClient | undefined;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly random: Random;
  readonly clock: HybridClock;
  readonly topics?: readonly GossipTopic[];
  readonly settings?: Partial<MembershipSettings>;
}

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
  /** What is known of a life; undefined: not met yet, or ended long ago and forgotten. */
  getMember(incarnation: string): Member | undefined;
  /** The member of the own data centre that does the duty for all: rendezvous over live ones. */
  getDutyOwner(duty: string): Member;
  ownsDuty(duty: string): boolean;
  /** Live members of the own data centre by falling rendezvous weight for the key. */
  rankLocal(key: string): readonly Member[];
  /** Calls the listener with each member whose state changed; returns the function that ends it. */
  onChange(listener: (member: Member) => void): () => void;
  /** All members remembered, the dead and the left too, self included. */
  listMembers(): readonly Member[];
  /** Calls the listener after the process was frozen; returns the function that ends it. */
  onPause(listener: (pausedMs: number) => void): () => void;
}

/** An exclusive right held for a while, under a fencing number that only rises. */
export interface Lease {
  readonly name: string;
  readonly fence: number;
  /** False once the lease may have lapsed, counting a pause of the process against it. */
  isHeld(): boolean;
  /** How much longer it is held for sure, 0 once it may have lapsed. */
  getRemainingMs(): number;
  release(): Promise<void>;
}

export interface LeaseKeeper {
  /** Takes or extends the lease; undefined while another holds it or the table is away. */
  acquire(name: string, durationMs: number): Promise<Lease | undefined>;
}
