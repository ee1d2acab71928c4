/** Where the events of a running answer go: at once to the caller, or nowhere until it is judged. */
import type { EngineEvent } from '@snipehaven/upstream';
import type { EventConsumer } from './stepRunner.js';
import type { AnswerHeaders, AnswerSink } from './types.js';

const USAGE_MARK = '"usage":{';

/** Passes events on as they come. */
export class LiveConsumer implements EventConsumer {
  readonly #sink: AnswerSink;

  readonly #headers: AnswerHeaders;

  readonly #includesUsage: boolean;

  #hasBegun = false;

  constructor(sink: AnswerSink, headers: AnswerHeaders, includesUsage: boolean) {
    this.#sink = sink;
    this.#headers = headers;
    this.#includesUsage = includesUsage;
  }

  get hasReleased(): boolean {
    return this.#hasBegun;
  }

  begin(): void {
    if (!this.#hasBegun) {
      this.#hasBegun = true;
      this.#sink.begin(this.#headers);
    }
  }

  take(events: readonly EngineEvent[]): Promise<void> | undefined {
    this.begin();
    const wanted = this.#includesUsage
      ? events
      : events.filter((event) => !event.data.includes(USAGE_MARK));
    return this.#sink.writeEvents(wanted.map((event) => event.data));
  }
}

/** Keeps events back: the answer is released whole, or replaced. */
export class HeldConsumer implements EventConsumer {
  readonly hasReleased = false;

  take(): undefined {
    return undefined;
  }
}
