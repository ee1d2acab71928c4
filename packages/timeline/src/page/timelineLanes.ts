/** The lanes of the picture: one a VM, grouped by data centre. */
import type { TimelineEvent } from '../types.js';

/** One VM's lane. */
export interface Lane {
  readonly vm: string;
  readonly dataCentre: string;
  /** From 0, top to bottom. */
  readonly row: number;
}

/** Key of a lane: the same VM name may stand in two data centres. */
export const getLaneKey = ({ dataCentre, vm }: Pick<Lane, 'dataCentre' | 'vm'>): string =>
  `${dataCentre}\u0000${vm}`;

/** The lanes by key, data centres and VMs in order of name. */
export const buildLanes = (events: readonly TimelineEvent[]): ReadonlyMap<string, Lane> => {
  const keys = [...new Set(events.map(getLaneKey))].sort();
  return new Map(
    keys.map((key, row) => {
      const [dataCentre = '', vm = ''] = key.split('\u0000');
      return [key, { vm, dataCentre, row }];
    }),
  );
};
