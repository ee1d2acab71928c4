/** The main job: both sample deployments under load, a withdrawal, a killed daemon. */
import { writeFileSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { TableLedgerReader } from '@snipehaven/ledger';
import { HttpObjectStoreClient, HttpTableClient } from '@snipehaven/platform';
import type { EngineTruth, ServiceTruth, StandinAddresses } from '@snipehaven/standins';
import { Deployment, type RunningDaemon } from './deployment.js';
import { runSnipectl } from './runSnipectl.js';
import {
  createSampleStandins,
  createUpstreamManifests,
  dearestPrice,
  isAllowedBySample,
  sampleDataCentres,
} from './sampleDeployment.js';
import { readTruth } from './standinsClient.js';
import { getFinalEnd } from './workload/callRecord.js';
import { Callers } from './workload/callers.js';
import { judgeRun, type Verdict, type WithdrawalFact } from './workload/oracle.js';
import { createWorkload } from './workload/workItems.js';

export interface DemoOptions {
  readonly seed: number;
  readonly requests: number;
  readonly folder: string;
  readonly say: (line: string) => void;
}

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../../..');
const WITHDRAWN_VERSION = 'analyst@1';
/** A withdrawal must be in force everywhere so soon after the command has returned. */
const WITHDRAWAL_GRACE_MS = 1_000;
const PARALLEL_CALLERS = 24;
const MAX_ATTEMPTS = 12;
const ATTEMPT_TIMEOUT_MS = 20_000;
const PAUSE_MS = 30;
const BILLS_TIMEOUT_MS = 60_000;
const BILLS_POLL_MS = 1_000;
const REPLACE_AFTER_MS = 1_500;

const wait = (delayMs: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, delayMs);
  });

/** Reads the folded ledger as an auditor would: from the platform alone. */
export const readLedger = (
  addresses: StandinAddresses,
): ReturnType<TableLedgerReader['listEntries']> =>
  new TableLedgerReader({
    table: new HttpTableClient(addresses.tableUrl ?? ''),
    objectStore: new HttpObjectStoreClient(addresses.objectStoreUrl ?? ''),
  }).listEntries({});

export class DemoRun {
  readonly deployment: Deployment;

  readonly #options: DemoOptions;

  readonly #withdrawals: WithdrawalFact[] = [];

  readonly #disturbances: Promise<void>[] = [];

  constructor(options: DemoOptions) {
    this.#options = options;
    this.deployment = new Deployment({
      folder: options.folder,
      dataCentres: sampleDataCentres,
      daemonsPerDataCentre: 1,
      standins: createSampleStandins(options.seed),
    });
  }

  /** Starts the processes and applies the sample configuration. */
  async start(): Promise<void> {
    const { say, folder } = this.#options;
    await this.deployment.start();
    say(`${this.deployment.daemons.length} daemons and the stand-ins run`);
    const upstreams = join(folder, 'upstreams.json');
    const resources = createUpstreamManifests(this.deployment.addresses);
    writeFileSync(upstreams, JSON.stringify({ resources }));
    const files = [
      join(ROOT, 'config/kowalczyk.toml'),
      join(ROOT, 'config/caprock.toml'),
      upstreams,
    ];
    await this.#snipectl(['apply', ...files.flatMap((file) => ['-f', file]), '--wait', 'inForce']);
    await this.deployment.waitUntilAllReady();
    say('the sample configuration is in force everywhere');
  }

  /** Sends the load with its disturbances; resolves with the verdict. */
  async run(): Promise<Verdict> {
    const { seed, requests, say } = this.#options;
    const callers = new Callers({
      seed,
      listTargets: () => this.#listReady(),
      parallel: PARALLEL_CALLERS,
      maxAttempts: MAX_ATTEMPTS,
      attemptTimeoutMs: ATTEMPT_TIMEOUT_MS,
      pauseMs: PAUSE_MS,
      onDone: (count) => this.#disturb(count, requests),
    });
    const records = await callers.run(createWorkload(seed, requests));
    await Promise.all(this.#disturbances);
    say(`${records.length} requests have ended; the daemons flush their ledgers`);
    return this.#judge(records);
  }

  /** The bills of a killed daemon come when its peer has adopted them. */
  async #waitForBills(records: Callers['records']): Promise<void> {
    const answered = records.filter((record) => getFinalEnd(record)?.kind === 'answered');
    const giveUpAtMs = Date.now() + BILLS_TIMEOUT_MS;
    while (Date.now() < giveUpAtMs) {
      const entries = await readLedger(this.deployment.addresses);
      const billed = new Set(entries.map((entry) => entry.requestKey));
      if (answered.every((record) => billed.has(record.item.key))) {
        return;
      }
      await wait(BILLS_POLL_MS);
    }
    this.#options.say(`some bills are missing after ${BILLS_TIMEOUT_MS} ms`);
  }

  async #judge(records: Callers['records']): Promise<Verdict> {
    const { addresses } = this.deployment;
    await this.#waitForBills(records);
    await this.deployment.stopDaemons();
    const read = <Truth>(list: readonly { readonly url: string }[]): Promise<Truth[]> =>
      Promise.all(list.map(({ url }) => readTruth<Truth>(url)));
    return judgeRun({
      records,
      engines: await read<EngineTruth>(addresses.engines),
      services: await read<ServiceTruth>(addresses.services),
      entries: await readLedger(addresses),
      withdrawals: this.#withdrawals,
      isAllowed: isAllowedBySample,
      dearest: dearestPrice,
    });
  }

  #listReady(): readonly RunningDaemon[] {
    return this.deployment.daemons.filter((daemon) => daemon.process.isRunning);
  }

  #disturb(count: number, total: number): void {
    if (count === Math.floor(total / 3)) {
      this.#disturbances.push(this.#withdraw());
    }
    if (count === Math.floor((2 * total) / 3)) {
      this.#disturbances.push(this.#killAndReplace());
    }
  }

  async #withdraw(): Promise<void> {
    await this.#snipectl(['withdraw', WITHDRAWN_VERSION, '--reason', 'demo', '--yes']);
    const inForceAtMs = Date.now() + WITHDRAWAL_GRACE_MS;
    this.#withdrawals.push({ version: WITHDRAWN_VERSION, inForceAtMs });
    this.#options.say(`${WITHDRAWN_VERSION} is withdrawn in mid-run`);
  }

  async #killAndReplace(): Promise<void> {
    const daemon = this.deployment.daemons[1] as RunningDaemon;
    daemon.process.signal('SIGKILL');
    this.#options.say(`${daemon.vm.name} is killed`);
    await wait(REPLACE_AFTER_MS);
    await this.deployment.replaceDaemon(daemon);
    await this.deployment.waitUntilReady(daemon);
    this.#options.say(`${daemon.vm.name} is replaced`);
  }

  async #snipectl(args: readonly string[]): Promise<void> {
    const urls = this.deployment.daemons.map((daemon) => daemon.operatorsUrl);
    const result = await runSnipectl(urls, args);
    if (result.code !== 0) {
      throw new Error(`snipectl ${args.join(' ')} ended with ${result.code}: ${result.output}`);
    }
  }
}
