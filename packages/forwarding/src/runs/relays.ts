/** Relays response bytes to the caller: buffered until complete, or event by event. */
import { MAX_HELD_ANSWER_BYTES } from '../constants.js';
import type { ResponseFraming, ResponseHead } from '../exchange/index.js';
import type { HeaderDialect, RouteKind } from '../types.js';
import { EventSplitter } from './eventSplitter.js';
import type { CallerPort } from './types.js';

export interface ResponseRelay {
  /** Whether the caller has received part of the response. */
  readonly hasBegun: boolean;
  readonly lastEventId: number | undefined;
  /** Whether the response would be cut off if its connection ended now. */
  readonly isInsideEvent: boolean;
  /**
   * A response starts. When a stream is resumed, only the events of the new response are relayed.
   */
  begin(head: ResponseHead): void;
  /** False when the caller reads more slowly than bytes arrive. */
  relay(bytes: Buffer): boolean;
  finish(): void;
  /** Abandons the current response and drops what has not been sent to the caller. */
  discardPending(): void;
}

/**
 * Buffers the complete response, so that a broken one can be requested again. A response above
 * `MAX_HELD_ANSWER_BYTES` is passed through.
 */
export class BufferingRelay implements ResponseRelay {
  readonly #port: CallerPort;

  readonly #dialect: HeaderDialect;

  readonly lastEventId = undefined;

  readonly isInsideEvent = false;

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

/** Relays complete events as they arrive, preceded by the headers of the first response. */
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

  /** A response with a framed end is complete whatever it ends with. */
  get isInsideEvent(): boolean {
    return this.#framing === 'untilClose' && this.#splitter.hasRest;
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

  /**
   * True when the resumed response ends by closing its connection, so that its completeness is
   * unknown, while the caller was promised a response with a framed end.
   */
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
