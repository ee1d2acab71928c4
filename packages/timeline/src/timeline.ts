/** The bounded ring of one daemon's events. */
import type { HybridClock } from './hybridClock.js';
import type {
  EventDetail,
  EventSubject,
  EventType,
  TimelineEvent,
  TimelineQuery,
  TimelineRecorder,
} from './types.js';

/** Who records. */
export interface TimelineSource {
  readonly vm: string;
  readonly dataCentre: string;
  readonly incarnation: string;
}

const matches = (event: TimelineEvent, query: TimelineQuery): boolean =>
  event.at.wallMs >= (query.sinceMs ?? 0) &&
  (query.requestId === undefined || event.subject.requestId === query.requestId) &&
  (query.version === undefined || event.subject.version === query.version) &&
  (query.team === undefined || event.subject.team === query.team) &&
  (query.types === undefined || query.types.includes(event.type));

const DEFAULT_CAPACITY = 4_096;

export class Timeline implements TimelineRecorder {
  readonly #source: TimelineSource;

  readonly #clock: HybridClock;

  readonly #capacity: number;

  readonly #ring: TimelineEvent[] = [];

  #seq = 0;

  constructor(source: TimelineSource, clock: HybridClock, capacity = DEFAULT_CAPACITY) {
    this.#source = source;
    this.#clock = clock;
    this.#capacity = capacity;
  }

  record(type: EventType, subject: EventSubject, detail: EventDetail = {}): void {
    this.#seq += 1;
    const event = {
      at: this.#clock.tick(),
      ...this.#source,
      seq: this.#seq,
      type,
      subject,
      detail,
    };
    this.#ring[(this.#seq - 1) % this.#capacity] = event;
  }

  /** The events that match, oldest first; at most `limit` of the latest. */
  list(query: TimelineQuery): readonly TimelineEvent[] {
    const start = this.#seq % this.#capacity;
    const ordered =
      this.#seq <= this.#capacity
        ? this.#ring
        : [...this.#ring.slice(start), ...this.#ring.slice(0, start)];
    const found = ordered.filter((event) => matches(event, query));
    return query.limit === undefined ? found : found.slice(-query.limit);
  }
}

/** A recorder that forgets; for tests. */
export const silentRecorder: TimelineRecorder = { record: () => undefined };
