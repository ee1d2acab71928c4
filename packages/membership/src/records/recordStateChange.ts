/** Records state changes of members in the timeline. */
import type { Member } from '@snipehaven/protocol';
import type { EventType, TimelineRecorder } from '@snipehaven/timeline';

const EVENTS: Readonly<Record<Member['state'], EventType>> = {
  alive: 'memberJoined',
  suspect: 'memberSuspected',
  dead: 'memberDied',
  left: 'memberLeft',
};

/** `before` is the record that the new one replaces. */
export const recordStateChange = (
  timeline: TimelineRecorder,
  member: Member,
  before: Member | undefined,
): void =>
  timeline.record(
    EVENTS[member.state],
    {},
    {
      member: member.incarnation,
      memberDataCentre: member.dataCentre,
      refutation: member.refutation,
      before: before?.state ?? 'unknown',
    },
  );
