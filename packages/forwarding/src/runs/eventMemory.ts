/**
 * Bounds the memory of incomplete events. Each stream has some of its own, so that streams with long
 * events cost the others nothing.
 */
import { MAX_EVENT_BYTES, MAX_SHARED_EVENT_BYTES, OWN_EVENT_BYTES } from '../constants.js';

const getSharedBytes = (eventBytes: number): number => Math.max(0, eventBytes - OWN_EVENT_BYTES);

export class EventMemory {
  #sharedBytes = 0;

  /** Bytes that streams hold beyond their own. */
  get sharedBytes(): number {
    return this.#sharedBytes;
  }

  /**
   * Called when the incomplete event of a stream grows or shrinks; false, without effect, if it may
   * not grow so far.
   */
  resize(fromBytes: number, toBytes: number): boolean {
    const sharedBytes = this.#sharedBytes - getSharedBytes(fromBytes) + getSharedBytes(toBytes);
    const isGrowing = toBytes > fromBytes;
    if (isGrowing && (toBytes > MAX_EVENT_BYTES || sharedBytes > MAX_SHARED_EVENT_BYTES)) {
      return false;
    }
    this.#sharedBytes = sharedBytes;
    return true;
  }
}
