/** Looks up the route, service and team of a request in one configuration. */
import type { ForwardConfiguration, ForwardRoute, ForwardTeam, ServicePool } from '../types.js';

const byDescendingPrefixLength = (a: ForwardRoute, b: ForwardRoute): number =>
  b.pathPrefix.length - a.pathPrefix.length;

const groupByHost = (
  routes: readonly ForwardRoute[],
): ReadonlyMap<string, readonly ForwardRoute[]> => {
  const groups = new Map<string, ForwardRoute[]>();
  for (const route of routes) {
    const group = groups.get(route.host) ?? [];
    group.push(route);
    groups.set(route.host, group);
  }
  groups.forEach((group) => group.sort(byDescendingPrefixLength));
  return groups;
};

const dropPort = (host: string): string => host.replace(/:\d+$/, '').toLowerCase();

const getPath = (target: string): string => {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
};

export class RouteTable {
  readonly configuration: ForwardConfiguration;

  readonly #routesByHost: ReadonlyMap<string, readonly ForwardRoute[]>;

  readonly #teamsByKey = new Map<string, ForwardTeam>();

  readonly #services = new Map<string, ServicePool>();

  constructor(configuration: ForwardConfiguration) {
    this.configuration = configuration;
    this.#routesByHost = groupByHost(configuration.routes);
    for (const team of configuration.teams) {
      team.keys.forEach((key) => this.#teamsByKey.set(key, team));
    }
    configuration.services.forEach((service) => this.#services.set(service.name, service));
  }

  /**
   * The host's route with the longest matching path prefix. The path is compared as received,
   * without normalization.
   */
  findRoute(host: string, target: string): ForwardRoute | undefined {
    const path = getPath(target);
    return this.#routesByHost
      .get(dropPort(host))
      ?.find((route) => path.startsWith(route.pathPrefix));
  }

  findTeam(key: string): ForwardTeam | undefined {
    return this.#teamsByKey.get(key);
  }

  findService(name: string): ServicePool | undefined {
    return this.#services.get(name);
  }

  /** Whether requests on routes that are not public need a key. */
  get needsKeys(): boolean {
    return this.configuration.teams.length > 0;
  }
}
