/** Members in one process for tests, joined by a network whose paths can be cut. */
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

/** Whether the path between two addresses carries nothing. */
type Cut = (from: string, to: string) => boolean;

/** What one end sent and received: two messages for each call. */
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
  readonly life?: number;
  readonly seeds?: readonly string[];
  readonly vmList?: VmListClient;
  readonly topics?: readonly GossipTopic[];
}

export class LocalNetwork {
  readonly #peers = new Map<string, PeerHandlers>();

  readonly #seed: number;

  readonly members: TestMember[] = [];

  isCut: Cut = () => false;

  /** Calls and bytes of bodies by address, at both ends of each call. */
  readonly traffic = new Map<string, Traffic>();

  constructor(seed: number) {
    this.#seed = seed;
  }

  /** Starts a member; its address is its VM's name unless told otherwise. */
  join(options: JoinOptions): TestMember {
    const {
      vm,
      dataCentre,
      address = vm,
      life = 1,
      seeds = [this.members[0]?.address ?? vm],
    } = options;
    const self = { vm, dataCentre, address, incarnation: `${vm}#${life}` };
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

  /** Starts so many members in each data centre, named `x0`, `x1`, …, `y0`, … . */
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

  /** The process ends or stands still; its address refuses. */
  halt(member: TestMember): void {
    member.membership.stop();
    this.#peers.delete(member.address);
  }

  /** A halted process goes on with what it knew. */
  resume(member: TestMember): void {
    const handlers = { membership: member.membership.handlers } as PeerHandlers;
    this.#peers.set(member.address, createLocalPeer(handlers));
    member.membership.start();
  }

  stopAll(): void {
    this.members.forEach((member) => member.membership.stop());
  }

  /** Cuts off each data centre that is named from all others. */
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
      await this.#carry(from, to, input);
      const peer = this.#peers.get(to);
      if (!peer) {
        throw new PeerUnreachableError(`${to}: refused`);
      }
      const output = await step(peer, structuredClone(input));
      await this.#carry(to, from, output);
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

  async #carry(from: string, to: string, body: unknown): Promise<void> {
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

/** `vm:state` of all that a member remembers, in order. */
export const describeView = ({ membership }: TestMember): string =>
  membership
    .listMembers()
    .map((member) => `${member.incarnation}:${member.state}`)
    .sort()
    .join(' ');

/** Incarnations that a member holds alive, in order. */
export const listAliveNames = ({ membership }: TestMember): string =>
  membership
    .listAlive()
    .map((member) => member.incarnation)
    .sort()
    .join(' ');

/** Events of a type on a member's time line. */
export const listEvents = (member: TestMember, type: EventType): readonly TimelineEvent[] =>
  member.timeline.list({ types: [type] });
