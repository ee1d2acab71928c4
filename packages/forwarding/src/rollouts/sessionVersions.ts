/** Remembers the software version that each session last ran on at this daemon, per service. */
import { forgetOldest } from '@snipehaven/common';

/** A session at one service; the same session may use several services. */
export interface SessionOfService {
  readonly service: string;
  readonly session: string;
}

export interface SessionRun {
  readonly softwareVersion: string;
  /** Last time that it was seen running, on `performance.now()`. */
  readonly atMs: number;
}

/** A change of a session from one version to another. */
export interface SessionMove extends SessionOfService {
  readonly from: string;
  readonly to: string;
  readonly sinceMs: number;
}

const MAX_SESSIONS = 20_000;

const getKey = ({ service, session }: SessionOfService): string => `${service}|${session}`;

export class SessionVersions {
  readonly #ttlMs: number;

  readonly #runs = new Map<string, SessionRun>();

  /**
   * `ttlMs`: time after the end of a request within which the next one belongs to the same session.
   */
  constructor(ttlMs: number) {
    this.#ttlMs = ttlMs;
  }

  find(session: SessionOfService): SessionRun | undefined {
    const run = this.#runs.get(getKey(session));
    return run && performance.now() - run.atMs < this.#ttlMs ? run : undefined;
  }

  /** Time in ms until the session expires unless it runs again. */
  getRemainingMs({ atMs }: SessionRun): number {
    return Math.max(0, this.#ttlMs - (performance.now() - atMs));
  }

  /**
   * To be called when a response begins and when it ends. Returns the change of version, if there
   * is one.
   */
  recordRun(session: SessionOfService, softwareVersion: string): SessionMove | undefined {
    const last = this.find(session);
    const nowMs = performance.now();
    const key = getKey(session);
    this.#runs.delete(key);
    this.#runs.set(key, { softwareVersion, atMs: nowMs });
    forgetOldest(this.#runs, MAX_SESSIONS);
    return last === undefined || last.softwareVersion === softwareVersion
      ? undefined
      : { ...session, from: last.softwareVersion, to: softwareVersion, sinceMs: nowMs - last.atMs };
  }
}
