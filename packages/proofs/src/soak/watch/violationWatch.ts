/** What the daemons themselves report: broken promises over all incarnations, and how they stopped. */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { demoSecrets, type Deployment, type RunningDaemon } from '@snipehaven/demo';
import { request } from 'undici';
import { METRICS_POLL_MS, STATUS_TIMEOUT_MS } from '../constants.js';
import { repeatFor } from './repeat.js';

const METRIC = /^snipehaven_invariant_violations_total\{[^}]*\} (\d+)/gm;
const LOG_MESSAGE = 'a promise is broken';
const STOPPED_MESSAGE = '"msg":"stopped"';

/** What a daemon says that it left undone at its graceful stop. */
export interface StopReport {
  readonly unfinishedRequests: number;
  readonly unflushedRecords: number;
}

const readMetrics = async (daemon: RunningDaemon): Promise<string> => {
  const answer = await request(`${daemon.operatorsUrl}/metrics`, {
    headers: { authorization: `Bearer ${demoSecrets.operatorToken}` },
    headersTimeout: STATUS_TIMEOUT_MS,
    bodyTimeout: STATUS_TIMEOUT_MS,
  });
  return answer.body.text();
};

const sumViolations = (metrics: string): number =>
  [...metrics.matchAll(METRIC)].reduce((sum, match) => sum + Number(match[1]), 0);

export class ViolationWatch {
  readonly #deployment: Deployment;

  readonly #folder: string;

  /** Highest count seen of each process. */
  readonly #countsByPid = new Map<number, number>();

  constructor(deployment: Deployment, folder: string) {
    this.#deployment = deployment;
    this.#folder = folder;
  }

  /** Reads the metrics of all daemons until aborted. */
  start(signal: AbortSignal): void {
    this.#deployment.daemons.forEach((daemon) => {
      void repeatFor(signal, METRICS_POLL_MS, () => this.read(daemon));
    });
  }

  /** Reads once; the last chance just before a process is ended. */
  async read(daemon: RunningDaemon): Promise<void> {
    const { pid } = daemon.process;
    const count = sumViolations(await readMetrics(daemon).catch(() => ''));
    this.#countsByPid.set(pid, Math.max(count, this.#countsByPid.get(pid) ?? 0));
  }

  /** By the metrics. */
  getCount(): number {
    return [...this.#countsByPid.values()].reduce((sum, count) => sum + count, 0);
  }

  /** By the logs, which a killed process leaves behind. */
  listLogged(): readonly string[] {
    return this.#deployment.vms.flatMap(({ name }) =>
      this.#readLog(name).filter((line) => line.includes(LOG_MESSAGE)),
    );
  }

  /** The report of the VM's last graceful stop; undefined: there is none. */
  readStopReport(vm: string): StopReport | undefined {
    const line = this.#readLog(vm).findLast((entry) => entry.includes(STOPPED_MESSAGE));
    return line === undefined ? undefined : (JSON.parse(line) as StopReport);
  }

  #readLog(vm: string): readonly string[] {
    return readFileSync(join(this.#folder, `${vm}.log`), 'utf8').split('\n');
  }
}
