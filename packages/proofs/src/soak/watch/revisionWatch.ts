/** Sees that no daemon ever falls back to an earlier configuration. */
import { readTruth, type Deployment, type RunningDaemon } from '@snipehaven/demo';
import { HEAD_GRACE_MS, HEAD_POLL_MS, STATUS_POLL_MS } from '../constants.js';
import type { SoakFacts } from '../soakFacts.js';
import { readStatus } from './daemonStatus.js';
import { repeatFor } from './repeat.js';

interface TableHead {
  readonly rows: readonly { readonly key: string; readonly value: { readonly revision: number } }[];
}

interface HeadReading {
  readonly atMs: number;
  readonly revision: number;
}

const HEAD_KEY = 'configurationHead';

export class RevisionWatch {
  readonly #deployment: Deployment;

  readonly #facts: SoakFacts;

  /** Highest revision seen of each process. */
  readonly #revisionsByPid = new Map<number, number>();

  readonly #heads: HeadReading[] = [];

  constructor(deployment: Deployment, facts: SoakFacts) {
    this.#deployment = deployment;
    this.#facts = facts;
  }

  /** Watches until aborted. */
  start(signal: AbortSignal): void {
    void repeatFor(signal, HEAD_POLL_MS, () => this.#readHead());
    this.#deployment.daemons.forEach((daemon) => {
      void repeatFor(signal, STATUS_POLL_MS, () => this.#check(daemon));
    });
  }

  /** Judges a daemon that has just become ready after it was started at the given time. */
  async checkReady(daemon: RunningDaemon, startedAtMs: number): Promise<void> {
    const floor = this.#getHead(Date.now() - HEAD_GRACE_MS);
    const status = await readStatus(daemon);
    const wasCut = this.#facts.wasCutFromPlatform(daemon.vm.dataCentre, startedAtMs);
    if (status && status.revision < floor && !wasCut) {
      this.#report(daemon, `ready at revision ${status.revision}, the platform held ${floor}`);
    }
  }

  async #check(daemon: RunningDaemon): Promise<void> {
    const { pid } = daemon.process;
    const status = await readStatus(daemon);
    if (status === undefined || daemon.process.pid !== pid) {
      return;
    }
    const highest = this.#revisionsByPid.get(pid) ?? 0;
    if (status.revision < highest) {
      this.#report(daemon, `fell from revision ${highest} to ${status.revision}`);
    }
    this.#revisionsByPid.set(pid, Math.max(highest, status.revision));
  }

  #report(daemon: RunningDaemon, what: string): void {
    this.#facts.configReverts.push(`${daemon.vm.name} (pid ${daemon.process.pid}) ${what}`);
  }

  async #readHead(): Promise<void> {
    const atMs = Date.now();
    const { tableUrl = '' } = this.#deployment.addresses;
    const truth = await readTruth<TableHead>(tableUrl, `prefix=${HEAD_KEY}`);
    const head = truth.rows.find(({ key }) => key === HEAD_KEY);
    this.#heads.push({ atMs, revision: head?.value.revision ?? 0 });
  }

  /** The platform's head revision at a time. */
  #getHead(atMs: number): number {
    return this.#heads.findLast((reading) => reading.atMs <= atMs)?.revision ?? 0;
  }
}
