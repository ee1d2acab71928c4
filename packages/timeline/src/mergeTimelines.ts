/** Merges the events of several daemons into one causal order. */
import { compareHybridTimes } from './hybridClock.js';
import type { HybridTime, TimelineEvent } from './types.js';

/** An event with the moment that it is ordered by. */
interface PlacedEvent {
  readonly event: TimelineEvent;
  readonly at: HybridTime;
}

const getLater = (a: HybridTime, b: HybridTime): HybridTime =>
  compareHybridTimes(a, b) >= 0 ? a : b;

const compareText = (a: string, b: string): number => {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
};

const comparePlaced = (a: PlacedEvent, b: PlacedEvent): number =>
  compareHybridTimes(a.at, b.at) ||
  compareText(a.event.incarnation, b.event.incarnation) ||
  a.event.seq - b.event.seq;

/** Events by incarnation, each once, though several readers may have collected it. */
const groupByIncarnation = (
  events: readonly TimelineEvent[],
): readonly (readonly TimelineEvent[])[] => {
  const groups = new Map<string, Map<number, TimelineEvent>>();
  events.forEach((event) => {
    const group = groups.get(event.incarnation) ?? new Map<number, TimelineEvent>();
    group.set(event.seq, event);
    groups.set(event.incarnation, group);
  });
  return [...groups.values()].map((group) => [...group.values()].sort((a, b) => a.seq - b.seq));
};

/**
 * Places each event no earlier than the one before it in its incarnation. A daemon's own order is
 * certain; a hybrid time that runs backwards, as from a faulty program, would tear it apart and show
 * effects before their causes.
 */
const placeEvents = (events: readonly TimelineEvent[]): readonly PlacedEvent[] => {
  let latest: HybridTime = { wallMs: 0, counter: 0 };
  return events.map((event) => {
    latest = getLater(event.at, latest);
    return { event, at: latest };
  });
};

/**
 * Orders events by hybrid time, then incarnation, then sequence number. Each incarnation's own
 * order is kept, and an event that stands in several lists is taken once.
 */
export const mergeTimelines = (
  lists: readonly (readonly TimelineEvent[])[],
): readonly TimelineEvent[] =>
  groupByIncarnation(lists.flat())
    .flatMap(placeEvents)
    .sort(comparePlaced)
    .map(({ event }) => event);
