/**
 * One incarnation of an upstream in virtual time: prompts are read one after the other, answers come
 * together.
 */
import type { Random } from '@snipehaven/common';
import type { EventQueue } from '../policy/world/eventQueue.js';

export interface PlayedRun {
  readonly isDeadly: boolean;
  readonly answerMs: number;
  /** When its answer began; absent before. */
  beganAtMs: number | undefined;
  onEnd(): void;
  /** The upstream crashed before the answer was complete. */
  onLoss(): void;
}

const READ_MS = 20;

/** From the moment at which a deadly request begins to run until the upstream crashes. */
const LEAST_END_MS = 30;
const END_SPREAD_MS = 120;

export class CrashUpstream {
  readonly lifeId: string;

  readonly #clock: EventQueue;

  readonly #random: Random;

  readonly #onDeath: (life: CrashUpstream, isByDeadly: boolean) => void;

  readonly #runs = new Set<PlayedRun>();

  #readUntilMs = 0;

  #hasEnded = false;

  constructor(
    lifeId: string,
    clock: EventQueue,
    random: Random,
    onDeath: (life: CrashUpstream, isByDeadly: boolean) => void,
  ) {
    this.lifeId = lifeId;
    this.#clock = clock;
    this.#random = random;
    this.#onDeath = onDeath;
  }

  get runs(): ReadonlySet<PlayedRun> {
    return this.#runs;
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  submit(run: PlayedRun): void {
    this.#runs.add(run);
    this.#readUntilMs = Math.max(this.#readUntilMs, this.#clock.nowMs) + READ_MS;
    this.#clock.schedule(this.#readUntilMs, () => this.#begin(run));
  }

  cancel(run: PlayedRun): void {
    this.#runs.delete(run);
  }

  end(isByDeadly: boolean): void {
    if (!this.#hasEnded) {
      this.#hasEnded = true;
      this.#onDeath(this, isByDeadly);
    }
  }

  #begin(run: PlayedRun): void {
    if (this.#hasEnded || !this.#runs.has(run)) {
      return;
    }
    if (run.isDeadly) {
      const endMs = LEAST_END_MS + this.#random.next() * END_SPREAD_MS;
      this.#clock.schedule(this.#clock.nowMs + endMs, () => this.end(true));
      return;
    }
    Object.assign(run, { beganAtMs: this.#clock.nowMs });
    this.#clock.schedule(this.#clock.nowMs + run.answerMs, () => {
      if (!this.#hasEnded && this.#runs.delete(run)) {
        run.onEnd();
      }
    });
  }
}
