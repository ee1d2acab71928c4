/** Resolves the route and team of a request by the current configuration. */
import type { RouteTable } from '../configuration/routeTable.js';
import type { ForwardRoute, ForwardTeam } from '../types.js';
import type { RefusalReason } from './types.js';

export interface ResolvedRequest {
  readonly route: ForwardRoute;
  readonly team?: ForwardTeam;
}

export interface RequestAddress {
  readonly host: string;
  readonly target: string;
  readonly teamKey?: string | undefined;
}

export type Resolution = ResolvedRequest | RefusalReason;

export const isRefused = (resolution: Resolution): resolution is RefusalReason =>
  typeof resolution === 'string';

export const resolveRequest = (table: RouteTable, address: RequestAddress): Resolution => {
  const route = table.findRoute(address.host, address.target);
  if (route === undefined) {
    return 'noRoute';
  }
  if (route.isPublic || !table.needsKeys) {
    return { route };
  }
  const team = address.teamKey === undefined ? undefined : table.findTeam(address.teamKey);
  return team === undefined ? 'unknownKey' : { route, team };
};
