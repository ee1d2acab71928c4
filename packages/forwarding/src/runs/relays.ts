/** How an answer's bytes go to the caller: held until whole, or event by event. */
import { MAX_HELD_ANSWER_BYTES } from '../constants.js';
import type { AnswerFraming, AnswerHead } from '../exchange/index.js';
import type { HeaderDialect, RouteKind } from '../types.js';
import { EventSplitter } from './eventSplitter.js';
import type { CallerPort } from './types.js';

export interface AnswerRelay {
  /** Whether the caller has got a part of the answer. */
  readonly hasBegun: boolean;
  readonly lastEventId: number | undefined;
  /** An answer starts; of resumed ones only the events are used. */
  begin(head: AnswerHead): void;
  /** False when the caller reads more slowly than bytes come. */
  take(bytes: Buffer): boolean;
  finish(): void;
  /** The present answer is given up; what the caller does not have yet is forgotten. */
  interrupt(): void;
}

/** Holds a whole answer, so that one that breaks can be asked for again. Large ones pass through. */
export class WholeRelay implements AnswerRelay {
  readonly #port: CallerPort;

  readonly #dialect: HeaderDialect;

  readonly lastEventId = undefined;

  #head: AnswerHead | undefined;

  #held: Buffer[] = [];

  #heldBytes = 0;

  #hasBegun = false;

  constructor(port: CallerPort, dialect: HeaderDialect) {
    this.#port = port;
    this.#dialect = dialect;
  }

  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  begin(head: AnswerHead): void {
    this.#head = head;
  }

  take(bytes: Buffer): boolean {
    if (this.#hasBegun) {
      return this.#port.write(bytes);
    }
    this.#held.push(bytes);
    this.#heldBytes += bytes.length;
    return this.#heldBytes > MAX_HELD_ANSWER_BYTES ? this.#release() : true;
  }

  finish(): void {
    if (!this.#hasBegun) {
      this.#release();
    }
    this.#port.end();
  }

  interrupt(): void {
    this.#held = [];
    this.#heldBytes = 0;
  }

  #release(): boolean {
    const head = this.#head;
    if (head === undefined) {
      return true;
    }
    this.#hasBegun = true;
    this.#port.begin(head.status, this.#dialect.buildCallerHeaders(head.headers), head.framing);
    const isTaken = this.#heldBytes === 0 || this.#port.write(Buffer.concat(this.#held));
    this.interrupt();
    return isTaken;
  }
}

/** Passes whole events on at once, the first answer's headers before them. */
export class EventRelay implements AnswerRelay {
  readonly #port: CallerPort;

  readonly #dialect: HeaderDialect;

  #splitter = new EventSplitter();

  #lastEventId: number | undefined;

  #head: AnswerHead | undefined;

  #framing: AnswerFraming = 'chunked';

  #hasBegun = false;

  constructor(port: CallerPort, dialect: HeaderDialect, lastEventId: number | undefined) {
    this.#port = port;
    this.#dialect = dialect;
    this.#lastEventId = lastEventId;
  }

  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  begin(head: AnswerHead): void {
    this.#head ??= head;
    this.#framing = head.framing;
    this.#splitter = new EventSplitter();
  }

  take(bytes: Buffer): boolean {
    const whole = this.#splitter.push(bytes);
    this.#lastEventId = whole.lastEventId ?? this.#lastEventId;
    return whole.bytes.length === 0 || this.#write(whole.bytes);
  }

  finish(): void {
    if (this.#isEndUnknown()) {
      this.#port.breakOff();
      return;
    }
    const rest = this.#splitter.takeRest();
    this.#write(rest);
    this.#port.end();
  }

  interrupt(): void {
    this.#splitter = new EventSplitter();
    if (!this.#hasBegun) {
      this.#head = undefined;
    }
  }

  /** The caller waits for a framed end, and a resumed run ended with its connection, whole or not. */
  #isEndUnknown(): boolean {
    return this.#hasBegun && this.#framing === 'untilClose' && this.#head?.framing !== 'untilClose';
  }

  #write(bytes: Buffer): boolean {
    if (!this.#hasBegun && this.#head !== undefined) {
      this.#hasBegun = true;
      const { status, headers, framing } = this.#head;
      this.#port.begin(status, this.#dialect.buildCallerHeaders(headers), framing);
    }
    return bytes.length === 0 || this.#port.write(bytes);
  }
}

type RelayFactory = (
  port: CallerPort,
  dialect: HeaderDialect,
  lastEventId: number | undefined,
) => AnswerRelay;

const createWhole: RelayFactory = (port, dialect) => new WholeRelay(port, dialect);

export const relayFactories: Readonly<Record<RouteKind, RelayFactory>> = {
  idempotent: createWhole,
  nonIdempotent: createWhole,
  stream: (port, dialect, lastEventId) => new EventRelay(port, dialect, lastEventId),
};
