/**
 * Splits an event stream at event boundaries. An incomplete event is held back: if its upstream is
 * lost, the resumed stream sends that event again, and the caller must not see it twice.
 */

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = Buffer.from('id:');

export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Id of the last numbered event among them. */
  readonly lastEventId?: number;
}

/** Index after the last blank line; 0 if there is none. */
const findEndOfCompleteEvents = (bytes: Buffer): number => {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] === NEWLINE) {
      const before = bytes[index - 1];
      const isBlank =
        before === NEWLINE ||
        (before === CARRIAGE_RETURN && index > 1 && bytes[index - 2] === NEWLINE);
      if (isBlank) {
        return index + 1;
      }
    }
  }
  return 0;
};

const findLastId = (bytes: Buffer): number | undefined => {
  let at = bytes.lastIndexOf(ID_FIELD);
  while (at > 0 && bytes[at - 1] !== NEWLINE) {
    at = bytes.lastIndexOf(ID_FIELD, at - 1);
  }
  if (at < 0) {
    return undefined;
  }
  const end = bytes.indexOf(NEWLINE, at);
  const id = Number(
    bytes.toString('latin1', at + ID_FIELD.length, end < 0 ? undefined : end).trim(),
  );
  return Number.isSafeInteger(id) ? id : undefined;
};

export class EventSplitter {
  #partial: Buffer = Buffer.alloc(0);

  /** Whether the last event is incomplete. */
  get hasRest(): boolean {
    return this.#partial.length > 0;
  }

  /** Returns the events that these bytes complete. */
  push(bytes: Buffer): CompleteEvents {
    const all = this.#partial.length > 0 ? Buffer.concat([this.#partial, bytes]) : bytes;
    const end = findEndOfCompleteEvents(all);
    this.#partial = all.subarray(end);
    const whole = all.subarray(0, end);
    const lastEventId = findLastId(whole);
    return { bytes: whole, ...(lastEventId === undefined ? {} : { lastEventId }) };
  }

  /** Returns and clears what is left after the last complete event. */
  takeRest(): Buffer {
    const rest = this.#partial;
    this.#partial = Buffer.alloc(0);
    return rest;
  }
}
