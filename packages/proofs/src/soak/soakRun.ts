/** One soak run: deployment, load, disturbances, healing, judgement. */
import { setMaxListeners } from 'node:events';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createRandom, sleep } from '@snipehaven/common';
import {
  applySample,
  Callers,
  createSampleStandins,
  createWorkload,
  dearestPrice,
  Deployment,
  isAllowedBySample,
  judgeRun,
  readLedger,
  readUpstreamsTruth,
  sampleDataCentres,
  waitForBills,
  type CallRecord,
  type EntryVm,
  type WorkItem,
} from '@snipehaven/demo';
import {
  ATTEMPT_TIMEOUT_MS,
  BALANCER_DELAY_MS,
  CALLER_PAUSE_MS,
  DAEMONS_PER_DATA_CENTRE,
  MAX_ATTEMPTS,
  MAX_REQUESTS_PER_SECOND,
  PARALLEL_CALLERS,
  QUIET_MS,
  REDIRECTS_VARIABLE,
} from './constants.js';
import { Lanes } from './lanes.js';
import { ForwardedNetwork, listTargets } from './network/forwardedNetwork.js';
import { judgeAttempts } from './report/judgeAttempts.js';
import { judgeLeaving } from './report/judgeLeaving.js';
import type { SoakOutcome } from './report/sayReport.js';
import { SoakFacts } from './soakFacts.js';
import type { Say, SentAttempt, SoakWorld } from './types.js';
import { Balancer } from './watch/balancer.js';
import { ConfigurationJournal } from './watch/configurationJournal.js';
import { InForceProbe } from './watch/inForceProbe.js';
import { RevisionWatch } from './watch/revisionWatch.js';
import { ViolationWatch } from './watch/violationWatch.js';

export interface SoakOptions {
  readonly seed: number;
  readonly minutes: number;
  readonly folder: string;
  readonly say: Say;
}

const MS_PER_MINUTE = 60_000;
const SECONDS_PER_MINUTE = 60;
const PROBE_SEED_STEP = 104_729;
const FORWARDERS_HOST = '240.1';
const HEALED_MS = 3_000;
const REDIRECT_SCRIPT = fileURLToPath(new URL('network/redirectConnections.js', import.meta.url));

/** Sample upstreams carry their data centre in their name. */
const placeOfUpstream = (name: string): string =>
  sampleDataCentres.find((dataCentre) => name.includes(dataCentre)) ?? '';

export class SoakRun {
  readonly #options: SoakOptions;

  readonly #deployment: Deployment;

  readonly #facts = new SoakFacts();

  readonly #attempts: SentAttempt[] = [];

  readonly #watching = new AbortController();

  readonly #balancer: Balancer;

  readonly #violations: ViolationWatch;

  #network: ForwardedNetwork | undefined;

