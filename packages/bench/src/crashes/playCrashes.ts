/** Plays requests that crash upstreams among ordinary ones, at daemons that decide by the shipped policy. */
import {
  asId,
  createRandom,
  pickRandom,
  type Random,
  type RequestDigest,
} from '@snipehaven/common';
import {
  CrashCounter,
  chooseSuspectUpstream,
  judgeSuspicion,
  type CrashReport,
} from '@snipehaven/policy';
import { EventQueue } from '../policy/world/eventQueue.js';
import { drawExponential } from '../policy/world/sampling.js';
import { CrashUpstream, type PlayedRun } from './crashUpstream.js';
import type { CrashOutcome, CrashPlan, CrashSwitches } from './types.js';

const LENGTH_MS = 25_000;
const FIRST_DEADLY_MS = 3_000;

/** Within this after the third crash all daemons must know. */
const CONTACT_MS = 3_000;

const MAX_SENDINGS = 3;
const CALLER_RETRY_MS = 100;

const LEAST_ANSWER_MS = 300;
const ANSWER_SPREAD_MS = 1_700;

/** A new process takes the place of one that crashed. */
const LEAST_BACK_MS = 2_000;
const BACK_SPREAD_MS = 3_000;

/** What a daemon does at an upstream is known to the others after this. */
const NEWS_MS = 150;

/** Between two daemons, and until the loss of a request is known for the crash of its upstream. */
const LEAST_WAY_MS = 1;
const WAY_SPREAD_MS = 4;
const FATE_MS = 4;

/** Datagrams are lost; each crash is told twice. */
const LOSS_SHARE = 0.02;
const TELL_AGAIN_MS = 200;

class PlayedDaemon {
  readonly counter = new CrashCounter();

  readonly held = new Map<RequestDigest, number>();

  /** Requests of its own at each incarnation. */
  readonly own = new Map<string, number>();

  count(lifeId: string, change: number): void {
    this.own.set(lifeId, (this.own.get(lifeId) ?? 0) + change);
  }
}

interface PlayedRequest {
  readonly digest: RequestDigest;
  readonly isDeadly: boolean;
  readonly answerMs: number;
  /** Attempts that the caller has left. */
  attemptsLeft: number;
  wasLost: boolean;
  /** Of the caller's attempt under way. */
  attemptId: string;
}

class CrashPlay {
  readonly #plan: CrashPlan;

  readonly #switches: CrashSwitches;

  readonly #clock = new EventQueue();

  readonly #random: Random;

  readonly #daemons: readonly PlayedDaemon[];

  #upstreams: CrashUpstream[] = [];

  #lives = 0;

  /** Requests at each incarnation as all daemons last told them. */
  #told = new Map<string, number>();

  readonly #owners = new Map<PlayedRun, { daemon: PlayedDaemon; request: PlayedRequest }>();

  readonly #deadlyEnds = new Map<RequestDigest, number[]>();

  readonly #deadlySendings: { digest: RequestDigest; atMs: number }[] = [];

  readonly #heldWrongly = new Set<RequestDigest>();

  #attempts = 0;

  #ordinary = 0;

  #lost = 0;

  constructor(plan: CrashPlan, switches: CrashSwitches) {
    this.#plan = plan;
    this.#switches = switches;
    this.#random = createRandom(plan.seed);
    this.#daemons = Array.from({ length: plan.daemons }, () => new PlayedDaemon());
    for (let index = 0; index < plan.upstreams; index += 1) {
      this.#startUpstream();
    }
  }

