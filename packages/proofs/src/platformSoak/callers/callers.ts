/** Callers that send one request after the other, each on a connection kept until it closes. */
import { Agent } from 'node:http';
import { createRandom, pickRandom, sleep, type Random } from '@snipehaven/common';
import type { Operator, Team } from '../outside/operator.js';
import type { AttemptRecord, RequestKind, VmState } from '../types.js';
import type { Balancer } from './balancer.js';
import { sendAttempt } from './sendAttempt.js';

export interface CallersOptions {
  readonly seed: number;
  readonly count: number;
  readonly operator: Operator;
  readonly balancer: Balancer;
  /** Takes what is sent. */
  readonly records: AttemptRecord[];
}

const PAUSE_MS = 60;
const LEAVING_SHARE = 0.04;
const LEAVES_WITHIN_MS = 150;
const SESSION_SHARE = 0.4;
const MAX_RETRY_AFTER_S = 1;

/** Callers that open a connection for each request, and so meet any VM. */
const ROAMING_SHARE = 0.3;

/** Requests until a caller begins another session; some outlast a roll-out. */
const MAX_SESSION_REQUESTS = 120;
const SEED_STEP = 7_919;

const kinds: readonly RequestKind[] = ['read', 'write', 'chat', 'chat'];

interface Caller {
  readonly name: string;
  readonly random: Random;
  readonly isRoaming: boolean;
  sessions: number;
  requestsLeft: number;
}

/** The caller's present session. */
const continueSession = (caller: Caller): string => {
  if (caller.requestsLeft === 0) {
    Object.assign(caller, {
      sessions: caller.sessions + 1,
      requestsLeft: 1 + caller.random.nextInt(MAX_SESSION_REQUESTS),
    });
  }
  Object.assign(caller, { requestsLeft: caller.requestsLeft - 1 });
  return `${caller.name}-${caller.sessions}`;
};

export class Callers {
  readonly #options: CallersOptions;

  #isOver = false;

  constructor(options: CallersOptions) {
    this.#options = options;
  }

  /** Resolves when all callers have stopped. */
  async run(): Promise<void> {
    const { count } = this.#options;
    await Promise.all(Array.from({ length: count }, (_, index) => this.#runCaller(index)));
  }

  stop(): void {
    this.#isOver = true;
  }

  async #runCaller(index: number): Promise<void> {
    const random = createRandom(this.#options.seed + index * SEED_STEP);
    const isRoaming = index < this.#options.count * ROAMING_SHARE;
    const caller = { name: `caller-${index}`, random, isRoaming, sessions: 0, requestsLeft: 0 };
    while (!this.#isOver) {
      const vm = this.#options.balancer.pick(random);
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      await this.#useConnection(vm, agent, caller);
      agent.destroy();
    }
  }

  /** Sends on one connection until it closes, however long the VM is out of rotation. */
  async #useConnection(vm: VmState, agent: Agent, caller: Caller): Promise<void> {
    let isOpen = true;
    while (isOpen && !this.#isOver) {
      const record = await this.#send(vm, agent, caller);
      const isKept = record.isWhole && Object.keys(agent.freeSockets).length > 0;
      isOpen = isKept && !caller.isRoaming;
      const mustWait = record.retryAfterS ?? 0;
      await sleep(Math.min(mustWait, MAX_RETRY_AFTER_S) * 1_000 + caller.random.nextInt(PAUSE_MS));
    }
  }

  #send(vm: VmState, agent: Agent, caller: Caller): Promise<AttemptRecord> {
    const { operator, records } = this.#options;
    const { random } = caller;
    const kind = pickRandom(kinds, random) as RequestKind;
    const extraPath = kind === 'read' ? pickRandom(operator.extraPaths, random) : undefined;
    const isLeaving = random.next() < LEAVING_SHARE;
    const plan = {
      id: `s-${caller.name}-${records.length}`,
      kind,
      team: pickRandom(operator.teams, random) as Team,
      vm,
      agent,
      ...(extraPath === undefined ? {} : { path: `/${extraPath}/it` }),
      ...(random.next() < SESSION_SHARE ? { session: continueSession(caller) } : {}),
      ...(isLeaving ? { leavesAfterMs: random.nextInt(LEAVES_WITHIN_MS) } : {}),
    };
    return sendAttempt(plan, records);
  }
}
