/** Brittle upstreams that fell over under requests of the daemons. */
import { CONTACT_MS, MAX_FALLS, MAX_FALLS_SHARE } from '../constants.js';
import type { Fall, Rejection } from '../types.js';
import type { Evidence } from './evidence.js';

const describe = ({ upstream, atMs }: Fall): string => `${upstream} at ${Math.round(atMs)}`;

/** A fall counts if most of what was turned away came from calm VMs. */
export const fellOver = ({ world, attempts }: Evidence): readonly string[] => {
  const vmByAttemptId = new Map(attempts.map(({ id, vm }) => [id, vm]));
  const isFromCalm = ({ attemptId, atMs }: Rejection): boolean =>
    world.faultLog.isCalm(vmByAttemptId.get(attemptId) ?? '', atMs, atMs);
  return world.operator.brittleSpans.flatMap(({ fromMs, toMs, upstreams }) => {
    const counted = world.backEnds.falls
      .filter(({ atMs }) => atMs > fromMs + CONTACT_MS && atMs <= toMs)
      .filter(({ rejections }) => rejections.filter(isFromCalm).length * 2 > rejections.length);
    return counted.length > MAX_FALLS + MAX_FALLS_SHARE * upstreams
      ? [`${counted.length} falls of ${upstreams} upstreams: ${counted.map(describe).join(', ')}`]
      : [];
  });
};
