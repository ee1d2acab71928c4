/** One roll-out over real processes: load, declaration, death of the holder, end, judgement. */
import { sleep } from '@snipehaven/common';
import {
  applySample,
  Callers,
  controlStandin,
  createSampleStandins,
  createWorkload,
  Deployment,
  putResource,
  readUpstreamsTruth,
  sampleDataCentres,
  type RunningDaemon,
  type WorkItem,
} from '@snipehaven/demo';
import { Balancer } from '../soak/watch/balancer.js';
import { waitUntil } from '../soak/watch/repeat.js';
import {
  ATTEMPT_TIMEOUT_MS,
  CALLER_PAUSE_MS,
  CANDIDATE_VERSION,
  DAEMONS_PER_DATA_CENTRE,
  MAX_ATTEMPTS,
  MAX_REQUESTS,
  MODEL,
  PARALLEL_CALLERS,
  POLL_MS,
  REPLACE_AFTER_MS,
  ROLLOUT_NAME,
  ROLLOUT_TIMEOUT_MS,
  rolloutSpec,
  TAIL_MS,
  WARM_MS,
} from './constants.js';
import { judgeRollout, type RolloutFigures } from './judgeRollout.js';
import { candidateKinds, type CandidateKind, type CandidateKindName } from './kinds.js';
import { RolloutWatch, type SeenRollout } from './rolloutWatch.js';

export interface RolloutRunOptions {
  readonly seed: number;
  readonly kind: CandidateKindName;
  readonly folder: string;
  readonly say: (line: string) => void;
}

/** The same as the stable version's, so that a good candidate is no worse. */
const CANDIDATE_MEANS = { '*': 0.72, tag: 0.9, status: 0.9, 'well-log': 0.78 };

const candidateSpec = {
  inputMicroUsdPerMillionTokens: 100_000,
  outputMicroUsdPerMillionTokens: 400_000,
  priorQuality: 0.72,
  priorQualityByTask: { tag: 0.88, status: 0.9 },
  priorWeight: 40,
};

const usersOfModel: ReadonlySet<string> = new Set(['studio-north', 'studio-south', 'ranch']);

/** Whoever may use the model asks for it by name, so that the roll-out has steady traffic. */
const askForModel = (item: WorkItem): WorkItem =>
  usersOfModel.has(item.team) && item.service === undefined ? { ...item, model: MODEL } : item;

/** How a daemon's report tells of the first pairs of the shadow phase. */
const SOME_PAIRS = /[1-9]\d* pairs/;

/** Phases from which a roll-out does not go on. */
const lastPhases = ['quarantined', 'finished'] as const;

interface Outcome {
  readonly killedAtMs?: number;
  readonly quarantinedAtMs?: number;
  readonly finishedAtMs?: number;
  readonly phase: string;
}

export class RolloutRun {
  readonly #options: RolloutRunOptions;

  readonly #deployment: Deployment;

  readonly #balancer: Balancer;

  readonly #watch: RolloutWatch;

  readonly #watching = new AbortController();

  #isOver = false;

  #killedAtMs: number | undefined;

