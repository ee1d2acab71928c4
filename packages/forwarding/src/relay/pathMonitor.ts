/**
 * Finds out which upstreams this daemon reaches directly. The path to one upstream is lost when a
 * direct connection fails though another daemon reaches the upstream; then all others are checked,
 * as the network between this VM and many upstreams fails at once.
 */
import { pickRandom, type Logger, type Random } from '@snipehaven/common';
import type { DirectConnector } from '../exchange/index.js';
import {
  FIRST_REFERENCES,
  MAX_CHECKED_PATHS,
  MIN_SERVICE_SILENCE_MS,
  MORE_REFERENCES,
  RECHECK_MS,
  SILENCE_CHECK_INTERVAL_MS,
} from './constants.js';
import type { RelayClient } from './relayClient.js';
import type { RelayTarget } from './types.js';
import { UpstreamPath, type PathSupervisor } from './upstreamPath.js';

export interface PathMonitorOptions {
  readonly relays: RelayClient;
  readonly logger: Logger;
  readonly random: Random;
}

const isReached = async (path: UpstreamPath): Promise<boolean> =>
  (await path.probeDirect()) === 'listening';

/** Resolves with true as soon as one of them is reached. */
const reachesAny = async (paths: readonly UpstreamPath[]): Promise<boolean> => {
  const attempts = paths.map(async (path) => {
    if (!(await isReached(path))) {
      throw new Error('not reached');
    }
  });
  try {
    await Promise.any(attempts);
    return true;
  } catch {
    // None was reached.
    return false;
  }
};

export class PathMonitor implements PathSupervisor {
  readonly #options: PathMonitorOptions;

  /** By incarnation of the upstream. */
  readonly #pathsByLife = new Map<string, UpstreamPath>();

  #isChecking = false;

  #silenceCheckedAtMs = -Infinity;

  #recheckTimer: NodeJS.Timeout | undefined;

  constructor(options: PathMonitorOptions) {
    this.#options = options;
  }

  /** Upstreams to which connections are relayed. */
  get blockedCount(): number {
    return this.#listBlocked().length;
  }

  createPath(target: RelayTarget, direct: DirectConnector): UpstreamPath {
    const { relays } = this.#options;
    const path = new UpstreamPath({ target, direct, relays, supervisor: this });
    this.#pathsByLife.set(target.lifeId, path);
    return path;
  }

  find(lifeId: string): UpstreamPath | undefined {
    return this.#pathsByLife.get(lifeId);
  }

  stop(): void {
    clearTimeout(this.#recheckTimer);
  }

  onClosed(path: UpstreamPath): void {
    if (this.find(path.target.lifeId) === path) {
      this.#pathsByLife.delete(path.target.lifeId);
    }
  }

  onDetour(path: UpstreamPath): void {
    if (!path.isBlocked) {
      void path.block();
      void this.#checkAll(path);
    }
  }

  onSilence(path: UpstreamPath): void {
    const nowMs = performance.now();
    const ofService = this.#paths.filter(({ target }) => target.service === path.target.service);
    const heardAtMs = Math.max(...ofService.map(({ lastHeardAtMs }) => lastHeardAtMs));
    const isRecent = nowMs - this.#silenceCheckedAtMs < SILENCE_CHECK_INTERVAL_MS;
    if (nowMs - heardAtMs >= MIN_SERVICE_SILENCE_MS && !isRecent) {
      this.#silenceCheckedAtMs = nowMs;
      void this.#checkSilent(path);
    }
  }

  async reachesOthers(path: UpstreamPath): Promise<boolean | undefined> {
    const references = this.#pickReferences(path);
    if (references.length === 0) {
      return undefined;
    }
    return (
      (await reachesAny(references.slice(0, FIRST_REFERENCES))) ||
      reachesAny(references.slice(FIRST_REFERENCES))
    );
  }

  async #checkSilent(path: UpstreamPath): Promise<void> {
    if (!(await isReached(path)) && (await path.isReachedByOthers())) {
      this.onDetour(path);
    }
  }

  /** Upstreams of the same service, as the network may fail for the VMs of one service alone. */
  #pickReferences(path: UpstreamPath): readonly UpstreamPath[] {
    const others = this.#paths.filter((one) => one !== path && !one.isRefusing);
    const ofService = others.filter(({ target }) => target.service === path.target.service);
    const choice = ofService.length > 0 ? ofService : others;
    return this.#pickSome(choice, FIRST_REFERENCES + MORE_REFERENCES);
  }

  #pickSome(paths: readonly UpstreamPath[], count: number): readonly UpstreamPath[] {
    const rest = [...paths];
    const picked: UpstreamPath[] = [];
    while (picked.length < count && rest.length > 0) {
      const index = this.#options.random.nextInt(rest.length);
      picked.push(...rest.splice(index, 1));
    }
    return picked;
  }

  async #checkAll(first: UpstreamPath): Promise<void> {
    if (this.#isChecking) {
      return;
    }
    this.#isChecking = true;
    const others = this.#paths.filter((path) => path !== first && !path.isBlocked);
    const checked = this.#pickSome(others, MAX_CHECKED_PATHS);
    const lost = await Promise.all(
      checked.map(async (path) => {
        const isLost = !(await isReached(path));
        if (isLost) {
          await path.block();
        }
        return isLost && path.isBlocked;
      }),
    );
    this.#isChecking = false;
    this.#options.logger.warn(
      {
        event: 'upstreamsUnreachable',
        upstream: first.target.lifeId,
        checked: checked.length + 1,
        unreachable: lost.filter(Boolean).length + 1,
      },
      'upstreams are not reached directly; connections to them are relayed by other daemons',
    );
    this.#scheduleRecheck();
  }

  #scheduleRecheck(): void {
    clearTimeout(this.#recheckTimer);
    this.#recheckTimer = setTimeout(() => {
      void this.#recheck();
    }, RECHECK_MS).unref();
  }

  /** Tries one lost path; when it is back, the others probably are. */
  async #recheck(): Promise<void> {
    const blocked = this.#listBlocked();
    const path = pickRandom(blocked, this.#options.random);
    if (path === undefined || (await isReached(path))) {
      await Promise.all(this.#pickSome(this.#listBlocked(), MAX_CHECKED_PATHS).map(isReached));
      this.#options.logger.info(
        { event: 'upstreamsReachable', unreachable: this.blockedCount },
        'upstreams are reached directly again',
      );
    }
    if (this.blockedCount > 0) {
      this.#scheduleRecheck();
    }
  }

  get #paths(): readonly UpstreamPath[] {
    return [...this.#pathsByLife.values()];
  }

  #listBlocked(): readonly UpstreamPath[] {
    return this.#paths.filter(({ isBlocked }) => isBlocked);
  }
}
