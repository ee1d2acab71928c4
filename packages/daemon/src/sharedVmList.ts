/** The platform's list of VMs, read by one daemon of each data centre for all of it. */
import type { GossipTopic } from '@snipehaven/membership';
import type { ListedVm, VmListClient } from '@snipehaven/platform';
import type { Member } from '@snipehaven/protocol';
import { z } from 'zod';

/** Whoever has this duty reads the list; membership's own reads of it fall to the same daemon. */
export const VM_LIST_DUTY = 'vmList';
/** Without word of a read for so long a daemon reads for itself. */
export const READ_ALONE_AFTER_MS = 10_000;
/** Callers ask each second; a longer silence of theirs shows that the process stood still. */
export const RESUMED_AFTER_MS = 2_500;
/** A list read less than this ago serves another caller of the same daemon. */
const REUSE_MS = 500;

const leavingVmSchema = z.object({ name: z.string(), dataCentre: z.string(), address: z.string() });

const payloadSchema = z.object({
  /** Rises with each change of what leaves. */
  stamp: z.number(),
  /** Since the list was last read by anyone. */
  ageMs: z.number().nonnegative(),
  leaving: z.array(leavingVmSchema),
});

type LeavingVm = z.infer<typeof leavingVmSchema>;

export interface SharedVmListOptions {
  readonly source: VmListClient;
  readonly localDataCentre: string;
  readonly ownsDuty: () => boolean;
  /** Exchanges news with all of the data centre at once. */
  readonly spread: () => void;
}

const listLeaving = (vms: readonly ListedVm[]): readonly LeavingVm[] =>
  vms
    .filter((vm) => vm.role === 'upstream' && vm.state === 'leaving')
    .map(({ name, dataCentre, address }) => ({ name, dataCentre, address }))
    .sort((a, b) => (a.name < b.name ? -1 : 1));

const isSame = (a: readonly LeavingVm[], b: readonly LeavingVm[]): boolean =>
  JSON.stringify(a) === JSON.stringify(b);

/**
 * The one that reads tells the others which upstreams leave, at once and again with each exchange; they
 * answer `list` with just these.
 *
 * What goes wrong: the list grows with the system, and all daemons read it each second; at 1,500 VMs that
 * is 180 KB/s of each daemon. One notices platform traffic that grows with the square of the size.
 * The reader may also be dead, or cut off from the list alone: whoever hears of no read for a while reads.
 */
export class SharedVmList implements VmListClient, GossipTopic {
  readonly name = 'leavingVms';

  readonly #options: SharedVmListOptions;

  #stamp = 0;

  #leaving: readonly LeavingVm[] = [];

  /** When the list was last read by anyone, by this daemon's clock. */
  #readAtMs = -Infinity;

  /** When a caller last asked. */
  #askedAtMs = -Infinity;

  #own: { readonly atMs: number; readonly vms: Promise<readonly ListedVm[]> } | undefined;

  constructor(options: SharedVmListOptions) {
    this.#options = options;
  }

  /** The whole list for the daemon that reads it; for others, the upstreams that leave. */
  async list(): Promise<readonly ListedVm[]> {
    if (this.#isInTouch() && !this.#options.ownsDuty()) {
      return this.#leaving.map((vm) => ({ ...vm, role: 'upstream', state: 'leaving' }));
    }
    return this.#readOnce();
  }

  getPayload(peer: Member): unknown {
    const isLocal = peer.dataCentre === this.#options.localDataCentre;
    if (!isLocal || this.#readAtMs === -Infinity) {
      return undefined;
    }
    const ageMs = Math.max(0, Date.now() - this.#readAtMs);
    return { stamp: this.#stamp, ageMs, leaving: this.#leaving };
  }

  mergePayload(payload: unknown): void {
    const { stamp, ageMs, leaving } = payloadSchema.parse(payload);
    this.#readAtMs = Math.max(this.#readAtMs, Date.now() - ageMs);
    if (stamp > this.#stamp) {
      this.#stamp = stamp;
      this.#leaving = leaving;
    }
  }

  /**
   * What goes wrong: a frozen daemon goes on, and sends to an upstream that left meanwhile, by a word that is
   * younger than the bound. One notices work that begins seconds after an upstream left. So the first to ask
   * after a freeze reads.
   */
  #isInTouch(): boolean {
    const nowMs = Date.now();
    const wasFrozen = nowMs - this.#askedAtMs >= RESUMED_AFTER_MS;
    this.#askedAtMs = nowMs;
    return !wasFrozen && nowMs - this.#readAtMs < READ_ALONE_AFTER_MS;
  }

  #readOnce(): Promise<readonly ListedVm[]> {
    const nowMs = Date.now();
    if (this.#own === undefined || nowMs - this.#own.atMs >= REUSE_MS) {
      this.#own = { atMs: nowMs, vms: this.#read() };
    }
    return this.#own.vms;
  }

  async #read(): Promise<readonly ListedVm[]> {
    const startedAtMs = Date.now();
    const vms = await this.#options.source.list();
    this.#readAtMs = Math.max(this.#readAtMs, startedAtMs);
    this.#note(listLeaving(vms));
    return vms;
  }

  /** Two that read may have clocks apart; a stamp above the known one keeps the later change. */
  #note(leaving: readonly LeavingVm[]): void {
    if (isSame(leaving, this.#leaving)) {
      return;
    }
    this.#stamp = Math.max(Date.now(), this.#stamp + 1);
    this.#leaving = leaving;
    this.#options.spread();
  }
}
