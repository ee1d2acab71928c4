/** Public types of membership. */
import type { Logger, Random } from '@snipehaven/common';
import type { VmListClient } from '@snipehaven/platform';
import type { Member, PeerTransport } from '@snipehaven/protocol';
import type { HybridClock, TimelineRecorder } from '@snipehaven/timeline';

/** Identity of this process, from its settings. */
export type SelfIdentity = Pick<Member, 'vm' | 'dataCentre' | 'address' | 'incarnation'>;

export interface MembershipSettings {
  /** Interval at which one member of the local data centre is probed. */
  readonly probeIntervalMs: number;
  readonly probeTimeoutMs: number;
  /** Time that an indirect prober waits for the member that it probes. */
  readonly indirectTimeoutMs: number;
  /** Interval at which each relay exchanges with its other data centre. */
  readonly relayIntervalMs: number;
  /** Interval at which the address of a dead member or seed is tried again. */
  readonly healIntervalMs: number;
  readonly vmListIntervalMs: number;
  /**
   * Time for a suspect of the local data centre to refute, multiplied by log10 of the number of
   * members.
   */
  readonly suspicionMs: number;
  /** Factor for the time of suspects of other data centres. */
  readonly remoteSuspicionFactor: number;
  /** Time for which members that died or left are remembered. */
  readonly forgetAfterMs: number;
  /** Minimum interval between repairs of differing digests. */
  readonly repairIntervalMs: number;
  /** A timer that is at least this late counts as a pause of the process. */
  readonly pauseThresholdMs: number;
}

export interface MembershipOptions {
  readonly self: SelfIdentity;
  /** Peer protocol addresses to join through. */
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

/**
 * Payload of another subsystem that is sent along with each membership exchange and costs no calls
 * of its own.
 */
export interface GossipTopic {
  readonly name: string;
  /** Returns what the peer may not know yet; undefined if there is nothing to send. */
  getPayload(peer: Member): unknown;
  /** Merges a peer's payload. The topic validates it itself. */
  mergePayload(payload: unknown, from: Member): void;
}

/** The current view of the members. */
export interface MembershipView {
  readonly self: Member;
  /** Members that are alive or suspect, in all data centres, including this one. */
  listAlive(): readonly Member[];
  /** Those of the local data centre, including this one. */
  listLocal(): readonly Member[];
  /** One live member of each other data centre to relay through. */
  listRelays(): readonly Member[];
  /** Whether an incarnation is alive or suspect. */
  isIncarnationAlive(incarnation: string): boolean;
  /**
   * The record of an incarnation; undefined if it is not known yet, or ended long ago and was
   * forgotten.
   */
  getMember(incarnation: string): Member | undefined;
  /**
   * The member of the local data centre that performs the duty for all, by rendezvous hashing over
   * the live members.
   */
  getDutyOwner(duty: string): Member;
  ownsDuty(duty: string): boolean;
  /** Live members of the local data centre by descending rendezvous weight for the key. */
  rankLocal(key: string): readonly Member[];
  /**
   * Calls the listener with each member whose state changed. Returns the function that removes it.
   */
  onChange(listener: (member: Member) => void): () => void;
  /** All remembered members, including this one and those that died or left. */
  listMembers(): readonly Member[];
  /** Calls the listener after the process was paused. Returns the function that removes it. */
  onPause(listener: (pausedMs: number) => void): () => void;
}

/** An exclusive lease with a limited duration and an increasing fencing number. */
export interface Lease {
  readonly name: string;
  readonly fence: number;
  /** False as soon as the lease may have expired, even while the process was paused. */
  isHeld(): boolean;
  /** Remaining time for which the lease is certainly held; 0 once it may have expired. */
  getRemainingMs(): number;
  release(): Promise<void>;
}

export interface LeaseKeeper {
  /**
   * Acquires or extends the lease; undefined while another member holds it or the table is
   * unavailable.
   */
  acquire(name: string, durationMs: number): Promise<Lease | undefined>;
}
