/** This daemon's place among those of its data centre. */
import type { MembershipView } from '@snipehaven/membership';
import type { DaemonPlace } from '@snipehaven/routing';

/** Sorting all members for each request would show on its path; a place may be so old. */
const MAX_PLACE_AGE_MS = 250;

const compareText = (a: string, b: string): number => {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
};

/**
 * By VM and incarnation, the order that all daemons share: slots of upstreams are dealt out by it, so that
 * no message is needed for it. A list that differs for a moment only makes the division uneven.
 */
export const createDaemonPlace = (
  membership: Pick<MembershipView, 'self' | 'listLocal'>,
): (() => DaemonPlace) => {
  let place: DaemonPlace | undefined;
  let takenAtMs = 0;
  return () => {
    const nowMs = Date.now();
    if (place === undefined || Math.abs(nowMs - takenAtMs) > MAX_PLACE_AGE_MS) {
      const incarnations = [...membership.listLocal()]
        .sort((a, b) => compareText(a.vm, b.vm) || compareText(a.incarnation, b.incarnation))
        .map(({ incarnation }) => incarnation);
      takenAtMs = nowMs;
      place = {
        daemonIndex: Math.max(0, incarnations.indexOf(membership.self.incarnation)),
        daemonCount: Math.max(1, incarnations.length),
      };
    }
    return place;
  };
};
