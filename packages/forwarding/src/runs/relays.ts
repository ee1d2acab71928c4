/** How an answer's bytes go to the caller: held until whole, or event by event. */
import { MAX_HELD_ANSWER_BYTES } from '../constants.js';
import type { ResponseFraming, ResponseHead } from '../exchange/index.js';
import type { HeaderDialect, RouteKind } from '../types.js';
import { EventSplitter } from './eventSplitter.js';
import type { CallerPort } from './types.js';

export interface ResponseRelay {
  /** Whether the caller has got a part of the answer. */
  readonly hasBegun: boolean;
  readonly lastEventId: number | undefined;
  /** An answer starts; of resumed ones only the events are used. */
  begin(head: ResponseHead): void;
  /** False when the caller reads more slowly than bytes come. */
  relay(bytes: Buffer): boolean;
  finish(): void;
  /** The present answer is given up; what the caller does not have yet is forgotten. */
  discardPending(): void;
}

/** Holds a whole answer, so that one that breaks can be asked for again. Large ones pass through. */
export class BufferingRelay implements ResponseRelay {
  readonly #port: CallerPort;

  readonly #dialect: HeaderDialect;

  readonly lastEventId = undefined;

  #head: ResponseHead | undefined;

  #buffered: Buffer[] = [];

  #bufferedBytes = 0;

  #hasBegun = false;

  constructor(port: CallerPort, dialect: HeaderDialect) {
    this.#port = port;
    this.#dialect = dialect;
  }

  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  begin(head: ResponseHead): void {
    this.#head = head;
  }

  relay(bytes: Buffer): boolean {
    if (this.#hasBegun) {
      return this.#port.write(bytes);
    }
    this.#buffered.push(bytes);
    this.#bufferedBytes += bytes.length;
    return this.#bufferedBytes > MAX_HELD_ANSWER_BYTES ? this.#flush() : true;
  }

  finish(): void {
    if (!this.#hasBegun) {
      this.#flush();
    }
    this.#port.end();
  }

  discardPending(): void {
    this.#buffered = [];
    this.#bufferedBytes = 0;
  }

  #flush(): boolean {
    const head = this.#head;
    if (head === undefined) {
      return true;
    }
    this.#hasBegun = true;
    this.#port.begin(head.status, this.#dialect.buildCallerHeaders(head.headers), head.framing);
    const isTaken = this.#bufferedBytes === 0 || this.#port.write(Buffer.concat(this.#buffered));
    this.discardPending();
    return isTaken;
  }
}

/** Passes whole events on at once, the first answer's headers before them. */
export class EventRelay implements ResponseRelay {
  readonly #port: CallerPort;

  readonly #dialect: HeaderDialect;

  #splitter = new EventSplitter();

  #lastEventId: number | undefined;

  #head: ResponseHead | undefined;

  #framing: ResponseFraming = 'chunked';

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

  begin(head: ResponseHead): void {
    this.#head ??= head;
    this.#framing = head.framing;
    this.#splitter = new EventSplitter();
  }

  relay(bytes: Buffer): boolean {
    const whole = this.#splitter.push(bytes);
    this.#lastEventId = whole.lastEventId ?? this.#lastEventId;
    return whole.bytes.length === 0 || this.#write(whole.bytes);
  }

  finish(): void {
    if (this.#isEndUnknown()) {
      this.#port.abort();
      return;
    }
    const rest = this.#splitter.takeRest();
    this.#write(rest);
    this.#port.end();
  }

  discardPending(): void {
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
) => ResponseRelay;

const createBufferingRelay: RelayFactory = (port, dialect) => new BufferingRelay(port, dialect);

export const relayFactories: Readonly<Record<RouteKind, RelayFactory>> = {
  idempotent: createBufferingRelay,
  nonIdempotent: createBufferingRelay,
  stream: (port, dialect, lastEventId) => new EventRelay(port, dialect, lastEventId),
};
