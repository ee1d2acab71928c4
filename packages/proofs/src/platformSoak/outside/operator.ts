/** The operator and the platform: configuration, keys, upstream entries, roll-outs, written to the store. */
import { buildConfiguration, buildRoute, type StandinStore } from '@snipehaven/standins';
import { COLD_MS, COLD_PER_S, PLAIN_SLOTS } from '../constants.js';
import type { BackEnd, BackEnds, Brittleness, ServiceName } from './backEnds.js';

interface Leaving {
  readonly upstream: string;
  readonly acknowledgedAtMs: number;
}

/** While it lasts nothing is to be sent to the data centre's upstreams. */
interface Evacuation {
  readonly dataCentre: string;
  readonly acknowledgedAtMs: number;
  takenBackAtMs: number;
}

/** An upstream is cold from then on. */
interface ColdSpan {
  readonly upstream: string;
  readonly fromMs: number;
  /** Whether it turned cold by itself, so that daemons learn of it later than it happened. */
  readonly isSudden: boolean;
}

/** From `fromMs` until `toMs` all answers of the upstream name the rate limit. */
export interface LimitSpan {
  readonly upstream: string;
  readonly perS: number;
  readonly fromMs: number;
  toMs: number;
}

/** In that time the service's upstreams are brittle. */
interface BrittleSpan {
  readonly service: ServiceName;
  readonly upstreams: number;
  readonly fromMs: number;
  toMs: number;
}

/** An order to move the service to another version. */
export interface RolloutRecord {
  readonly service: ServiceName;
  readonly to: string;
  readonly orderedAtMs: number;
  readonly durationMs: number;
  readonly isGood: boolean;
  /** As last read; undefined before the daemons have written one. */
  state: string | undefined;
}

export interface Team {
  readonly name: string;
  readonly key: string;
}

const TEAM_NAMES = ['north', 'south', 'east'];
const SLOTS: Readonly<Record<ServiceName, number>> = { plain: PLAIN_SLOTS, models: 16 };
const MS_PER_S = 1_000;
const WARM_UP = { 'cold-s': COLD_MS / MS_PER_S, 'cold-per-s': COLD_PER_S };

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

  readonly evacuations: Evacuation[] = [];

  readonly coldSpans: ColdSpan[] = [];

  readonly limitSpans: LimitSpan[] = [];

  readonly brittleSpans: BrittleSpan[] = [];

  readonly rollouts: RolloutRecord[] = [];

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
    const configuration = buildConfiguration(this.#version, { routes });
    const services = configuration.services.map((service) => ({ ...service, ...WARM_UP }));
    this.#store.put('op', 'config', { ...configuration, services, tenants });
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

  /** An upstream that starts while others serve is cold. */
  async addColdBackEnd(service: ServiceName, version: string): Promise<BackEnd> {
    const backEnd = await this.#backEnds.start(service, version);
    this.turnCold(backEnd, false);
    return backEnd;
  }

  /** The upstream says that it is cold, and a heartbeat after its time that it is no more. */
  turnCold(backEnd: BackEnd, isSudden: boolean): void {
    this.coldSpans.push({ upstream: backEnd.id, fromMs: performance.now(), isSudden });
    this.#list(backEnd, 'ready', COLD_MS);
    setTimeout(() => {
      if (this.isStaying(backEnd)) {
        this.#list(backEnd, 'ready');
      }
    }, COLD_MS).unref();
  }

  /** Ends the evacuation by calling what is returned; its upstreams are cold then. */
  evacuate(dataCentre: string): () => void {
    this.#store.put('op', `evacuate/${dataCentre}`, {});
    const evacuation = { dataCentre, acknowledgedAtMs: performance.now(), takenBackAtMs: Infinity };
    this.evacuations.push(evacuation);
    return () => {
      evacuation.takenBackAtMs = performance.now();
      this.#store.remove('op', `evacuate/${dataCentre}`);
      this.#backEnds.all
        .filter((one) => one.dataCentre === dataCentre && this.isStaying(one))
        .forEach((backEnd) => this.turnCold(backEnd, false));
    };
  }

  /** The upstream names the limit in its answers until what is returned is called. */
  limitRate(backEnd: BackEnd, perS: number): () => void {
    const span = { upstream: backEnd.id, perS, fromMs: performance.now(), toMs: Infinity };
    this.limitSpans.push(span);
    Object.assign(backEnd, { statement: { ...backEnd.statement, rateLimitPerS: perS } });
    return () => {
      const { rateLimitPerS, ...others } = backEnd.statement;
      Object.assign(backEnd, { statement: others });
      span.toMs = performance.now();
    };
  }

  /** All upstreams of the service are brittle until what is returned is called. */
  turnBrittle(service: ServiceName, brittleness: Brittleness): () => void {
    const upstreams = this.#backEnds.listOpen(service).length;
    const span = { service, upstreams, fromMs: performance.now(), toMs: Infinity };
    this.brittleSpans.push(span);
    this.#backEnds.brittle.set(service, brittleness);
    return () => {
      this.#backEnds.brittle.delete(service);
      span.toMs = performance.now();
    };
  }

  /** The upstream says in its answers that it leaves. */
  sayLeaving(backEnd: BackEnd): void {
    Object.assign(backEnd, { statement: { ...backEnd.statement, isLeaving: true } });
  }

  /** Whether it runs, is listed, and has not been told to leave. */
  isStaying({ id, isOpen }: BackEnd): boolean {
    const isListed = this.#store.read('servers', id) !== undefined;
    return isOpen && isListed && !this.leavings.some(({ upstream }) => upstream === id);
  }

  drain(backEnd: BackEnd): void {
    this.#list(backEnd, 'draining');
    this.#noteLeaving(backEnd);
  }

  remove(backEnd: BackEnd): void {
    this.#store.remove('servers', backEnd.id);
    this.#noteLeaving(backEnd);
  }

  orderRollout(service: ServiceName, to: string, durationS: number, isGood: boolean): void {
    this.#store.put('op', `rollout/${service}`, { service, to, 'duration-s': durationS });
    const durationMs = durationS * MS_PER_S;
    const orderedAtMs = performance.now();
    this.rollouts.push({ service, to, orderedAtMs, durationMs, isGood, state: undefined });
  }

  /** Of the last roll-out ordered; the row may still hold that of an earlier one. */
  readRolloutState(service: ServiceName): string | undefined {
    const status = this.#store.read('status', `rollout/${service}`) as
      { state?: string; to?: string } | undefined;
    const rollout = this.rollouts.findLast((one) => one.service === service);
    if (rollout !== undefined && status?.to === rollout.to) {
      rollout.state = status.state;
    }
    return rollout?.state;
  }

  #list(backEnd: BackEnd, state: 'ready' | 'draining', coldMs = 0): void {
    const { id, service, version, dataCentre, forwarder } = backEnd;
    this.#store.put('servers', id, {
      service,
      address: `${forwarder.address}:${forwarder.port}`,
      zone: dataCentre,
      version,
      slots: SLOTS[service],
      state,
      'cold-remaining-ms': coldMs,
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