  constructor(options: RolloutRunOptions) {
    this.#options = options;
    const added = [{ version: CANDIDATE_VERSION, means: CANDIDATE_MEANS }];
    this.#deployment = new Deployment({
      folder: options.folder,
      dataCentres: sampleDataCentres,
      daemonsPerDataCentre: DAEMONS_PER_DATA_CENTRE,
      standins: createSampleStandins(options.seed, added),
    });
    this.#balancer = new Balancer(this.#deployment, sampleDataCentres);
    this.#watch = new RolloutWatch(this.#deployment);
  }

  /** Starts the processes, the sample configuration and the candidate's fault. */
  async start(): Promise<void> {
    const { folder, kind, say } = this.#options;
    const added = [{ version: CANDIDATE_VERSION, means: CANDIDATE_MEANS }];
    await this.#deployment.start();
    await applySample(this.#deployment, folder, added);
    await this.#setFault(candidateKinds[kind]);
    say(`${this.#deployment.daemons.length} daemons serve the sample configuration`);
  }

  async run(): Promise<RolloutFigures> {
    const { kind } = this.#options;
    this.#balancer.start(this.#watching.signal);
    const watched = this.#watch.run(this.#watching.signal);
    await waitUntil(() => this.#balancer.listReady().length > 0, WARM_MS, POLL_MS);
    const load = this.#sendLoad();
    await sleep(WARM_MS);
    const declaredAtMs = await this.#declare();
    const outcome = await this.#follow();
    await sleep(TAIL_MS);
    this.#isOver = true;
    const records = await load;
    this.#watching.abort();
    await watched;
    const { engines } = await readUpstreamsTruth(this.#deployment.addresses);
    const { holders } = this.#watch;
    return judgeRollout({ kind, declaredAtMs, ...outcome, holders, records, engines });
  }

  async stop(): Promise<void> {
    this.#isOver = true;
    this.#watching.abort();
    await this.#deployment.stop();
  }

  async #setFault({ fault }: CandidateKind): Promise<void> {
    if (fault !== undefined) {
      const versionFaults = { [CANDIDATE_VERSION]: fault };
      const control = { engineFaults: { versionFaults } };
      const { engines } = this.#deployment.addresses;
      await Promise.all(engines.map(({ url }) => controlStandin(url, control)));
    }
  }

  #sendLoad(): ReturnType<Callers['run']> {
    const { seed } = this.#options;
    const callers = new Callers({
      seed,
      listTargets: (item) => this.#balancer.listTargets(item),
      parallel: PARALLEL_CALLERS,
      maxAttempts: MAX_ATTEMPTS,
      attemptTimeoutMs: ATTEMPT_TIMEOUT_MS,
      pauseMs: CALLER_PAUSE_MS,
    });
    return callers.run(this.#takeConversations());
  }

  *#takeConversations(): Generator<readonly WorkItem[]> {
    for (const conversation of createWorkload(this.#options.seed, MAX_REQUESTS)) {
      if (this.#isOver) {
        return;
      }
      yield conversation.map(askForModel);
    }
  }

  async #declare(): Promise<number> {
    const url = this.#deployment.daemons[0]?.operatorsUrl ?? '';
    await putResource(url, 'ModelVersion', CANDIDATE_VERSION, candidateSpec);
    await putResource(url, 'Rollout', ROLLOUT_NAME, rolloutSpec);
    this.#options.say(`the roll-out of ${CANDIDATE_VERSION} is declared`);
    return Date.now();
  }

  /** Kills the holder as soon as the candidate answers, and waits for the end everywhere. */
  async #follow(): Promise<Outcome> {
    const giveUpAtMs = Date.now() + ROLLOUT_TIMEOUT_MS;
    let replaced: Promise<void> | undefined;
    let phase = this.#findLastPhase();
    let told = '';
    while (phase === undefined && Date.now() < giveUpAtMs) {
      if (replaced === undefined && this.#hasBegun()) {
        replaced = this.#killHolder();
      }
      told = this.#tell(told);
      await sleep(POLL_MS);
      phase = this.#findLastPhase();
    }
    const endedAtMs = Date.now();
    this.#options.say(this.#watch.reports[0]?.reason ?? 'no daemon tells of the roll-out');
    await replaced;
    const killedAtMs = this.#killedAtMs;
    return {
      ...(killedAtMs === undefined ? {} : { killedAtMs }),
      ...(phase === 'quarantined' ? { quarantinedAtMs: endedAtMs } : {}),
      ...(phase === 'finished' ? { finishedAtMs: endedAtMs } : {}),
      phase: phase ?? this.#watch.reports[0]?.phase ?? 'unknown',
    };
  }

  /** A quarantine anywhere is a verdict, but it counts once it is in force everywhere. */
  #findLastPhase(): string | undefined {
    return lastPhases.find((phase) => this.#watch.isEverywhere(phase));
  }

  #hasBegun(): boolean {
    const { killedIn } = candidateKinds[this.#options.kind];
    return this.#watch.reports.some(
      ({ phase, exposedCount, reason }) =>
        phase === 'running' && (killedIn === 'shadow' ? SOME_PAIRS.test(reason) : exposedCount > 0),
    );
  }

  #tell(told: string): string {
    const describe = ({ phase, stage }: SeenRollout): string => `${phase} ${stage}`;
    const now = [...new Set(this.#watch.reports.map(describe))].sort().join(', ');
    if (now !== told) {
      const exposed = Math.max(0, ...this.#watch.reports.map(({ exposedCount }) => exposedCount));
      this.#options.say(`phase and stage: ${now}; ${exposed} exposed`);
    }
    return now;
  }

  async #killHolder(): Promise<void> {
    const holder = this.#watch.findHolder();
    if (holder === undefined) {
      return;
    }
    holder.process.signal('SIGKILL');
    this.#killedAtMs = Date.now();
    this.#options.say(`the holder ${holder.vm.name} is killed`);
    await sleep(REPLACE_AFTER_MS);
    await this.#replace(holder);
  }

  async #replace(daemon: RunningDaemon): Promise<void> {
    await this.#deployment.replaceDaemon(daemon);
    await this.#deployment.waitUntilReady(daemon);
    this.#options.say(`${daemon.vm.name} is replaced`);
  }
}
