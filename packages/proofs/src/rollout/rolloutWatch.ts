/** Watches the roll-out as operators see it at each daemon, and who holds its lease in the table. */
import { callOperatorApi, readTruth, type Deployment, type RunningDaemon } from '@snipehaven/demo';
import { sleep } from '@snipehaven/common';
import { POLL_MS, POLL_TIMEOUT_MS, ROLLOUT_NAME } from './constants.js';

/** The part of a daemon's report that the proof looks at. */
export interface SeenRollout {
  readonly phase: string;
  readonly stage: number;
  readonly exposedCount: number;
  readonly reason: string;
}

/** A holder of the lease, as the table said it. */
export interface SeenHolder {
  readonly incarnation: string;
  readonly fence: number;
  readonly atMs: number;
}

interface LeaseRows {
  readonly rows: readonly {
    readonly key: string;
    readonly value: { readonly holder: string | null; readonly fence: number };
  }[];
}

const LEASE_KEY = `lease/rollout/${ROLLOUT_NAME}`;

const readRollout = async (daemon: RunningDaemon): Promise<SeenRollout | undefined> => {
  const path = '/api/rollouts';
  const url = daemon.operatorsUrl;
  const { body } = await callOperatorApi(url, 'GET', path, undefined, POLL_TIMEOUT_MS);
  const { rollouts = [] } = body as { readonly rollouts?: (SeenRollout & { name: string })[] };
  return rollouts.find(({ name }) => name === ROLLOUT_NAME);
};

export class RolloutWatch {
  readonly holders: SeenHolder[] = [];

  readonly #deployment: Deployment;

  /** Absent for a daemon that did not answer last time. */
  readonly #seen = new Map<string, SeenRollout>();

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  /** Polls until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await Promise.all([
        this.#readHolder().catch(() => undefined),
        ...this.#deployment.daemons.map((daemon) => this.#read(daemon)),
      ]);
      await sleep(POLL_MS, signal).catch(() => undefined);
    }
  }

  get reports(): readonly SeenRollout[] {
    return [...this.#seen.values()];
  }

  /** Whether all daemons that run report the phase. */
  isEverywhere(phase: string): boolean {
    const running = this.#deployment.daemons.filter(({ process }) => process.isRunning);
    return running.every(({ vm }) => this.#seen.get(vm.name)?.phase === phase);
  }

  isAnywhere(phase: string): boolean {
    return this.reports.some((report) => report.phase === phase);
  }

  /** The daemon that holds the lease, told by its incarnation. */
  findHolder(): RunningDaemon | undefined {
    const incarnation = this.holders.at(-1)?.incarnation ?? '';
    return this.#deployment.daemons.find(({ vm }) => incarnation.startsWith(vm.name));
  }

  async #read(daemon: RunningDaemon): Promise<void> {
    const report = await readRollout(daemon).catch(() => undefined);
    if (report === undefined) {
      this.#seen.delete(daemon.vm.name);
    } else {
      this.#seen.set(daemon.vm.name, report);
    }
  }

  async #readHolder(): Promise<void> {
    const { tableUrl = '' } = this.#deployment.addresses;
    const { rows } = await readTruth<LeaseRows>(tableUrl, `prefix=${LEASE_KEY}`);
    const lease = rows.find(({ key }) => key === LEASE_KEY)?.value;
    if (lease?.holder && this.holders.at(-1)?.fence !== lease.fence) {
      this.holders.push({ incarnation: lease.holder, fence: lease.fence, atMs: Date.now() });
    }
  }
}
