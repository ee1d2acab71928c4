/**
 * An engine in virtual time: rounds in which each running answer gets a token and one chunk of waiting
 * prompts is read. A round takes the time of each model that writes in it, and of the chunk for the
 * model that reads.
 */
import type { EventQueue } from '../policy/world/eventQueue.js';
import type { EngineShape, FleetModel } from './types.js';

export interface FleetRun {
  readonly model: FleetModel;
  /** The part that requests of a subject share; empty where there is none. */
  readonly subject: string;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  readonly onBegin: () => void;
  readonly onEnd: () => void;
}

/** A run that the engine has admitted: what is left of its prompt and of its answer, in tokens. */
class Running {
  readonly run: FleetRun;

  #unread: number;

  #unwritten: number;

  constructor(run: FleetRun, unread: number) {
    this.run = run;
    this.#unread = unread;
    this.#unwritten = run.outputTokens;
  }

  get isRead(): boolean {
    return this.#unread === 0;
  }

  get hasWritten(): boolean {
    return this.#unwritten < this.run.outputTokens;
  }

  get isWritten(): boolean {
    return this.#unwritten <= 0;
  }

  /** Reads as much of the chunk as it has left; returns that. */
  read(most: number): number {
    const tokens = Math.min(this.#unread, most);
    this.#unread -= tokens;
    return tokens;
  }

  write(): void {
    this.#unwritten -= 1;
  }
}

export class FleetEngine {
  readonly #shape: EngineShape;

  readonly #clock: EventQueue;

  #waiting: FleetRun[] = [];

  #running: Running[] = [];

  /** Parts in order of their last use, the oldest first. */
  readonly #kept = new Map<string, number>();

  readonly #everRead: Set<string>;

  #isTurning = false;

  #readAgainTokens = 0;

  /** `everRead`: what any engine of the fleet has read, shared by all. */
  constructor(shape: EngineShape, clock: EventQueue, everRead: Set<string>) {
    this.#shape = shape;
    this.#clock = clock;
    this.#everRead = everRead;
  }

  get readAgainTokens(): number {
    return this.#readAgainTokens;
  }

  submit(run: FleetRun): void {
    this.#waiting.push(run);
    this.#waiting.sort((a, b) => a.priority - b.priority);
    this.#turn();
  }

  /** The caller's side gave it up. */
  cancel(run: FleetRun): void {
    this.#waiting = this.#waiting.filter((one) => one !== run);
    this.#running = this.#running.filter((one) => one.run !== run);
  }

  #turn(): void {
    if (this.#isTurning) {
      return;
    }
    this.#admit();
    if (this.#running.length === 0) {
      return;
    }
    this.#isTurning = true;
    const writers = this.#running.filter(({ isRead }) => isRead);
    const tookMs = this.#getWritingMs(writers) + this.#read();
    this.#clock.schedule(this.#clock.nowMs + tookMs, () => {
      this.#isTurning = false;
      this.#write(writers);
      this.#turn();
    });
  }

  #admit(): void {
    while (this.#running.length < this.#shape.slots && this.#waiting.length > 0) {
      const run = this.#waiting.shift() as FleetRun;
      const kept = this.#findKept(run);
      const unread = Math.max(1, run.sharedTokens + run.ownTokens - kept);
      this.#running.push(new Running(run, unread));
    }
  }

  #findKept({ subject, sharedTokens, model }: FleetRun): number {
    if (subject === '') {
      return 0;
    }
    const part = `${model.name}|${subject}`;
    if (this.#kept.delete(part)) {
      this.#kept.set(part, sharedTokens);
      return sharedTokens;
    }
    this.#readAgainTokens += this.#everRead.has(part) ? sharedTokens : 0;
    return 0;
  }

  #keep({ subject, sharedTokens, model }: FleetRun): void {
    if (subject === '') {
      return;
    }
    const part = `${model.name}|${subject}`;
    this.#everRead.add(part);
    this.#kept.delete(part);
    this.#kept.set(part, sharedTokens);
    let total = [...this.#kept.values()].reduce((sum, tokens) => sum + tokens, 0);
    for (const [oldest, tokens] of this.#kept) {
      if (total <= this.#shape.keptTokens) {
        return;
      }
      this.#kept.delete(oldest);
      total -= tokens;
    }
  }

  #getWritingMs(writers: readonly Running[]): number {
    const models = new Set(writers.map(({ run }) => run.model));
    const steps = [...models].reduce((sum, { pace }) => sum + this.#shape.stepMs * pace, 0);
    return steps + writers.length * this.#shape.stepMsPerSlot;
  }

  /** Reads one chunk of the prompts, in order; returns the time that it takes. */
  #read(): number {
    let left = this.#shape.chunkTokens;
    let tookMs = 0;
    for (const one of this.#running) {
      const tokens = one.read(left);
      left -= tokens;
      tookMs += (tokens * one.run.model.pace) / this.#shape.tokensPerMs;
    }
    return tookMs;
  }

  #write(writers: readonly Running[]): void {
    writers.forEach((one) => one.write());
    const begun = this.#running.filter(({ isRead, hasWritten }) => isRead && !hasWritten);
    const ended = this.#running.filter(({ isWritten }) => isWritten);
    this.#running = this.#running.filter(({ isWritten }) => !isWritten);
    begun.forEach(({ run }) => {
      this.#keep(run);
      run.onBegin();
    });
    ended.forEach(({ run }) => run.onEnd());
  }
}
