/** Core of a plain service beside the engines; it records every run of every call. */
import { createHash } from 'node:crypto';
import { createRandom, sleep, type Random } from '@snipehaven/common';
import { LOCAL_CLIENT, PREFIX_DIGEST_LENGTH } from './constants.js';
import { NotStartedError, RunFailedError, StaleFenceError } from './errors.js';
import { FaultGate, type GateTruth } from './faultGate.js';

export interface ServiceFaults {
  /** All calls are refused with `x-not-started`. */
  readonly isRefusing: boolean;
  /** The share of calls refused with `x-not-started`. */
  readonly refuseRate: number;
  /** The share of calls that answer 500 although they ran. */
  readonly failRate: number;
}

export interface ServiceOptions {
  /** How long a call takes. */
  readonly workMs?: number | undefined;
  readonly maxRunning?: number | undefined;
  readonly checksFences?: boolean | undefined;
  /** A leaving service refuses new calls; otherwise it runs and records them. */
  readonly refusesWhenLeaving?: boolean | undefined;
  /** Paths that start with one of these must not run twice for one request key. */
  readonly onceOnlyPaths?: readonly string[] | undefined;
  readonly recordsRuns?: boolean | undefined;
  readonly random?: Random | undefined;
}

export interface ServiceRequest {
  readonly method: string;
  readonly path: string;
  readonly body: string | Uint8Array;
  readonly requestKey?: string | undefined;
  readonly fence?: number | undefined;
}

/** The answer names what it answers, so that a caller can check it. */
export interface ServiceReply {
  readonly method: string;
  readonly path: string;
  readonly requestKey: string | null;
  readonly bodyDigest: string;
  /** How many calls with this key ran before and with this one; 0 without a key. */
  readonly run: number;
}

/** One run of a call. */
export interface ServiceRun {
  readonly method: string;
  readonly path: string;
  readonly requestKey?: string | undefined;
  readonly bodyDigest: string;
  readonly fence?: number | undefined;
  readonly atMs: number;
  /** How long after the service began to leave this ran. */
  readonly startedAfterLeavingMs?: number | undefined;
}

export interface ServiceTruth {
  readonly gate: GateTruth;
  readonly started: number;
  readonly refused: number;
  readonly failed: number;
  readonly staleFences: number;
  readonly startedWhileLeaving: number;
  /** How often each request key ran. */
  readonly runsByKey: Readonly<Record<string, number>>;
  /** Keys that ran more than once on a path that must not be repeated. */
  readonly repeatedKeys: readonly string[];
  readonly runs: readonly ServiceRun[];
}

export const NO_SERVICE_FAULTS: ServiceFaults = { isRefusing: false, refuseRate: 0, failRate: 0 };

const DEFAULT_MAX_RUNNING = 64;
const REFUSED_RETRY_AFTER_MS = 1000;

/** Names a call's body; part of the reply. */
export const getBodyDigest = (body: string | Uint8Array): string =>
  createHash('sha256').update(body).digest('hex').slice(0, PREFIX_DIGEST_LENGTH);

/** A service, usable in-process; calls pass the fault gate. */
export class ServiceCore {
  readonly gate: FaultGate;

  readonly #random: Random;

  readonly #checksFences: boolean;

  readonly #refusesWhenLeaving: boolean;

  readonly #onceOnlyPaths: readonly string[];

  readonly #recordsRuns: boolean;

  readonly #runs: ServiceRun[] = [];

  readonly #runsByKey = new Map<string, number>();

  readonly #repeatedKeys = new Set<string>();

  #workMs: number;

  #maxRunning: number;

  #faults = NO_SERVICE_FAULTS;

  #running = 0;

  #highestFence = 0;

  #leavingSinceMs: number | undefined;

  #started = 0;

  #refused = 0;

  #failed = 0;

  #staleFences = 0;

  #startedWhileLeaving = 0;