  constructor(options: SoakOptions) {
    const { seed, folder } = options;
    this.#options = options;
    this.#deployment = new Deployment({
      folder,
      dataCentres: sampleDataCentres,
      daemonsPerDataCentre: DAEMONS_PER_DATA_CENTRE,
      standins: createSampleStandins(seed),
      balancerDelayMs: BALANCER_DELAY_MS,
      daemonNodeArgs: ['--import', REDIRECT_SCRIPT],
      getDaemonEnvironment: (vm) => this.#getEnvironment(vm),
    });
    this.#balancer = new Balancer(this.#deployment, sampleDataCentres);
    this.#violations = new ViolationWatch(this.#deployment, folder);
  }

  /** Starts the processes and applies the sample configuration. */
  async start(): Promise<void> {
    const deployment = this.#deployment;
    const addresses = await deployment.startStandins();
    const targets = listTargets(deployment.vms, addresses, placeOfUpstream);
    const address = `${deployment.network}.${FORWARDERS_HOST}`;
    this.#network = await ForwardedNetwork.start(address, sampleDataCentres, targets);
    await deployment.startDaemons();
    await applySample(deployment, this.#options.folder);
    this.#options.say(`${deployment.daemons.length} daemons serve the sample configuration`);
  }

  /** Sends the load under disturbances and judges what came of it. */
  async run(): Promise<SoakOutcome> {
    const { seed, minutes, say } = this.#options;
    const world = this.#createWorld();
    const probe = new InForceProbe(world, createRandom(seed + PROBE_SEED_STEP));
    const probing = new AbortController();
    const { signal } = this.#watching;
    setMaxListeners(0, signal);
    this.#balancer.start(signal);
    world.revisions.start(signal);
    this.#violations.start(signal);
    await sleep(HEALED_MS);
    const probed = probe.run(probing.signal);
    const endAtMs = Date.now() + minutes * MS_PER_MINUTE;
    const disturbed = this.#disturb(world, endAtMs);
    const records = await this.#sendLoad(endAtMs, disturbed);
    await disturbed;
    probing.abort();
    await probed;
    say(`${records.length} requests have ended, all is healed`);
    return this.#judge(world, records, probe);
  }

  async stop(): Promise<void> {
    this.#watching.abort();
    this.#deployment.daemons.forEach((daemon) => daemon.process.signal('SIGCONT'));
    await this.#deployment.stop();
    await this.#network?.stop();
  }

  async #disturb(world: SoakWorld, endAtMs: number): Promise<void> {
    await sleep(QUIET_MS);
    await new Lanes({ world, seed: this.#options.seed, endAtMs }).run();
  }

  /** Load goes on until the time is over and the last fault is taken back. */
  async #sendLoad(endAtMs: number, disturbed: Promise<void>): Promise<readonly CallRecord[]> {
    const { seed, minutes } = this.#options;
    let isDisturbed = true;
    const end = (): void => {
      isDisturbed = false;
    };
    disturbed.then(end, end);
    const callers = new Callers({
      seed,
      listTargets: (item) => this.#balancer.listTargets(item),
      parallel: PARALLEL_CALLERS,
      maxAttempts: MAX_ATTEMPTS,
      attemptTimeoutMs: ATTEMPT_TIMEOUT_MS,
      pauseMs: CALLER_PAUSE_MS,
      onAttempt: (item, attempt) => this.#attempts.push({ ...attempt, item }),
    });
    const lastMinutes = Math.ceil(minutes) + EXTRA_MINUTES;
    const most = Math.ceil(lastMinutes * SECONDS_PER_MINUTE * MAX_REQUESTS_PER_SECOND);
    const isOver = (): boolean => !isDisturbed && Date.now() > endAtMs;
    return callers.run(takeUntil(createWorkload(seed, most), isOver));
  }

  async #judge(
    world: SoakWorld,
    records: readonly CallRecord[],
    probe: InForceProbe,
  ): Promise<SoakOutcome> {
    const { addresses, daemons } = this.#deployment;
    await sleep(HEALED_MS);
    if (!(await waitForBills(addresses, records))) {
      this.#options.say('some bills are missing');
    }
    await world.journal.checkFinal(daemons);
    await Promise.all(daemons.map((daemon) => this.#violations.read(daemon)));
    this.#watching.abort();
    await this.#stopDaemons();
    const truth = await readUpstreamsTruth(addresses);
    const entries = await readLedger(addresses);
    this.#keepEvidence({ records, entries, ...truth });
    const verdict = judgeRun({
      records,
      ...truth,
      entries,
      withdrawals: this.#facts.withdrawals,
      isAllowed: isAllowedBySample,
      dearest: dearestPrice,
    });
    this.#facts.invariants.push(
      ...this.#listViolations(),
      ...judgeAttempts(this.#facts, this.#attempts),
      ...judgeLeaving(this.#facts, addresses.engines, truth.engines),
    );
    return {
      verdict,
      facts: this.#facts,
      attempts: this.#attempts,
      measures: probe.measures,
      placeOf: (vm) => this.#deployment.vms.find(({ name }) => name === vm)?.dataCentre,
    };
  }

  /** Everything that the verdict rests on, to look into afterwards. */
  #keepEvidence(evidence: Readonly<Record<string, readonly unknown[]>>): void {
    Object.entries(evidence).forEach(([name, items]) => {
      const lines = items.map((item) => JSON.stringify(item)).join('\n');
      writeFileSync(join(this.#options.folder, `${name}.jsonl`), `${lines}\n`);
    });
  }

  /** By logs and metrics: whichever tells of more. */
  #listViolations(): readonly string[] {
    const logged = this.#violations.listLogged();
    const unlogged = Math.max(0, this.#violations.getCount() - logged.length);
    return [...logged, ...Array.from({ length: unlogged }, () => 'counted by the metrics')];
  }

  async #stopDaemons(): Promise<void> {
    const { daemons } = this.#deployment;
    await this.#deployment.stopDaemons();
    await Promise.all(
      daemons.map(async ({ vm, process }) => {
        const { code, signal } = await process.waitForExit();
        if (code !== 0) {
          this.#facts.invariants.push(`${vm.name}: the last stop ended with ${code ?? signal}`);
        }
      }),
    );
  }

  #createWorld(): SoakWorld {
    return {
      deployment: this.#deployment,
      network: this.#network as ForwardedNetwork,
      facts: this.#facts,
      journal: new ConfigurationJournal(this.#facts),
      revisions: new RevisionWatch(this.#deployment, this.#facts),
      violations: this.#violations,
      say: this.#options.say,
      listReady: () => this.#balancer.listReady(),
    };
  }

  #getEnvironment(vm: EntryVm): Readonly<Record<string, string>> {
    const redirects = this.#network?.getRedirects(vm.dataCentre) ?? {};
    return { [REDIRECTS_VARIABLE]: JSON.stringify(redirects) };
  }
}

const EXTRA_MINUTES = 3;

/** Conversations until the run is over. */
function* takeUntil(
  conversations: Iterable<readonly WorkItem[]>,
  isOver: () => boolean,
): Generator<readonly WorkItem[]> {
  for (const conversation of conversations) {
    if (isOver()) {
      return;
    }
    yield conversation;
  }
}
