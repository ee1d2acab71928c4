/** Trackers of a fleet in virtual time, with upstreams that crash under one part of prompts. */
import type { Clock } from '@sinonjs/fake-timers';
import {
  asId,
  createRandom,
  createSilentLogger,
  pickRandom,
  type RequestDigest,
} from '@snipehaven/common';
import { chooseSuspectUpstream } from '@snipehaven/policy';
import * as assert from 'uvu/assert';
import type { Upstream } from '../../types.js';
import type { InFlightRequest } from '../../upstreams/index.js';
import { CrashTracker } from '../crashTracker.js';
import { digestSharedParts } from '../requestDigest.js';

const STEP_MS = 10;
const MESSAGE_MS = 3;
const ENGINES = 8;
const BACK_MS = 2_000;
const SOUND_PER_S = 40;
const BAD_PER_S = 3;
const SUBJECTS = 120;
const MAX_ATTEMPTS = 3;

/** Time within which what one daemon knows is known to all. */
const CONTACT_MS = 3_000;
const EXITS = 5;
/** Requests with the part that may reach upstreams later than this after the fifth exit. */
export const MAX_LATE_ARRIVALS = 3;

const digestPart = (id: string): RequestDigest => {
  const [digest] = digestSharedParts([
    { id, tokens: 1 },
    { id: 'own', tokens: 1 },
  ]);
  assert.ok(digest);
  return digest;
};

const FIRST = digestPart('first');
const BAD = digestPart('bad');
const middles = Array.from({ length: 4 }, (_, index) => digestPart(`middle ${index}`));
const subjects = Array.from({ length: SUBJECTS }, (_, index) => digestPart(`subject ${index}`));

interface Prompt {
  readonly digest: RequestDigest;
  readonly parts: readonly RequestDigest[];
}

interface Run {
  readonly request: InFlightRequest;
  readonly tracker: CrashTracker;
  readonly timers: readonly NodeJS.Timeout[];
  readonly resend: () => void;
}

class Engine {
  readonly runs = new Map<InFlightRequest, Run>();

  readonly lifeId: string;

  constructor(lifeId: string) {
    this.lifeId = lifeId;
  }
}

export interface CrashFleetOptions {
  readonly daemons: number;
  /** From the beginning of an answer until a crash under the part. */
  readonly crashAfterMs: number;
  readonly seed: number;
  /** Longest answers of sound requests, from their beginning; the shortest take a quarter of it. */
  readonly longestAnswerMs?: number;
}

export class CrashFleet {
  readonly #clock: Clock;

  readonly #options: CrashFleetOptions;

  readonly #random;

  readonly #trackers: readonly CrashTracker[];

  readonly #engines: Engine[] = [];

  #started = 0;

  #requests = 0;

  isBad = false;

  readonly heldWrongly = new Set<RequestDigest>();

  readonly exitsAtMs: number[] = [];

  readonly badArrivalsAtMs: number[] = [];

