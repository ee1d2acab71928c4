/** Reads an engine's SSE body as batches of numbered events. */
import { createParser } from 'eventsource-parser';
import { UpstreamBrokenError } from './errors.js';
import type { EngineEvent } from './types.js';

const restoreOffset = (id: string | undefined, last: number): number => {
  const offset = id === undefined ? last + 1 : Number(id);
  if (!Number.isInteger(offset) || offset <= last) {
    throw new UpstreamBrokenError(`event id ${id} after ${last}`);
  }
  return offset;
};

/** Characters of an event that has not ended; a longer one is taken for one without end. */
const MAX_EVENT_CHARS = 1_048_576;

/** Yields the events of each chunk of bytes together; offsets rise strictly. */
export async function* readSseEvents(
  body: AsyncIterable<Uint8Array>,
  afterOffset: number,
): AsyncGenerator<readonly EngineEvent[]> {
  const decoder = new TextDecoder();
  let batch: EngineEvent[] = [];
  let last = afterOffset;
  const parser = createParser({
    maxBufferSize: MAX_EVENT_CHARS,
    onError: (error) => {
      if (error.type === 'max-buffer-size-exceeded') {
        throw new UpstreamBrokenError(error.message, { cause: error });
      }
    },
    onEvent: (event) => {
      last = restoreOffset(event.id, last);
      batch.push({ offset: last, data: event.data });
    },
  });
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    if (batch.length > 0) {
      yield batch;
      batch = [];
    }
  }
}
