/** Implements `CallerPort` over Node's HTTP server. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ResponseFraming } from '../exchange/index.js';
import { refusalForms, type CallerPort, type Refusal } from '../runs/index.js';
import { lingerOn, skipRest, type AnswerHolder, type UnreadAnswers } from './limits/index.js';
import { hasBody } from './requestBody.js';

/** Standard HTTP header that tells a refused caller when to retry. */
const RETRY_AFTER = 'Retry-After';

/** What the ports of a server have in common. */
export interface CallerPortContext {
  readonly unreadAnswers: UnreadAnswers;
  /** Whether a response announces that its connection closes. */
  mustClose(request: IncomingMessage): boolean;
  /** How long a caller may read nothing of a response that is written whole, in ms. */
  getIdleTimeoutMs(): number;
  /** The most that is read of a refused request whose connection stays open. */
  getMaxBodyBytes(): number;
  /** The caller left too much unread. */
  onUnreadDropped(request: IncomingMessage): void;
  /** A refused request goes on beyond the longest body. */
  onEndlessBody(request: IncomingMessage): void;
}

export class HttpCallerPort implements CallerPort, AnswerHolder {
  readonly #request: IncomingMessage;

  readonly #response: ServerResponse;

  readonly #context: CallerPortContext;

  #endsWithConnection = false;

  #isUnreadWatched = false;

  constructor(request: IncomingMessage, response: ServerResponse, context: CallerPortContext) {
    this.#request = request;
    this.#response = response;
    this.#context = context;
  }

  get unreadBytes(): number {
    return this.#response.writableLength;
  }

  dropUnread(): void {
    this.#context.onUnreadDropped(this.#request);
    this.abort();
  }

  /** To be called when the connection has closed. */
  forgetUnread(): void {
    this.#context.unreadAnswers.remove(this);
  }

  begin(
    status: number,
    headers: Readonly<Record<string, string | string[]>>,
    framing: ResponseFraming,
  ): void {
    this.#announceClose();
    // Callers of HTTP/1.0 have no chunks.
    if (framing === 'untilClose' || (framing === 'chunked' && this.#isHttp10)) {
      this.#endsWithConnection = true;
      this.#response.useChunkedEncodingByDefault = false;
      this.#response.setHeader('Connection', 'close');
    }
    this.#response.writeHead(status, headers);
  }

  write(bytes: Buffer): boolean {
    const isTaken = this.#response.write(bytes);
    // The runtime passes on what it has taken at the end of this turn.
    if (!isTaken || this.#isUnreadWatched) {
      this.#countUnread();
    }
    return isTaken;
  }

  end(): void {
    this.#response.end();
    this.#countUnread();
    this.#limitReadingTime();
  }

  /**
   * A response that is ended by closing its connection would look complete after a normal close, so
   * the connection is reset.
   */
  abort(): void {
    if (this.#endsWithConnection) {
      this.#request.socket.resetAndDestroy();
    } else {
      this.#request.socket.destroy();
    }
  }

  /** Aborts a response that would look complete if its connection were closed. */
  abortUnframed(): void {
    if (this.#endsWithConnection && !this.#response.writableFinished) {
      this.abort();
    }
  }

  /** A refusal that closes the connection does so when its caller has had time to read it. */
  refuse({ reason, retryAfterS }: Refusal): void {
    const { status, message, closesConnection } = refusalForms[reason];
    const body = Buffer.from(`${JSON.stringify({ error: message, reason })}\n`);
    if (closesConnection) {
      this.#response.setHeader('Connection', 'close');
    }
    this.#announceClose();
    if (retryAfterS !== undefined) {
      this.#response.setHeader(RETRY_AFTER, String(retryAfterS));
    }
    this.#response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': body.length,
    });
    if (this.#request.complete || !hasBody(this.#request)) {
      this.#response.end(body);
    } else if (closesConnection) {
      this.#response.write(body);
      lingerOn(this.#request, () => this.#response.end());
    } else {
      this.#response.end(body);
      skipRest(this.#request, this.#context.getMaxBodyBytes(), () => {
        this.#context.onEndlessBody(this.#request);
        this.#request.socket.destroy();
      });
    }
    this.#countUnread();
    this.#limitReadingTime();
  }

  onDrain(listener: () => void): void {
    this.#response.on('drain', listener);
  }

  get #isHttp10(): boolean {
    return this.#request.httpVersionMajor === 1 && this.#request.httpVersionMinor === 0;
  }

  #announceClose(): void {
    if (this.#context.mustClose(this.#request)) {
      this.#response.setHeader('Connection', 'close');
    }
  }

  #countUnread(): void {
    if (!this.#isUnreadWatched && this.unreadBytes > 0) {
      this.#isUnreadWatched = true;
      this.#response.on('drain', () => this.#context.unreadAnswers.update(this));
      this.#response.once('close', () => this.forgetUnread());
    }
    if (this.#isUnreadWatched) {
      this.#context.unreadAnswers.update(this);
    }
  }

  /** Nothing else ends a connection whose caller does not read the end of a response. */
  #limitReadingTime(): void {
    if (this.unreadBytes > 0) {
      this.#request.socket.setTimeout(this.#context.getIdleTimeoutMs());
    }
  }
}
