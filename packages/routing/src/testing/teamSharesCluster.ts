/** A test cluster of daemons that share team limits over fake membership, leases and transport. */
import { createRandom, createSilentLogger, sleep, type Random } from '@snipehaven/common';
import type { Lease, LeaseKeeper, MembershipView } from '@snipehaven/membership';
import type { Member, PeerHandlers } from '@snipehaven/protocol';
import type { ConfigurationView } from '@snipehaven/resources';
import { TeamShares } from '../teamShares/index.js';
import type { ShareAmounts, TeamLimits } from '../teamShares/types.js';

export interface TeamSharesClusterOptions {
  readonly seed: number;
  readonly dataCentres: readonly string[];
  readonly daemonsPerDataCentre: number;
  readonly limits: Readonly<Record<string, TeamLimits>>;
}

export interface ShareDaemon {
  readonly member: Member;
  readonly shares: TeamShares;
  isDead: boolean;
}

interface LeaseRow {
  readonly holder: string;
  readonly fence: number;
  readonly untilMs: number;
}

const LATENCY_MS = 2;
const MAX_DELAY_MS = 3_000;
const LEASE_MARGIN = 0.9;

export class TeamSharesCluster {
  readonly daemons: readonly ShareDaemon[];

  /** The fractions of messages that are lost and delayed. */
  lossRate = 0;

  delayRate = 0;

  isTableUnavailable = false;

  /** VMs that can neither send nor receive. */
  readonly isolatedVms = new Set<string>();

  messages = 0;

  sizeBytes = 0;

  readonly #random: Random;

  readonly #leases = new Map<string, LeaseRow>();

  readonly #limits: TeamSharesClusterOptions['limits'];

  constructor(options: TeamSharesClusterOptions) {
    this.#random = createRandom(options.seed);
    this.#limits = options.limits;
    this.daemons = options.dataCentres.flatMap((dataCentre) =>
      Array.from({ length: options.daemonsPerDataCentre }, (_, index) =>
        this.#createDaemon(`${dataCentre}-${index}`, dataCentre),
      ),
    );
    this.daemons.forEach(({ shares }) => shares.start());
  }

  get(vm: string): ShareDaemon {
    return this.daemons.find(({ member }) => member.vm === vm) as ShareDaemon;
  }

  /** The daemon that allocates the limits of a data centre. */
  getAllocator(dataCentre: string): ShareDaemon | undefined {
    const holder = this.#leases.get(`teamShares/${dataCentre}`)?.holder;
    return this.daemons.find(({ member, isDead }) => !isDead && member.incarnation === holder);
  }

  kill(daemon: ShareDaemon): void {
    const killed = daemon;
    killed.isDead = true;
    daemon.shares.kill();
  }

  /** What all living daemons together may use of a team's limits now. */
  sum(team: string): ShareAmounts {
    return this.daemons
      .filter(({ isDead }) => !isDead)
      .map(({ shares }) => shares.getShares(team))
      .reduce((sum, share) => ({ flow: sum.flow + share.flow, slots: sum.slots + share.slots }), {
        flow: 0,
        slots: 0,
      });
  }

  stop(): void {
    this.daemons.forEach(({ shares }) => shares.kill());
  }

  #createDaemon(vm: string, dataCentre: string): ShareDaemon {
    const member: Member = {
      vm,
      dataCentre,
      address: vm,
      incarnation: `${vm}#1`,
      refutation: 0,
      state: 'alive',
    };
    const shares = new TeamShares({
      membership: this.#createMembership(member),
      leases: this.#createLeases(member),
      transport: { getPeer: (address) => this.#createPeer(vm, address) },
      getView: () => this.#createView(),
      logger: createSilentLogger(),
      random: createRandom(this.#random.nextInt(1_000_000)),
    });
    return { member, shares, isDead: false };
  }

  #createView(): ConfigurationView {
    return {
      get: (_kind: string, name: string) => {
        const limits = this.#limits[name];
        return limits && { spec: { limits } };
      },
      list: () => [],
    } as unknown as ConfigurationView;
  }

  /** Dead members leave the lists of live members at once but stay in the list of all members. */
  #createMembership(self: Member): MembershipView {
    const listLocal = (): readonly Member[] =>
      this.daemons
        .filter(({ isDead, member }) => !isDead && member.dataCentre === self.dataCentre)
        .map(({ member }) => member);
    const getDutyOwner = (): Member => listLocal()[0] ?? self;
    return {
      self,
      listLocal,
      listMembers: () => this.daemons?.map(({ member }) => member) ?? [self],
      getDutyOwner,
      ownsDuty: () => getDutyOwner().vm === self.vm,
    } as unknown as MembershipView;
  }

  #createLeases(self: Member): LeaseKeeper {
    return {
      acquire: async (name, durationMs) => {
        await sleep(LATENCY_MS);
        const row = this.#leases.get(name);
        const isOwn = row?.holder === self.incarnation && Date.now() < row.untilMs;
        const isUnreachable = this.isTableUnavailable || this.isolatedVms.has(self.vm);
        if (!isUnreachable && (isOwn || !row || Date.now() >= row.untilMs)) {
          const fence = isOwn ? row.fence : (row?.fence ?? 0) + 1;
          const untilMs = Date.now() + durationMs;
          this.#leases.set(name, { holder: self.incarnation, fence, untilMs });
        }
        return this.#toLease(name, self, durationMs);
      },
    };
  }

  #toLease(name: string, self: Member, durationMs: number): Lease | undefined {
    const row = this.#leases.get(name);
    if (row?.holder !== self.incarnation) {
      return undefined;
    }
    const endsAtMs = row.untilMs - durationMs * (1 - LEASE_MARGIN);
    const getRemainingMs = (): number => Math.max(0, endsAtMs - Date.now());
    return {
      name,
      fence: row.fence,
      isHeld: () => getRemainingMs() > 0,
      getRemainingMs,
      release: () => Promise.resolve(),
    };
  }

  #createPeer(from: string, address: string): PeerHandlers {
    const requestShares: PeerHandlers['limits']['requestShares'] = async (message) => {
      await this.#deliver(from, address, message);
      const peer = this.get(address);
      if (peer.isDead) {
        throw new Error('refused');
      }
      const answer = await peer.shares.handlers.requestShares(structuredClone(message));
      await this.#deliver(address, from, answer);
      return structuredClone(answer);
    };
    return { limits: { requestShares } } as PeerHandlers;
  }

  async #deliver(from: string, to: string, body: unknown): Promise<void> {
    this.messages += 1;
    this.sizeBytes += JSON.stringify(body).length;
    const isDelayed = this.#random.next() < this.delayRate;
    await sleep(isDelayed ? MAX_DELAY_MS * this.#random.next() : LATENCY_MS);
    const isIsolated = this.isolatedVms.has(from) || this.isolatedVms.has(to);
    if (isIsolated || this.#random.next() < this.lossRate) {
      throw new Error('lost');
    }
  }
}