  constructor(clock: Clock, options: CrashFleetOptions) {
    this.#clock = clock;
    this.#options = options;
    this.#random = createRandom(options.seed);
    const trackers: CrashTracker[] = [];
    for (let index = 0; index < options.daemons; index += 1) {
      const tracker: CrashTracker = new CrashTracker({
        logger: createSilentLogger(),
        random: createRandom(options.seed + index),
        listInFlight: () =>
          this.#engines.flatMap(({ runs }) =>
            [...runs.values()]
              .filter((run) => run.tracker === tracker)
              .map(({ request }) => request),
          ),
        broadcast: (report) =>
          trackers
            .filter((other) => other !== tracker)
            .forEach((other) => setTimeout(() => other.receiveReport(report), MESSAGE_MS)),
      });
      tracker.addListener({ onHeld: ({ digest }) => this.#noteHold(digest) });
      trackers.push(tracker);
    }
    this.#trackers = trackers;
    Array.from({ length: ENGINES }).forEach(() => this.#startEngine());
  }

  get late(): number {
    const fifthAtMs = this.exitsAtMs[EXITS - 1] ?? Infinity;
    return this.badArrivalsAtMs.filter((atMs) => atMs > fifthAtMs + CONTACT_MS).length;
  }

  /** `act` is called before each step with the time since the beginning. */
  run(durationMs: number, badPerS: number, act: (atMs: number) => void = () => {}): void {
    for (let atMs = 0; atMs < durationMs; atMs += STEP_MS) {
      act(atMs);
      this.#arrive(SOUND_PER_S, []);
      this.#arrive(badPerS, [BAD]);
      this.#clock.tick(STEP_MS);
    }
  }

  /** Ends this many engines at once, for a reason of their own. */
  crash(count: number): void {
    this.#engines.slice(0, count).forEach((engine) => this.#exit(engine));
  }

  #noteHold(digest: RequestDigest): void {
    if (digest !== BAD) {
      this.heldWrongly.add(digest);
    }
  }

  #arrive(perS: number, extra: readonly RequestDigest[]): void {
    if (this.#random.next() >= (perS * STEP_MS) / 1_000) {
      return;
    }
    this.#requests += 1;
    const middle = pickRandom(middles, this.#random) ?? FIRST;
    const subject = pickRandom(subjects, this.#random) ?? FIRST;
    const digest = asId<RequestDigest>(`request ${this.#requests}`);
    this.#send({ digest, parts: [FIRST, middle, subject, ...extra] }, `a-${this.#requests}`, 1);
  }

  #send(prompt: Prompt, attemptId: string, attempt: number): void {
    const tracker = pickRandom(this.#trackers, this.#random);
    const suspects = [prompt.digest, ...prompt.parts];
    if (tracker === undefined || tracker.findFirstHold(suspects) !== undefined) {
      return;
    }
    tracker.noteRequest(prompt.parts);
    const suspect = tracker.findMainSuspect(suspects)?.digest;
    const chosen =
      suspect === undefined
        ? undefined
        : chooseSuspectUpstream(
            suspect,
            this.#engines.map(({ lifeId }) => lifeId),
          );
    const engine =
      this.#engines.find(({ lifeId }) => lifeId === chosen) ??
      pickRandom(this.#engines, this.#random);
    if (engine !== undefined) {
      const resend = (): void => {
        if (attempt < MAX_ATTEMPTS) {
          this.#send(prompt, attemptId, attempt + 1);
        }
      };
      this.#run(engine, tracker, { ...prompt, attemptId, resend });
    }
  }

  #run(
    engine: Engine,
    tracker: CrashTracker,
    { digest, parts, attemptId, resend }: Prompt & { attemptId: string; resend: () => void },
  ): void {
    let beganAtMs: number | undefined;
    const request: InFlightRequest = {
      attemptId,
      digest,
      partDigests: parts,
      sentAtMs: performance.now(),
      get beganAtMs() {
        return beganAtMs;
      },
      onHeld: () => {},
      onPathLost: () => {},
    };
    const isCrashing = this.isBad && parts.includes(BAD);
    if (isCrashing) {
      this.badArrivalsAtMs.push(performance.now());
    }
    const startMs = 50 + this.#random.nextInt(250);
    const { longestAnswerMs = 2_000 } = this.#options;
    const takesMs = longestAnswerMs / 4 + this.#random.nextInt((longestAnswerMs * 3) / 4);
    const timers = [
      setTimeout(() => {
        beganAtMs = performance.now();
      }, startMs),
      isCrashing
        ? setTimeout(() => this.#exit(engine), startMs + this.#options.crashAfterMs)
        : setTimeout(() => {
            engine.runs.delete(request);
            const suspects = [digest, ...parts];
            tracker.recordSuccess({ suspects, beganAtMs: beganAtMs ?? performance.now() });
          }, startMs + takesMs),
    ];
    engine.runs.set(request, { request, tracker, timers, resend });
  }

  #exit(engine: Engine): void {
    if (!this.#engines.includes(engine)) {
      return;
    }
    this.exitsAtMs.push(performance.now());
    this.#engines.splice(this.#engines.indexOf(engine), 1);
    const runs = [...engine.runs.values()];
    runs.flatMap(({ timers }) => timers).forEach((timer) => clearTimeout(timer));
    const { lifeId } = engine;
    for (const tracker of this.#trackers) {
      const lost = runs.filter((one) => one.tracker === tracker).map(({ request }) => request);
      if (lost.length > 0) {
        const upstream = { id: lifeId } as Upstream;
        tracker.recordExit({ upstream, lifeId, isExpected: false, lost });
      }
    }
    runs.forEach(({ resend }) => setTimeout(resend, MESSAGE_MS * 2));
    setTimeout(() => this.#startEngine(), BACK_MS);
  }

  #startEngine(): void {
    this.#started += 1;
    this.#engines.push(new Engine(`e-${this.#started}`));
  }
}

export const CALM_MS = 4_000;
export const MEASURED_MS = 15_000;

export interface PartPlay extends CrashFleetOptions {
  /** Sound requests have the part before it turns bad. */
  readonly isSoundAtFirst?: boolean;
  /** An upstream ends for a reason of its own each such time. */
  readonly chanceExitEachMs?: number;
}

/** Plays a part that crashes upstreams from some time on. */
export const playPart = (clock: Clock, play: PartPlay): CrashFleet => {
  const { isSoundAtFirst = false, chanceExitEachMs = Infinity } = play;
  const fleet = new CrashFleet(clock, play);
  fleet.run(CALM_MS, isSoundAtFirst ? BAD_PER_S : 0);
  fleet.isBad = true;
  fleet.run(MEASURED_MS, BAD_PER_S, (atMs) => {
    if (atMs % chanceExitEachMs === 0 && chanceExitEachMs !== Infinity) {
      fleet.crash(1);
    }
  });
  return fleet;
};
