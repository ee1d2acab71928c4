/**
 * Splits an event stream at event boundaries. An incomplete event is held back: if its upstream is
 * lost, the resumed stream sends that event again, and the caller must not see it twice.
 */
import { ByteCollector } from '@snipehaven/common';

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const BLANK_LINE_ENDS = ['\n\n', '\n\r\n'] as const;
const ID_FIELD = Buffer.from('id:');
const ID_LINE = Buffer.from('\nid:');
const EMPTY = Buffer.alloc(0);

/** Bytes before a newline that decide whether its line is blank. */
const CONTEXT_BYTES = 2;

export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly events: number;
  /** Id of the last numbered event among them. */
  readonly lastEventId?: number;
}

const NO_EVENTS: CompleteEvents = { bytes: EMPTY, events: 0 };

/** Index after the last blank line in `bytes`, which follow `context`; 0 if there is none. */
const findEndOfCompleteEvents = (context: Buffer, bytes: Buffer): number => {
  const getByte = (index: number): number | undefined =>
    index < 0 ? context[context.length + index] : bytes[index];
  for (let index = bytes.length - 1; index >= 0; index -= 1) {
    if (bytes[index] === NEWLINE) {
      const before = getByte(index - 1);
      const isBlank =
        before === NEWLINE || (before === CARRIAGE_RETURN && getByte(index - 2) === NEWLINE);
      if (isBlank) {
        return index + 1;
      }
    }
  }
  return 0;
};

const countEvents = (bytes: Buffer): number => {
  let events = 0;
  for (const end of BLANK_LINE_ENDS) {
    for (let at = bytes.indexOf(end); at >= 0; at = bytes.indexOf(end, at + end.length)) {
      events += 1;
    }
  }
  return events;
};

const findLastId = (bytes: Buffer): number | undefined => {
  const newline = bytes.lastIndexOf(ID_LINE);
  if (newline < 0 && !bytes.subarray(0, ID_FIELD.length).equals(ID_FIELD)) {
    return undefined;
  }
  const at = newline + 1;
  const end = bytes.indexOf(NEWLINE, at);
  const id = Number(
    bytes.toString('latin1', at + ID_FIELD.length, end < 0 ? undefined : end).trim(),
  );
  return Number.isSafeInteger(id) ? id : undefined;
};

export class EventSplitter {
  readonly #partial = new ByteCollector();

  /** The last bytes of the incomplete event. */
  #context = EMPTY;

  /** Bytes of the last event, which is incomplete. */
  get restBytes(): number {
    return this.#partial.sizeBytes;
  }

  /** Returns the events that these bytes complete. Only the new bytes are searched. */
  push(bytes: Buffer): CompleteEvents {
    const end = findEndOfCompleteEvents(this.#context, bytes);
    if (end === 0) {
      this.#hold(bytes);
      return NO_EVENTS;
    }
    const whole = this.#takeWith(bytes.subarray(0, end));
    this.#hold(bytes.subarray(end));
    const lastEventId = findLastId(whole);
    return {
      bytes: whole,
      events: countEvents(whole),
      ...(lastEventId === undefined ? {} : { lastEventId }),
    };
  }

  /** Returns and clears what is left after the last complete event. */
  takeRest(): Buffer {
    return this.#takeWith(EMPTY);
  }

  #takeWith(bytes: Buffer): Buffer {
    this.#context = EMPTY;
    if (this.#partial.sizeBytes === 0) {
      return bytes;
    }
    this.#partial.append(bytes);
    return this.#partial.take();
  }

  #hold(bytes: Buffer): void {
    if (bytes.length > 0) {
      this.#partial.append(bytes);
      this.#context = Buffer.concat([this.#context, bytes.subarray(-CONTEXT_BYTES)]).subarray(
        -CONTEXT_BYTES,
      );
    }
  }
}
