/** Relays response bytes to the caller: buffered until complete, or event by event. */
import { ByteCollector } from '@snipehaven/common';
import { MAX_HELD_ANSWER_BYTES } from '../constants.js';
import type { ResponseFraming, ResponseHead } from '../exchange/index.js';
import type { HeaderDialect, RouteKind } from '../types.js';
import type { AnswerMemory } from './answerMemory.js';
import type { EventMemory } from './eventMemory.js';
import { EventSplitter } from './eventSplitter.js';
import { isSuccess, type CallerPort } from './types.js';

/**
 * `blocked`: the caller reads more slowly than bytes arrive. `eventTooLong`: the stream has an event
 * without end, and is to be broken off.
 */
export type RelayProgress = 'flowing' | 'blocked' | 'eventTooLong';

export type CutReason = 'insideEvent' | 'noEvent';

const toProgress = (isTaken: boolean): RelayProgress => (isTaken ? 'flowing' : 'blocked');

export interface ResponseRelay {
  /** Whether the caller has received part of the response. */
  readonly hasBegun: boolean;
  /** Whether another response can follow what the caller has received of this one. */
  readonly canGoOn: boolean;
  readonly lastEventId: number | undefined;
  /** Complete events that were relayed; undefined for responses that are no streams. */
  readonly eventCount: number | undefined;
  /** Why the end of its connection can't be the end of the response; undefined if it can be. */
  readonly cutReason: CutReason | undefined;
  /** Whether a part of an event is held, whose rest must follow. */
  readonly isInsideEvent: boolean;
  /** Whether the response has brought nothing that the caller can get. */
  readonly isEmpty: boolean;
  /**
   * A response starts. When a stream is resumed, only the events of the new response are relayed.
   */
  begin(head: ResponseHead): void;
  relay(bytes: Buffer): RelayProgress;
  finish(): void;
  /** Abandons the current response and frees what has not been sent to the caller. */
  discardPending(): void;
}

export interface RelayOptions {
  readonly port: CallerPort;
  readonly dialect: HeaderDialect;
  /** Of the incomplete events of all streams. */
  readonly memory: EventMemory;
  readonly answerMemory: AnswerMemory;
  /** The caller has received all events up to this one. */
  readonly lastEventId: number | undefined;
}

/**
 * Framing of a response that begins before it is known to be whole. One that only the end of its
 * connection ends would look whole to the caller if this process were killed.
 */
const toUnfinishedFraming = (framing: ResponseFraming): ResponseFraming =>
  framing === 'untilClose' ? 'chunked' : framing;

/**
 * Buffers the complete response, so that a broken one can be requested again. A response above
 * `MAX_HELD_ANSWER_BYTES`, or for which there is no memory, is passed through.
 */
export class BufferingRelay implements ResponseRelay {
  readonly #port: CallerPort;

  readonly #dialect: HeaderDialect;

  readonly lastEventId = undefined;

  readonly eventCount = undefined;

  readonly cutReason = undefined;

  readonly isInsideEvent = false;

  #head: ResponseHead | undefined;

  readonly #memory: AnswerMemory;

  readonly #buffered = new ByteCollector();

  #heldBytes = 0;

  #hasBegun = false;

  constructor({ port, dialect, answerMemory }: RelayOptions) {
    this.#port = port;
    this.#dialect = dialect;
    this.#memory = answerMemory;
  }

  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  get canGoOn(): boolean {
    return !this.#hasBegun;
  }

  get isEmpty(): boolean {
    return !this.#hasBegun && this.#buffered.sizeBytes === 0;
  }

  begin(head: ResponseHead): void {
    this.#head = head;
  }

  relay(bytes: Buffer): RelayProgress {
    if (this.#hasBegun) {
      return toProgress(this.#port.write(bytes));
    }
    this.#buffered.append(bytes);
    return toProgress(this.#tryHold(bytes.length) || this.#flush(toUnfinishedFraming));
  }

  #tryHold(bytes: number): boolean {
    const isHeld = this.#buffered.sizeBytes <= MAX_HELD_ANSWER_BYTES && this.#memory.tryHold(bytes);
    this.#heldBytes += isHeld ? bytes : 0;
    return isHeld;
  }

  #takeBuffered(): Buffer {
    this.#memory.release(this.#heldBytes);
    this.#heldBytes = 0;
    return this.#buffered.take();
  }

