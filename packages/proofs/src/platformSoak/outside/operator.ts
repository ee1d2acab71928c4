/** The operator and the platform: configuration, keys, upstream entries, roll-outs, written to the store. */
import { buildConfiguration, buildRoute, type StandinStore } from '@snipehaven/standins';
import type { BackEnd, BackEnds, ServiceName } from './backEnds.js';

interface Leaving {
  readonly upstream: string;
  readonly acknowledgedAtMs: number;
}

export interface Team {
  readonly name: string;
  readonly key: string;
}

const TEAM_NAMES = ['north', 'south', 'east'];
const DATA_CENTRE_OF_UPSTREAMS = 'a';
const SLOTS = 16;

export class Operator {
  readonly #store: StandinStore;

  readonly #backEnds: BackEnds;

  #version = 1;

  #keys = 0;

  #teams: readonly Team[];

  #extraRoutes: readonly string[] = [];

  /** When the store acknowledged that a key is gone. */
  readonly revokedAtMs = new Map<string, number>();

  readonly leavings: Leaving[] = [];

  constructor(store: StandinStore, backEnds: BackEnds) {
    this.#store = store;
    this.#backEnds = backEnds;
    this.#teams = TEAM_NAMES.map((name) => ({ name, key: this.#createKey() }));
  }

  get teams(): readonly Team[] {
    return this.#teams;
  }

  /** Paths that the newest configuration serves beside the usual ones. */
  get extraPaths(): readonly string[] {
    return this.#extraRoutes;
  }

  apply(): void {
    this.#version += 1 + (this.#version % 3);
    const routes = [
      buildRoute('read'),
      buildRoute('write'),
      buildRoute('chat'),
      ...this.#extraRoutes.map((name) => buildRoute('read', name)),
    ];
    const tenants = this.#teams.map(({ name, key }) => ({ name, 'api-keys': [key] }));
    this.#store.put('op', 'config', { ...buildConfiguration(this.#version, { routes }), tenants });
  }

  addRoute(): void {
    this.#extraRoutes = [...this.#extraRoutes.slice(-3), `extra-${this.#version}`];
    this.apply();
  }

  /** One team's key is taken away and another one given. */
  revokeKey(team: Team): void {
    const others = this.#teams.filter(({ name }) => name !== team.name);
    this.#teams = [...others, { name: team.name, key: this.#createKey() }];
    this.apply();
    this.revokedAtMs.set(team.key, performance.now());
  }

  async addBackEnd(service: ServiceName, version = 'v1'): Promise<BackEnd> {
    const backEnd = await this.#backEnds.start(service, version);
    this.#list(backEnd, 'ready');
    return backEnd;
  }

  drain(backEnd: BackEnd): void {
    this.#list(backEnd, 'draining');
    this.#noteLeaving(backEnd);
  }

  remove(backEnd: BackEnd): void {
    this.#store.remove('servers', backEnd.id);
    this.#noteLeaving(backEnd);
  }

  orderRollout(service: ServiceName, to: string, durationS: number): void {
    this.#store.put('op', `rollout/${service}`, { service, to, 'duration-s': durationS });
  }

  readRolloutState(service: ServiceName): string | undefined {
    const status = this.#store.read('status', `rollout/${service}`) as
      { state?: string } | undefined;
    return status?.state;
  }

  #list(backEnd: BackEnd, state: 'ready' | 'draining'): void {
    const { id, service, version, forwarder } = backEnd;
    this.#store.put('servers', id, {
      service,
      address: `${forwarder.address}:${forwarder.port}`,
      zone: DATA_CENTRE_OF_UPSTREAMS,
      version,
      slots: SLOTS,
      state,
      'cold-remaining-ms': 0,
      sequence: 1,
    });
  }

  #noteLeaving({ id }: BackEnd): void {
    if (!this.leavings.some(({ upstream }) => upstream === id)) {
      this.leavings.push({ upstream: id, acknowledgedAtMs: performance.now() });
    }
  }

  #createKey(): string {
    this.#keys += 1;
    return `key-${this.#keys}`;
  }
}
