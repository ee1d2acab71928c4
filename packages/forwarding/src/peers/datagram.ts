/** Encoding of datagrams between daemons: JSON, or deflated JSON after a marker byte. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';

/**
 * First byte of compressed JSON; plain JSON begins with a bracket here. Compression reduces a
 * configuration of forty routes to a sixth, so that it fits into a datagram and daemons need not
 * read it from the store.
 */
const COMPRESSED_MARKER = 0x7a;

/** Many times the size of a store row; prevents a stray datagram from exhausting the memory. */
const MAX_DECOMPRESSED_BYTES = 4_194_304;

export const compressDatagram = (json: string): Buffer => {
  // eslint-disable-next-line n/no-sync -- some KB in memory; no disk or network access
  const compressed = deflateRawSync(json);
  return Buffer.concat([Buffer.of(COMPRESSED_MARKER), compressed]);
};

const decompress = (bytes: Buffer): Buffer => {
  if (bytes[0] !== COMPRESSED_MARKER) {
    return bytes;
  }
  // eslint-disable-next-line n/no-sync -- some KB in memory; no disk or network access
  return inflateRawSync(bytes.subarray(1), { maxOutputLength: MAX_DECOMPRESSED_BYTES });
};

/**
 * The parts of a decoded message `{ [name]: [...parts] }`, not validated yet; undefined for any
 * other message.
 */
export const readMessageParts = (
  message: unknown,
  name: string,
): readonly unknown[] | undefined => {
  const isNamed = typeof message === 'object' && message !== null && Object.hasOwn(message, name);
  const parts = isNamed ? (message as Readonly<Record<string, unknown>>)[name] : undefined;
  return Array.isArray(parts) ? (parts as readonly unknown[]) : undefined;
};

/**
 * Undefined for a malformed datagram, which can be ignored: peers send their next message within a
 * second.
 */
export const parseDatagram = (bytes: Buffer): unknown => {
  try {
    return JSON.parse(decompress(bytes).toString('utf8'));
  } catch {
    return undefined;
  }
};
