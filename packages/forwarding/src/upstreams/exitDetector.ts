/**
 * Distinguishes an upstream whose process exited from one that closed a connection. Both look alike
 * to a request: its connection closes before the response is complete. Only after an exit does the
 * port refuse connections, so one probe connection is opened, however many requests were lost.
 */
import type { RequestDigest } from '@snipehaven/common';
import type { ProbeOutcome } from '../exchange/index.js';

/** A request of this daemon that is in flight at an upstream. */
export interface InFlightRequest {
  readonly attemptId: string;
  readonly digest: RequestDigest;
  /** Digests of the parts of its prompt that other requests may share. */
  readonly partDigests: readonly RequestDigest[];
  readonly sentAtMs: number;
  /** When the first bytes of its response's body arrived; undefined before. */
  readonly beganAtMs: number | undefined;
  /** Called when requests of this digest are held back. */
  onHeld(): void;
  /** Called when direct connections to the upstream carry nothing any more. */
  onPathLost(): void;
}

/** `unknown`: the probe got no reply, as during a network partition. */
export type ExitVerdict = 'ended' | 'listening' | 'unknown';

const verdicts: Readonly<Record<ProbeOutcome, ExitVerdict>> = {
  refused: 'ended',
  listening: 'listening',
  silent: 'unknown',
};

export interface ExitDetectorOptions {
  probe(): Promise<ProbeOutcome>;
  /** Called once per exit, with all requests that were in flight at the upstream. */
  onExit(lost: readonly InFlightRequest[]): void;
  /** Called when an upstream reported as exited turns out to be alive. */
  onAlive(): void;
}

export class ExitDetector {
  readonly #options: ExitDetectorOptions;

  readonly #inFlight = new Set<InFlightRequest>();

  #lost: InFlightRequest[] = [];

  #pendingProbe: Promise<ExitVerdict> | undefined;

  #exitedAtMs: number | undefined;

  constructor(options: ExitDetectorOptions) {
    this.#options = options;
  }

  /** Undefined while the process is not known to have exited. */
  get exitedAtMs(): number | undefined {
    return this.#exitedAtMs;
  }

  get inFlight(): Iterable<InFlightRequest> {
    return this.#inFlight;
  }

  /**
   * Called when the upstream starts to respond. A response to a request sent after the presumed
   * exit proves that the process is alive.
   */
  onResponseStarted({ sentAtMs }: InFlightRequest): void {
    if (this.#exitedAtMs !== undefined && sentAtMs > this.#exitedAtMs) {
      this.#exitedAtMs = undefined;
      this.#options.onAlive();
    }
  }

  addRequest(request: InFlightRequest): void {
    this.#inFlight.add(request);
  }

  removeRequest(request: InFlightRequest): void {
    this.#inFlight.delete(request);
  }

  /**
   * Called when the request's connection closed before the response was complete. Resolves with the
   * result of the probe.
   */
  onConnectionLost(request: InFlightRequest): Promise<ExitVerdict> {
    if (this.#exitedAtMs === undefined) {
      this.#lost.push(request);
    }
    return this.checkProcess();
  }

  /** Probes the process unless it is known to have exited. If it has, its requests in flight are lost. */
  checkProcess(): Promise<ExitVerdict> {
    if (this.#exitedAtMs !== undefined) {
      return Promise.resolve('ended');
    }
    this.#pendingProbe ??= this.#probeProcess();
    return this.#pendingProbe;
  }

  async #probeProcess(): Promise<ExitVerdict> {
    const verdict = verdicts[await this.#options.probe()];
    const lost = [...this.#lost, ...this.#inFlight];
    this.#pendingProbe = undefined;
    this.#lost = [];
    if (verdict === 'ended') {
      this.#exitedAtMs = performance.now();
      this.#options.onExit(lost);
    }
    return verdict;
  }
}
