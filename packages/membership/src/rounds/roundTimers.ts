/** Starts each type of round periodically, out of phase with other members. */
import {
  spawnHandlerActor,
  startActorSystem,
  stopActorSystem,
  type ActorSystem,
  type HandlerErrorListener,
  type HandlerTable,
  type Random,
} from '@snipehaven/common';
import { JITTER } from '../constants.js';

export type RoundType = 'probe' | 'relay' | 'heal' | 'vmList';

interface RoundMessage {
  readonly type: RoundType;
}

export type RoundIntervals = Readonly<Record<RoundType, number>>;

export class RoundTimers {
  readonly #intervals: RoundIntervals;

  readonly #handlers: HandlerTable<RoundMessage>;

  readonly #random: Random;

  readonly #onError: HandlerErrorListener;

  readonly #timers = new Map<RoundType, NodeJS.Timeout>();

  #system: ActorSystem | undefined;

  constructor(
    intervals: RoundIntervals,
    handlers: HandlerTable<RoundMessage>,
    random: Random,
    onError: HandlerErrorListener,
  ) {
    this.#intervals = intervals;
    this.#handlers = handlers;
    this.#random = random;
    this.#onError = onError;
  }

  start(): void {
    const system = startActorSystem();
    this.#system = system;
    const actor = spawnHandlerActor(system, 'rounds', this.#handlers, this.#onError);
    const schedule = (type: RoundType, delayMs: number): void => {
      const run = (): void => {
        actor.tell({ type });
        schedule(type, this.#addJitter(this.#intervals[type]));
      };
      this.#timers.set(type, setTimeout(run, delayMs).unref());
    };
    (Object.keys(this.#intervals) as RoundType[]).forEach((type) =>
      schedule(type, this.#random.next() * this.#intervals[type]),
    );
  }

  stop(): void {
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#timers.clear();
    if (this.#system) {
      stopActorSystem(this.#system);
      this.#system = undefined;
    }
  }

  #addJitter(intervalMs: number): number {
    return intervalMs * (1 + JITTER * (2 * this.#random.next() - 1));
  }
}
