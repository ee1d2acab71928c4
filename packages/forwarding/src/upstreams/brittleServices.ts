/**
 * Which services have brittle upstreams, by the answers that any daemon had. An upstream that has just
 * come is taken for as brittle as the others of its service.
 */

/** What an answer said, here or at another daemon. */
export interface BrittleReport {
  /** Requests a second that an upstream can turn away, from all daemons together. */
  readonly rejectionsPerS: number;
  readonly heardAtMs: number;
}

/** How an answer changed what is known of the service. */
export type BrittleChange = 'begun' | 'changed' | 'ended';

/** While any daemon hears the statement, all hear of it more often than this. */
const QUIET_MS = 2_500;

interface BrittleService {
  rejectionsPerS: number;
  /** When the number was last confirmed. */
  confirmedAtMs: number;
  /** When any daemon last heard the statement. */
  heardAtMs: number;
}

export class BrittleServices {
  readonly #services = new Map<string, BrittleService>();

  /** Undefined while the service's upstreams are not known to be brittle. */
  getRejectionsPerS(service: string): number | undefined {
    return this.#services.get(service)?.rejectionsPerS;
  }

  get names(): readonly string[] {
    return [...this.#services.keys()];
  }

  /** Of two numbers the lower one is believed; a higher one once the lower is no longer confirmed. */
  note(service: string, { rejectionsPerS, heardAtMs }: BrittleReport): BrittleChange | undefined {
    const known = this.#services.get(service);
    if (known === undefined) {
      const times = { confirmedAtMs: heardAtMs, heardAtMs };
      this.#services.set(service, { rejectionsPerS, ...times });
      return 'begun';
    }
    known.heardAtMs = Math.max(known.heardAtMs, heardAtMs);
    const isLower = rejectionsPerS < known.rejectionsPerS;
    const isLapsed = heardAtMs - known.confirmedAtMs > QUIET_MS;
    if (rejectionsPerS === known.rejectionsPerS) {
      known.confirmedAtMs = Math.max(known.confirmedAtMs, heardAtMs);
      return undefined;
    }
    if (!isLower && !isLapsed) {
      return undefined;
    }
    known.rejectionsPerS = rejectionsPerS;
    known.confirmedAtMs = heardAtMs;
    return 'changed';
  }

  /** An answer without the statement, to a request sent at that time, ends it if nobody heard it since. */
  noteWithout(service: string, sentAtMs: number): BrittleChange | undefined {
    const known = this.#services.get(service);
    if (known === undefined || sentAtMs - known.heardAtMs < QUIET_MS) {
      return undefined;
    }
    this.#services.delete(service);
    return 'ended';
  }
}