  constructor(options: ServiceOptions = {}) {
    this.#random = options.random ?? createRandom(1);
    this.gate = new FaultGate(this.#random);
    this.#workMs = options.workMs ?? 0;
    this.#maxRunning = options.maxRunning ?? DEFAULT_MAX_RUNNING;
    this.#checksFences = options.checksFences ?? false;
    this.#refusesWhenLeaving = options.refusesWhenLeaving ?? false;
    this.#onceOnlyPaths = options.onceOnlyPaths ?? [];
    this.#recordsRuns = options.recordsRuns ?? true;
  }

  /**
   * Runs a call. Throws `NotStartedError` or `StaleFenceError` when it did not run, and
   * `RunFailedError` when it did.
   */
  call(request: ServiceRequest, client: string = LOCAL_CLIENT): Promise<ServiceReply> {
    return this.gate.run(client, () => this.#run(request));
  }

  setFaults(faults: Partial<ServiceFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  clearFaults(): void {
    this.#faults = NO_SERVICE_FAULTS;
  }

  setSizes(sizes: { readonly workMs?: number; readonly maxRunning?: number }): void {
    this.#workMs = sizes.workMs ?? this.#workMs;
    this.#maxRunning = sizes.maxRunning ?? this.#maxRunning;
  }

  setLeaving(isLeaving: boolean): void {
    this.#leavingSinceMs = isLeaving ? (this.#leavingSinceMs ?? Date.now()) : undefined;
  }

  getTruth(): ServiceTruth {
    return {
      gate: this.gate.getTruth(),
      started: this.#started,
      refused: this.#refused,
      failed: this.#failed,
      staleFences: this.#staleFences,
      startedWhileLeaving: this.#startedWhileLeaving,
      runsByKey: Object.fromEntries(this.#runsByKey),
      repeatedKeys: [...this.#repeatedKeys],
      runs: this.#runs,
    };
  }

  async #run(request: ServiceRequest): Promise<ServiceReply> {
    this.#checkFence(request.fence);
    this.#checkAdmission();
    const bodyDigest = getBodyDigest(request.body);
    const run = this.#record(request, bodyDigest);
    this.#running += 1;
    if (this.#workMs > 0) {
      await sleep(this.#workMs);
    }
    this.#running -= 1;
    if (this.#isHit(this.#faults.failRate)) {
      this.#failed += 1;
      throw new RunFailedError('failed after the run');
    }
    const { method, path, requestKey = null } = request;
    return { method, path, requestKey, bodyDigest, run };
  }

  #checkFence(fence: number | undefined): void {
    if (fence === undefined) {
      return;
    }
    if (this.#checksFences && fence < this.#highestFence) {
      this.#staleFences += 1;
      throw new StaleFenceError(this.#highestFence);
    }
    this.#highestFence = Math.max(this.#highestFence, fence);
  }

  #checkAdmission(): void {
    const isRefused =
      this.#running >= this.#maxRunning ||
      (this.#leavingSinceMs !== undefined && this.#refusesWhenLeaving) ||
      this.#faults.isRefusing ||
      this.#isHit(this.#faults.refuseRate);
    if (isRefused) {
      this.#refused += 1;
      throw new NotStartedError('no capacity', 503, REFUSED_RETRY_AFTER_MS);
    }
  }

  #record(request: ServiceRequest, bodyDigest: string): number {
    const { method, path, requestKey, fence } = request;
    const atMs = Date.now();
    const leavingSinceMs = this.#leavingSinceMs;
    this.#started += 1;
    this.#startedWhileLeaving += leavingSinceMs === undefined ? 0 : 1;
    if (this.#recordsRuns) {
      const startedAfterLeavingMs =
        leavingSinceMs === undefined ? undefined : atMs - leavingSinceMs;
      this.#runs.push({ method, path, requestKey, bodyDigest, fence, atMs, startedAfterLeavingMs });
    }
    return requestKey === undefined ? 0 : this.#countRun(requestKey, path);
  }

  #countRun(requestKey: string, path: string): number {
    const run = (this.#runsByKey.get(requestKey) ?? 0) + 1;
    this.#runsByKey.set(requestKey, run);
    if (run > 1 && this.#onceOnlyPaths.some((prefix) => path.startsWith(prefix))) {
      this.#repeatedKeys.add(requestKey);
    }
    return run;
  }

  #isHit(rate: number): boolean {
    return rate > 0 && this.#random.next() < rate;
  }
}
