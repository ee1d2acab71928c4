/** The platform's balancer: sends to daemons that say they are ready, and does not know sessions. */
import { createHash } from 'node:crypto';
import type { Deployment, RunningDaemon, WorkItem } from '@snipehaven/demo';
import { request } from 'undici';
import { BALANCER_POLL_MS, BALANCER_TIMEOUT_MS } from '../constants.js';
import { repeatFor } from './repeat.js';

const isReady = async (daemon: RunningDaemon): Promise<boolean> => {
  try {
    const answer = await request(`${daemon.operatorsUrl}/readyz`, {
      headersTimeout: BALANCER_TIMEOUT_MS,
      bodyTimeout: BALANCER_TIMEOUT_MS,
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
};

const hash = (text: string): number => createHash('sha256').update(text).digest().readUInt16BE(0);

export class Balancer {
  readonly #deployment: Deployment;

  readonly #dataCentres: readonly string[];

  readonly #ready = new Set<RunningDaemon>();

  constructor(deployment: Deployment, dataCentres: readonly string[]) {
    this.#deployment = deployment;
    this.#dataCentres = dataCentres;
  }

  /** Probes the daemons until aborted. */
  start(signal: AbortSignal): void {
    this.#deployment.daemons.forEach((daemon) => {
      void repeatFor(signal, BALANCER_POLL_MS, () => this.#probe(daemon));
    });
  }

  listReady(): readonly RunningDaemon[] {
    return [...this.#ready];
  }

  /**
   * Daemons for the request. A session by the caller's own id is kept in each data centre for itself, so
   * all of its requests go to one.
   */
  listTargets(item: WorkItem): readonly RunningDaemon[] {
    if (!item.hasOwnSessionId || item.session === undefined) {
      return this.listReady();
    }
    const place = this.#dataCentres[hash(item.session) % this.#dataCentres.length];
    return this.listReady().filter((daemon) => daemon.vm.dataCentre === place);
  }

  async #probe(daemon: RunningDaemon): Promise<void> {
    if (await isReady(daemon)) {
      this.#ready.add(daemon);
    } else {
      this.#ready.delete(daemon);
    }
  }
}