  play(): CrashOutcome {
    this.#scheduleOrdinary();
    this.#scheduleDeadly();
    this.#scheduleChanceEnds();
    for (let atMs = 0; atMs < LENGTH_MS; atMs += NEWS_MS) {
      this.#clock.schedule(atMs, () => this.#tellLoads());
    }
    this.#clock.runUntil(LENGTH_MS * 2);
    const ends = [...this.#deadlyEnds.values()].map(({ length }) => length);
    return {
      ended: ends.reduce((sum, count) => sum + count, 0),
      endedByOne: Math.max(0, ...ends),
      lateSendings: this.#countLate(),
      heldAfterMs: this.#findSlowestHold(),
      ordinary: this.#ordinary,
      heldWrongly: this.#heldWrongly.size,
      lost: this.#lost,
    };
  }

  #countLate(): number {
    return this.#deadlySendings.filter(({ digest, atMs }) => {
      const [, , thirdAtMs = Infinity] = this.#deadlyEnds.get(digest) ?? [];
      return atMs > thirdAtMs + CONTACT_MS;
    }).length;
  }

  #findSlowestHold(): number {
    const delays = [...this.#deadlyEnds].flatMap(([digest, [, , thirdAtMs]]) =>
      thirdAtMs === undefined
        ? []
        : this.#daemons.map(({ held }) => (held.get(digest) ?? Infinity) - thirdAtMs),
    );
    return Math.round(Math.max(0, ...delays));
  }

  #scheduleOrdinary(): void {
    let atMs = 0;
    for (let index = 0; atMs < LENGTH_MS; index += 1) {
      atMs += drawExponential(1_000 / this.#plan.ordinaryPerS, this.#random);
      const request: PlayedRequest = {
        digest: asId<RequestDigest>(`ordinary-${index}`),
        isDeadly: false,
        answerMs: LEAST_ANSWER_MS + this.#random.next() * ANSWER_SPREAD_MS,
        attemptsLeft: 2,
        wasLost: false,
        attemptId: '',
      };
      this.#ordinary += 1;
      this.#clock.schedule(atMs, () => this.#attempt(request));
    }
  }

  #scheduleDeadly(): void {
    for (let index = 0; index < this.#plan.deadly; index += 1) {
      const digest = asId<RequestDigest>(`deadly-${index}`);
      const firstMs = FIRST_DEADLY_MS + this.#random.next() * FIRST_DEADLY_MS;
      for (let atMs = firstMs; atMs < LENGTH_MS; atMs += this.#plan.gapMs) {
        for (let copy = 0; copy < this.#plan.atOnce; copy += 1) {
          const plain = { digest, isDeadly: true, answerMs: 0 };
          const request = { ...plain, attemptsLeft: 1, wasLost: false, attemptId: '' };
          this.#clock.schedule(atMs, () => this.#attempt(request));
        }
      }
    }
  }

  #scheduleChanceEnds(): void {
    for (let index = 0; index < this.#plan.chanceEnds; index += 1) {
      this.#clock.schedule(this.#random.next() * LENGTH_MS, () => {
        for (let count = 0; count < this.#plan.groupSize; count += 1) {
          pickRandom(this.#upstreams, this.#random)?.end(false);
        }
      });
    }
  }

  #startUpstream(): void {
    this.#lives += 1;
    const onDeath = (life: CrashUpstream, isByDeadly: boolean) => this.#die(life, isByDeadly);
    this.#upstreams.push(
      new CrashUpstream(`life-${this.#lives}`, this.#clock, this.#random, onDeath),
    );
  }

  #tellLoads(): void {
    this.#told = new Map(
      this.#upstreams.map(({ lifeId }) => [
        lifeId,
        this.#daemons.reduce((sum, { own }) => sum + (own.get(lifeId) ?? 0), 0),
      ]),
    );
  }

  /** One attempt of the caller, at any daemon. */
  #attempt(request: PlayedRequest): void {
    const daemon = pickRandom(this.#daemons, this.#random) as PlayedDaemon;
    this.#attempts += 1;
    const attemptId = `attempt-${this.#attempts}`;
    Object.assign(request, { attemptsLeft: request.attemptsLeft - 1, attemptId });
    this.#send(daemon, request, 1, new Set());
  }

  #send(
    daemon: PlayedDaemon,
    request: PlayedRequest,
    sending: number,
    used: ReadonlySet<string>,
  ): void {
    if (daemon.held.has(request.digest)) {
      this.#fail(request);
      return;
    }
    const upstream = this.#choose(daemon, request, used);
    if (upstream === undefined) {
      this.#clock.schedule(this.#clock.nowMs + CALLER_RETRY_MS, () =>
        this.#send(daemon, request, sending, used),
      );
      return;
    }
    const settle = (): void => {
      daemon.count(upstream.lifeId, -1);
      this.#owners.delete(run);
    };
    const run: PlayedRun = {
      isDeadly: request.isDeadly,
      answerMs: request.answerMs,
      beganAtMs: undefined,
      onEnd: () => {
        settle();
        this.#clear(request);
      },
      onLoss: () => {
        settle();
        Object.assign(request, { wasLost: true });
        this.#clock.schedule(this.#clock.nowMs + FATE_MS, () => {
          if (sending < MAX_SENDINGS) {
            this.#send(daemon, request, sending + 1, new Set([...used, upstream.lifeId]));
          } else {
            this.#fail(request);
          }
        });
      },
    };
    daemon.count(upstream.lifeId, 1);
    this.#owners.set(run, { daemon, request });
    if (request.isDeadly) {
      this.#deadlySendings.push({ digest: request.digest, atMs: this.#clock.nowMs });
    }
    upstream.submit(run);
  }

  #choose(
    daemon: PlayedDaemon,
    request: PlayedRequest,
    used: ReadonlySet<string>,
  ): CrashUpstream | undefined {
    const unused = this.#upstreams.filter(({ lifeId }) => !used.has(lifeId));
    if (this.#switches.goApart && daemon.counter.getWeight(request.digest) > 0) {
      const lives = unused.map(({ lifeId }) => lifeId);
      const chosen = chooseSuspectUpstream(request.digest, lives);
      return unused.find(({ lifeId }) => lifeId === chosen);
    }
    const load = ({ lifeId }: CrashUpstream): number =>
      Math.max(this.#told.get(lifeId) ?? 0, daemon.own.get(lifeId) ?? 0);
    const least = Math.min(...unused.map(load));
    return pickRandom(
      unused.filter((one) => load(one) === least),
      this.#random,
    );
  }

  /** The caller comes back once, or has lost. */
  #fail(request: PlayedRequest): void {
    if (request.isDeadly) {
      return;
    }
    if (request.attemptsLeft > 0) {
      this.#clock.schedule(this.#clock.nowMs + CALLER_RETRY_MS, () => this.#attempt(request));
      return;
    }
    this.#lost += 1;
  }

  #clear(request: PlayedRequest): void {
    if (request.wasLost) {
      this.#daemons.forEach((daemon) => {
        this.#clock.schedule(this.#drawArrival(), () => {
          daemon.counter.clear(request.digest);
          daemon.held.delete(request.digest);
        });
      });
    }
  }

  #die(life: CrashUpstream, isByDeadly: boolean): void {
    this.#upstreams = this.#upstreams.filter((one) => one !== life);
    const lost = [...life.runs];
    if (isByDeadly) {
      this.#noteDeadlyEnd(lost);
    }
    const byDaemon = new Map<PlayedDaemon, CrashReport>();
    lost.forEach((run) => this.#blame(run, life.lifeId, byDaemon));
    byDaemon.forEach((report, daemon) => this.#tell(daemon, report));
    lost.forEach((run) => run.onLoss());
    const backMs = LEAST_BACK_MS + this.#random.next() * BACK_SPREAD_MS;
    this.#clock.schedule(this.#clock.nowMs + backMs, () => this.#startUpstream());
  }

  #noteDeadlyEnd(lost: readonly PlayedRun[]): void {
    const digests = lost.flatMap((run) => {
      const owner = this.#owners.get(run);
      return run.isDeadly && owner !== undefined ? [owner.request.digest] : [];
    });
    new Set(digests).forEach((digest) => {
      const ends = this.#deadlyEnds.get(digest) ?? [];
      ends.push(this.#clock.nowMs);
      this.#deadlyEnds.set(digest, ends);
    });
  }

  #blame(run: PlayedRun, lifeId: string, byDaemon: Map<PlayedDaemon, CrashReport>): void {
    const owner = this.#owners.get(run);
    if (owner === undefined) {
      return;
    }
    const answeredForMs =
      run.beganAtMs === undefined ? undefined : this.#clock.nowMs - run.beganAtMs;
    const suspicion = judgeSuspicion({ answeredForMs, isEndExpected: false });
    const known = byDaemon.get(owner.daemon)?.suspects ?? [];
    const { digest, attemptId } = owner.request;
    const suspects = [...known, { digest, attemptId, suspicion }];
    byDaemon.set(owner.daemon, { lifeId, suspects });
  }

  #tell(teller: PlayedDaemon, report: CrashReport): void {
    this.#clock.schedule(this.#clock.nowMs + FATE_MS / 2, () => this.#take(teller, report));
    for (const daemon of this.#daemons) {
      for (const delayMs of [0, TELL_AGAIN_MS]) {
        if (daemon !== teller && this.#random.next() >= LOSS_SHARE) {
          this.#clock.schedule(this.#drawArrival() + delayMs, () => this.#take(daemon, report));
        }
      }
    }
  }

  #drawArrival(): number {
    return this.#clock.nowMs + LEAST_WAY_MS + this.#random.next() * WAY_SPREAD_MS + FATE_MS / 2;
  }

  #take(daemon: PlayedDaemon, report: CrashReport): void {
    for (const digest of daemon.counter.recordReport(report, this.#clock.nowMs)) {
      if (!daemon.held.has(digest)) {
        daemon.held.set(digest, this.#clock.nowMs);
      }
      if (!digest.startsWith('deadly')) {
        this.#heldWrongly.add(digest);
      }
    }
  }
}

/** The same plan and switches give the same outcome. */
export const playCrashes = (plan: CrashPlan, switches: CrashSwitches): CrashOutcome =>
  new CrashPlay(plan, switches).play();
