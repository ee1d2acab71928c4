/** Consumers of a running answer's events: stream them to the caller, or hold them until rating. */
import type { EngineEvent } from '@snipehaven/upstream';
import type { EventConsumer } from './stepRunner.js';
import type { AnswerHeaders, AnswerSink } from './types.js';

const USAGE_MARKER = '"usage":{';

/**
 * Removes the usage from a chunk; undefined if the chunk contains nothing else. Engines may send
 * usage in the chunk that ends the answer; dropping that chunk would lose its `finish_reason`.
 */
const dropUsage = (data: string): string | undefined => {
  const chunk = JSON.parse(data) as { readonly choices?: readonly unknown[] };
  return chunk.choices?.length ? JSON.stringify({ ...chunk, usage: undefined }) : undefined;
};

/** Streams events to the caller as they arrive. */
export class StreamingConsumer implements EventConsumer {
  readonly #sink: AnswerSink;

  readonly #headers: AnswerHeaders;

  readonly #includesUsage: boolean;

  #hasBegun = false;

  constructor(sink: AnswerSink, headers: AnswerHeaders, includesUsage: boolean) {
    this.#sink = sink;
    this.#headers = headers;
    this.#includesUsage = includesUsage;
  }

  get hasSentToCaller(): boolean {
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
    return this.#sink.writeEvents(events.flatMap((event) => this.#filterUsage(event.data)));
  }

  #filterUsage(data: string): readonly string[] {
    if (this.#includesUsage || !data.includes(USAGE_MARKER)) {
      return [data];
    }
    const withoutUsage = dropUsage(data);
    return withoutUsage === undefined ? [] : [withoutUsage];
  }
}

/**
 * Sends nothing while the answer runs: it is sent as a whole later, or replaced by another answer.
 */
export class BufferedConsumer implements EventConsumer {
  readonly hasSentToCaller = false;

  take(): undefined {
    return undefined;
  }
}
