/** Where the events of a running answer go: at once to the caller, or nowhere until it is judged. */
import type { EngineEvent } from '@snipehaven/upstream';
import type { EventConsumer } from './stepRunner.js';
import type { AnswerHeaders, AnswerSink } from './types.js';

const USAGE_MARK = '"usage":{';

/**
 * The chunk without its usage; undefined where nothing else is in it. Engines may put the usage into the
 * chunk that ends the answer: dropped as a whole, it would take `finish_reason` with it.
 */
const dropUsage = (data: string): string | undefined => {
  const chunk = JSON.parse(data) as { readonly choices?: readonly unknown[] };
  return chunk.choices?.length ? JSON.stringify({ ...chunk, usage: undefined }) : undefined;
};

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
    return this.#sink.writeEvents(events.flatMap((event) => this.#toWanted(event.data)));
  }

  #toWanted(data: string): readonly string[] {
    if (this.#includesUsage || !data.includes(USAGE_MARK)) {
      return [data];
    }
    const rest = dropUsage(data);
    return rest === undefined ? [] : [rest];
  }
}

/** Keeps events back: the answer is released whole, or replaced. */
export class HeldConsumer implements EventConsumer {
  readonly hasReleased = false;

  take(): undefined {
    return undefined;
  }
}
