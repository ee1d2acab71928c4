/** The main job: both sample deployments under load, a withdrawal, a killed daemon. */
import { applySample, operate } from './applySample.js';
import { readLedger, waitForBills } from './bills.js';
import { Deployment, type RunningDaemon } from './deployment.js';
import {
  createSampleStandins,
  dearestPrice,
  isAllowedBySample,
  sampleDataCentres,
} from './sampleDeployment.js';
import {
  judgeRollout,
  sampleCandidate,
  startSampleRollout,
  waitForPhase,
  type RolloutOutcome,
} from './sampleRollout.js';
import { readUpstreamsTruth } from './standinsClient.js';
import { Callers } from './workload/callers.js';
import { judgeRun, type Verdict, type WithdrawalFact } from './workload/oracle.js';
import { createWorkload } from './workload/workItems.js';

export interface DemoOptions {
  readonly seed: number;
  readonly requests: number;
  readonly folder: string;
  readonly say: (line: string) => void;
}

const WITHDRAWN_VERSION = 'analyst@1';
/** A withdrawal must be in force everywhere so soon after the command has returned. */
const WITHDRAWAL_GRACE_MS = 1_000;
const PARALLEL_CALLERS = 24;
const MAX_ATTEMPTS = 12;
const ATTEMPT_TIMEOUT_MS = 20_000;
const PAUSE_MS = 30;
const REPLACE_AFTER_MS = 1_500;

const wait = (delayMs: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, delayMs);
  });

/** What the demo found, the roll-out included. */
export type DemoVerdict = Verdict & RolloutOutcome;

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
      standins: createSampleStandins(options.seed, [sampleCandidate]),
    });
  }

  /** Starts the processes and applies the sample configuration. */
  async start(): Promise<void> {
    const { say, folder } = this.#options;
    await this.deployment.start();
    say(`${this.deployment.daemons.length} daemons and the stand-ins run`);
    await applySample(this.deployment, folder, [sampleCandidate]);
    say('the sample configuration is in force everywhere');
    await startSampleRollout(this.deployment);
    say(`the roll-out of ${sampleCandidate.version}, a grossly bad version, has begun`);
  }

  /** Sends the load with its disturbances; resolves with the verdict. */
  async run(): Promise<DemoVerdict> {
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

  async #judge(records: Callers['records']): Promise<DemoVerdict> {
    const { addresses } = this.deployment;
    if (!(await waitForBills(addresses, records))) {
      this.#options.say('some bills are missing');
    }
    const phase = await waitForPhase(this.deployment, 'quarantined');
    await this.deployment.stopDaemons();
    const truth = await readUpstreamsTruth(addresses);
    const verdict = judgeRun({
      records,
      ...truth,
      entries: await readLedger(addresses),
      withdrawals: this.#withdrawals,
      isAllowed: isAllowedBySample,
      dearest: dearestPrice,
    });
    return { ...verdict, ...judgeRollout(phase, records, truth.engines) };
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
    await operate(this.deployment, ['withdraw', WITHDRAWN_VERSION, '--reason', 'demo', '--yes']);
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
}
