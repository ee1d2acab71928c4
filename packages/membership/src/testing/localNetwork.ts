/** In-process members for tests, connected by a network whose paths can be blocked. */
import { createRandom, createSilentLogger, sleep } from '@snipehaven/common';
import type { VmListClient } from '@snipehaven/platform';
import {
  createLocalPeer,
  PEER_CALL_TIMEOUT_MS,
  PeerUnreachableError,
  type PeerHandlers,
  type PeerTransport,
} from '@snipehaven/protocol';
import { HybridClock, Timeline, type EventType, type TimelineEvent } from '@snipehaven/timeline';
import { Membership } from '../membership.js';
import type { GossipTopic } from '../types.js';

const LATENCY_MS = 1;

/** Whether the path between two addresses is blocked. */
type PathFilter = (from: string, to: string) => boolean;

/** Messages and bytes sent and received at one address; each call counts as two messages. */
export interface Traffic {
  readonly messages: number;
  readonly bytes: number;
}

export interface TestMember {
  readonly membership: Membership;
  readonly address: string;
  readonly timeline: Timeline;
}

export interface JoinOptions {
  readonly vm: string;
  readonly dataCentre: string;
  readonly address?: string;
  readonly incarnationNumber?: number;
  readonly seeds?: readonly string[];
  readonly vmList?: VmListClient;
  readonly topics?: readonly GossipTopic[];
}

export class LocalNetwork {
  readonly #peers = new Map<string, PeerHandlers>();

  readonly #seed: number;

  readonly members: TestMember[] = [];

  isCut: PathFilter = () => false;

  /** Calls and body bytes by address, counted at both ends of each call. */
  readonly traffic = new Map<string, Traffic>();

  constructor(seed: number) {
    this.#seed = seed;
  }

  /** Starts a member. Its address defaults to its VM's name. */
  join(options: JoinOptions): TestMember {
    const {
      vm,
      dataCentre,
      address = vm,
      incarnationNumber = 1,
      seeds = [this.members[0]?.address ?? vm],
    } = options;
    const self = { vm, dataCentre, address, incarnation: `${vm}#${incarnationNumber}` };
    const clock = new HybridClock();
    const timeline = new Timeline(self, clock);
    const membership = new Membership({
      self,
      seeds,
      clock,
      timeline,
      transport: this.#createTransport(address),
      logger: createSilentLogger(),
      random: createRandom(this.#seed + this.members.length),
      vmList: options.vmList,
      topics: options.topics ?? [],
    });
    const member = { membership, address, timeline };
    this.members.push(member);
    this.resume(member);
    return member;
  }

  /** Starts `count` members in each data centre, named `x0`, `x1`, …, `y0`, … . */
  joinAll(dataCentres: readonly string[], count: number): void {
    dataCentres.forEach((dataCentre) =>
      Array.from({ length: count }, (_, index) =>
        this.join({ vm: `${dataCentre}${index}`, dataCentre }),
      ),
    );
  }

  get(vm: string): TestMember {
    return this.members.find((member) => member.membership.self.vm === vm) as TestMember;
  }

  /** Ends or freezes the process; its address refuses connections. */
  halt(member: TestMember): void {
    member.membership.stop();
    this.#peers.delete(member.address);
  }

  /** Resumes a halted process with the state it had. */
  resume(member: TestMember): void {
    const handlers = { membership: member.membership.handlers } as PeerHandlers;
    this.#peers.set(member.address, createLocalPeer(handlers));
    member.membership.start();
  }

  stopAll(): void {
    this.members.forEach((member) => member.membership.stop());
  }

  /** Partitions each of the given data centres from all others. */
  cutOff(...dataCentres: readonly string[]): void {
    const findDataCentre = (address: string): string | undefined =>
      this.members.find((member) => member.address === address)?.membership.self.dataCentre;
    this.isCut = (from, to) =>
      findDataCentre(from) !== findDataCentre(to) &&
      dataCentres.some((one) => one === findDataCentre(from) || one === findDataCentre(to));
  }

  #createTransport(from: string): PeerTransport {
    const call = async <Input, Output>(
      to: string,
      input: Input,
      step: (peer: PeerHandlers, message: Input) => Promise<Output>,
    ): Promise<Output> => {
      await this.#transmit(from, to, input);
      const peer = this.#peers.get(to);
      if (!peer) {
        throw new PeerUnreachableError(`${to}: refused`);
      }
      const output = await step(peer, structuredClone(input));
      await this.#transmit(to, from, output);
      return structuredClone(output);
    };
    return {
      getPeer: (to) =>
        ({
          membership: {
            exchange: (input) =>
              call(to, input, (peer, message) => peer.membership.exchange(message)),
            probe: (input) => call(to, input, (peer, message) => peer.membership.probe(message)),
          },
        }) as PeerHandlers,
    };
  }

  async #transmit(from: string, to: string, body: unknown): Promise<void> {
    if (this.isCut(from, to)) {
      await sleep(PEER_CALL_TIMEOUT_MS);
      throw new PeerUnreachableError(`${to}: no answer`);
    }
    const bodyBytes = JSON.stringify(body).length;
    [from, to].forEach((address) => this.#countMessage(address, bodyBytes));
    await sleep(LATENCY_MS);
  }

  #countMessage(address: string, bodyBytes: number): void {
    const { messages, bytes } = this.traffic.get(address) ?? { messages: 0, bytes: 0 };
    this.traffic.set(address, { messages: messages + 1, bytes: bytes + bodyBytes });
  }
}

/** Returns `vm:state` of all members that a member remembers, sorted. */
export const describeView = ({ membership }: TestMember): string =>
  membership
    .listMembers()
    .map((member) => `${member.incarnation}:${member.state}`)
    .sort()
    .join(' ');

/** Returns the incarnations that a member considers alive, sorted. */
export const listAliveIncarnations = ({ membership }: TestMember): string =>
  membership
    .listAlive()
    .map((member) => member.incarnation)
    .sort()
    .join(' ');

/** Returns the events of a type in a member's timeline. */
export const listEvents = (member: TestMember, type: EventType): readonly TimelineEvent[] =>
  member.timeline.list({ types: [type] });