  finish(): void {
    if (!this.#hasBegun) {
      this.#flush((framing) => framing);
    }
    this.#port.end();
  }

  discardPending(): void {
    this.#takeBuffered();
  }

  #flush(toFraming: (framing: ResponseFraming) => ResponseFraming): boolean {
    const head = this.#head;
    if (head === undefined) {
      return true;
    }
    this.#hasBegun = true;
    const headers = this.#dialect.buildCallerHeaders(head.headers);
    this.#port.begin(head.status, headers, toFraming(head.framing));
    const bytes = this.#takeBuffered();
    return bytes.length === 0 || this.#port.write(bytes);
  }
}

/** Relays complete events as they arrive, preceded by the headers of the first response. */
export class EventRelay implements ResponseRelay {
  readonly #port: CallerPort;

  readonly #dialect: HeaderDialect;

  readonly #memory: EventMemory;

  #splitter = new EventSplitter();

  #lastEventId: number | undefined;

  #eventCount = 0;

  /** Events that were relayed before the current response. */
  #eventCountBefore = 0;

  #isSuccess = false;

  #head: ResponseHead | undefined;

  #framing: ResponseFraming = 'chunked';

  #hasBegun = false;

  constructor({ port, dialect, memory, lastEventId }: RelayOptions) {
    this.#port = port;
    this.#dialect = dialect;
    this.#memory = memory;
    this.#lastEventId = lastEventId;
  }

  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  get canGoOn(): boolean {
    return !this.#hasBegun || this.#lastEventId !== undefined;
  }

  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  get eventCount(): number {
    return this.#eventCount;
  }

  /** A response with a framed end is complete whatever it ends with. */
  get cutReason(): CutReason | undefined {
    if (this.#framing !== 'untilClose' || !this.#isSuccess) {
      return undefined;
    }
    if (this.isInsideEvent) {
      return 'insideEvent';
    }
    return this.#lastEventId === undefined && this.#eventCount === 0 ? 'noEvent' : undefined;
  }

  get isInsideEvent(): boolean {
    return this.#splitter.restBytes > 0;
  }

  get isEmpty(): boolean {
    return this.#eventCount === this.#eventCountBefore;
  }

  begin(head: ResponseHead): void {
    this.#head ??= head;
    this.#framing = head.framing;
    this.#isSuccess = isSuccess(head.status);
    this.#eventCountBefore = this.#eventCount;
    this.#dropRest();
  }

  relay(bytes: Buffer): RelayProgress {
    const heldBytes = this.#splitter.restBytes;
    const whole = this.#splitter.push(bytes);
    this.#lastEventId = whole.lastEventId ?? this.#lastEventId;
    this.#eventCount += whole.events;
    const isTaken = whole.bytes.length === 0 || this.#write(whole.bytes);
    if (!this.#memory.resize(heldBytes, this.#splitter.restBytes)) {
      this.#memory.resize(heldBytes, 0);
      this.#splitter = new EventSplitter();
      return 'eventTooLong';
    }
    return toProgress(isTaken);
  }

  finish(): void {
    this.#memory.resize(this.#splitter.restBytes, 0);
    const rest = this.#splitter.takeRest();
    this.#write(rest);
    this.#port.end();
  }

  discardPending(): void {
    this.#dropRest();
    if (!this.#hasBegun) {
      this.#head = undefined;
    }
  }

  #dropRest(): void {
    this.#memory.resize(this.#splitter.restBytes, 0);
    this.#splitter = new EventSplitter();
  }

  #write(bytes: Buffer): boolean {
    if (!this.#hasBegun && this.#head !== undefined) {
      this.#hasBegun = true;
      const { status, headers, framing } = this.#head;
      const callerHeaders = this.#dialect.buildCallerHeaders(headers);
      this.#port.begin(status, callerHeaders, toUnfinishedFraming(framing));
    }
    return bytes.length === 0 || this.#port.write(bytes);
  }
}

const createBufferingRelay = (options: RelayOptions): ResponseRelay => new BufferingRelay(options);

export const relayFactories: Readonly<Record<RouteKind, (options: RelayOptions) => ResponseRelay>> =
  {
    idempotent: createBufferingRelay,
    nonIdempotent: createBufferingRelay,
    stream: (options) => new EventRelay(options),
  };
