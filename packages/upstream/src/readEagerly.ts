/**
 * Reads a body as it comes, however slowly its reader takes it. The HTTP client must not be paused: it then
 * throws, where nothing catches it, when a connection that isn't kept ends.
 */
import { on } from 'node:events';
import type { Readable } from 'node:stream';
import { UpstreamBrokenError } from './errors.js';

/** Far more than the answers of engines; a reader that is so far behind resumes its stream later. */
const MAX_UNREAD_BYTES = 4_194_304;

export async function* readEagerly(body: Readable): AsyncGenerator<Uint8Array> {
  let unreadBytes = 0;
  const countUnread = (bytes: Uint8Array): void => {
    unreadBytes += bytes.length;
    if (unreadBytes > MAX_UNREAD_BYTES) {
      body.destroy(new UpstreamBrokenError(`over ${MAX_UNREAD_BYTES} bytes were not read in time`));
    }
  };
  try {
    const pieces = on(body, 'data', { close: ['close'] });
    body.on('data', countUnread);
    for await (const [bytes] of pieces as AsyncIterable<[Uint8Array]>) {
      unreadBytes -= bytes.length;
      yield bytes;
    }
  } finally {
    body.destroy();
  }
}
