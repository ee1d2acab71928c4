/** One fuzzing run: the world, the calls made in it, and what must hold at its end. */
import type { DaemonCore } from '@snipehaven/daemon';
import { setInvariantsFatal, type InvariantViolation } from '@snipehaven/common';
import {
  judgeRun,
  type AttemptEnd,
  type CallAttempt,
  type Verdict,
  type WorkItem,
} from '@snipehaven/demo';
import { restoreChatBody, type CallerIdentity } from '@snipehaven/routing';
import { RecordingSink, World, type WorldOptions, type WorldVm } from '../harness/index.js';
import {
  applyFuzzConfiguration,
  fuzzDataCentres,
  fuzzVersions,
  isAllowedByFuzz,
} from './fuzzConfiguration.js';

/** One request under a key; retries add attempts. */
interface OpenRecord {
  readonly item: WorkItem;
  readonly attempts: CallAttempt[];
  pending: number;
}

/** What a call asks for. */
export interface FuzzCall {
  readonly vm: number;
  readonly team: string;
  readonly transport: WorkItem['transport'];
  readonly isIdempotent: boolean;
  readonly session?: number;
  readonly hasOwnSessionId: boolean;
}

/** A withdrawal as one daemon accepted it. */
interface AcceptedWithdrawal {
  readonly version: string;
  readonly incarnation: string;
  readonly atMs: number;
}

const DEADLINE_MS = 30_000;
const SETTLE_MS = 60_000;
const READY_LIMIT_MS = 60_000;
const MAX_TOKENS = 12;

export class FuzzRun {
  readonly world: World;

  readonly records: OpenRecord[] = [];

  readonly violations: string[] = [];

  readonly #sinks = new Map<RecordingSink, DaemonCore>();

  readonly #tokens = new Map<number, string>();

  readonly #busySessions = new Set<number>();

  readonly #withdrawals: AcceptedWithdrawal[] = [];

  readonly #seenVersions = new Map<string, number>();

  #killedAtMs = -Infinity;

  #counter = 0;

  constructor(seed: number, options: Partial<WorldOptions> = {}) {
    setInvariantsFatal(true);
    this.world = new World({
      seed,
      dataCentres: fuzzDataCentres,
      daemonsPerDataCentre: 2,
      enginesPerDataCentre: 2,
      versions: fuzzVersions,
      ...options,
    });
  }

  /** Boots all daemons and applies the configuration. */
  async setUp(): Promise<void> {
    const { world } = this;
    world.vms.forEach((vm) => world.startDaemon(vm));
    await world.clock.advance(3_000);
    const first = world.vms[0]?.core;
    if (first === undefined) {
      throw new Error('no daemon runs');
    }
    let isApplied = false;
    void applyFuzzConfiguration(world, first).then(() => {
      isApplied = true;
    });
    const isReady = await world.clock.advanceUntil(
      () => isApplied && this.#isConverged(),
      READY_LIMIT_MS,
    );
    if (!isReady) {
      throw new Error('the configuration did not come into force');
    }
  }

  getVm(index: number): WorldVm {
    return this.world.vms[index % this.world.vms.length] as WorldVm;
  }

  canCall(call: FuzzCall): boolean {
    const isBusy = call.session !== undefined && this.#busySessions.has(call.session);
    return this.getVm(call.vm).core !== undefined && !isBusy;
  }

  /** Sends a new request; it runs on while further commands come. */
  call(call: FuzzCall): void {
    this.#counter += 1;
    const item = this.#createItem(call, this.#counter);
    const record = { item, attempts: [], pending: 0 };
    this.records.push(record);
    void this.#attempt(record, this.getVm(call.vm), call.session);
  }

  /** Sends an earlier request once more, at any daemon. */
  retry(index: number, vm: number): void {
    const record = this.records[index % Math.max(1, this.records.length)];
    if (record) {
      void this.#attempt(record, this.getVm(vm), undefined);
    }
  }

  /**
   * Two kills within this time may take both holders of a usage record, which is a stated limit of the
   * ledger (see its README.md) and no fault to be found here.
   */
  mayKill(): boolean {
    return this.world.clock.nowMs - this.#killedAtMs >= KILL_SPACING_MS;
  }

  kill(vm: WorldVm): void {
    this.#killedAtMs = this.world.clock.nowMs;
    this.#sinks.forEach((owner, sink) => {
      if (owner === vm.core) {
        sink.break('the daemon was killed');
      }
    });
    this.world.killDaemon(vm);
  }

  /** Shuts a daemon down gracefully: no request in progress may be cut off. */
  shutDown(vm: WorldVm): void {
    const { core } = vm;
    this.world.stopDaemon(vm).then(
      () => this.#noteCutOff(vm, core),
      (error: unknown) => this.violations.push(`shutdown: ${String(error)}`),
    );
  }

  /** Withdraws at one daemon, as an operator would. */
  withdraw(vm: WorldVm, version: string): void {
    const { core } = vm;
    if (core === undefined) {
      return;
    }
    const { incarnation } = core.membership.self;
    core.configuration.safeMoves
      .activate('withdraw', version, 'fuzz', 'fuzz')
      .catch(() => undefined);
    this.#withdrawals.push({ version, incarnation, atMs: this.world.clock.nowMs });
  }

  /** Sees that no daemon goes back to an older state of the configuration. */
  watchConfiguration(): void {
    this.world.listRunning().forEach((vm) => {
      const store = vm.core?.configuration;
      const seen = store?.getView().get('Team', 'alpha')?.metadata.resourceVersion ?? 0;
      const key = World.getNode(vm);
      const before = this.#seenVersions.get(key) ?? 0;
      if (seen < before) {
        this.violations.push(`${vm.name} went back from revision ${before} to ${seen} of a team`);
      }
      this.#seenVersions.set(key, seen);
    });
  }

  /** A change that was pushed before arrives once more. */
  async repeatChange(vm: WorldVm, back: number): Promise<void> {
    const source = this.world.listRunning()[0]?.core?.configuration;
    const changes = source?.listChanges(0) ?? [];
    const teamChanges = changes.filter(
      (change) => change.kind === 'Team' && change.name === 'alpha',
    );
    const change = teamChanges.at(-1 - (back % Math.max(1, teamChanges.length)));
    if (change !== undefined) {
      const message = { changes: [structuredClone(change)], from: 'repeated', isRelay: false };
      await vm.core?.configuration.handlers.pushChanges(message);
    }
  }

  /** Heals everything, lets the system settle, and judges. */
  async finish(): Promise<Verdict> {
    const { world } = this;
    world.network.heal();
    world.vms.filter((vm) => vm.core === undefined).forEach((vm) => world.startDaemon(vm));
    Object.values(world.cores).forEach((core) => core.gate.clearFaults());
    world.engines.forEach((engine) => {
      engine.gate.clearFaults();
      engine.clearFaults();
    });
    const haveEnded = await world.clock.advanceUntil(
      () => this.records.every((record) => record.pending === 0),
      DEADLINE_MS + SETTLE_MS,
    );
    if (!haveEnded) {
      this.violations.push('a request never ended');
    }
    await world.clock.advance(SETTLE_MS, 10);
    await this.#probeAll();
    await this.#flushLedgers();
    this.#checkConfiguration();
    this.watchConfiguration();
    const verdict = await this.#judge();
    this.#noteVerdict(verdict);
    return verdict;
  }

  #noteCutOff(vm: WorldVm, core: DaemonCore | undefined): void {
    this.#sinks.forEach((owner, sink) => {
      if (owner === core) {
        this.violations.push(`${vm.name} cut off a request in its graceful shutdown`);
        sink.break('the daemon has shut down');
      }
    });
  }

  /** An upstream that says that it is leaving gets nothing new a few seconds later. */
  #listLateWork(): readonly string[] {
    const streams = [...this.world.engines.values()].flatMap((engine) => engine.getTruth().streams);
    return streams
      .filter((stream) => (stream.startedAfterLeavingMs ?? 0) > LEAVING_LIMIT_MS)
      .map(
        (stream) => `${stream.streamId} started ${stream.startedAfterLeavingMs} ms after leaving`,
      );
  }

  /** With everything healed, each daemon answers. */
  async #probeAll(): Promise<void> {
    this.world.engines.forEach((engine) => engine.setLeaving(false));
    this.world.vms.forEach((vm) => this.world.startDaemon(vm));
    await this.world.clock.advance(SETTLE_AFTER_LEAVING_MS, 10);
    const isReady = await this.world.clock.advanceUntil(
      () => this.world.listRunning().every((vm) => vm.core?.listUnreadyReasons().length === 0),
      READY_LIMIT_MS,
    );
    if (!isReady) {
      this.violations.push('a daemon is not ready after all is healed');
    }
    const first = this.records.length;
    this.world.vms.forEach((_vm, index) => this.call({ ...probe, vm: index }));
    const probes = this.records.slice(first);
    await this.world.clock.advanceUntil(
      () => probes.every((record) => record.pending === 0),
      DEADLINE_MS * 2,
    );
    probes
      .filter((record) => record.attempts.at(-1)?.end.kind !== 'answered')
      .forEach((record) => {
        const { end, vm } = record.attempts.at(-1) ?? {};
        const reason = end?.kind === 'refused' ? end.code : end?.kind;
        this.violations.push(`${vm} does not answer after all is healed: ${reason}`);
      });
  }

  async #flushLedgers(): Promise<void> {
    let open = 0;
    this.world.listRunning().forEach((vm) => {
      open += 1;
      vm.core?.ledger.flush().then(
        () => {
          open -= 1;
        },
        (error: unknown) => this.violations.push(`flush: ${String(error)}`),
      );
    });
    await this.world.clock.advanceUntil(() => open === 0, SETTLE_MS);
  }

  #isConverged(): boolean {
    const statuses = this.world.listRunning().map((vm) => vm.core?.configuration.getStatus());
    const revisions = new Set(statuses.map((status) => status?.revision));
    return revisions.size === 1 && statuses.every((status) => status?.hasConfiguration);
  }

  #checkConfiguration(): void {
    if (!this.#isConverged()) {
      const revisions = this.world
        .listRunning()
        .map((vm) => `${vm.name} at ${vm.core?.configuration.getStatus().revision}`);
      this.violations.push(`configuration differs: ${revisions.join(', ')}`);
    }
  }

  async #judge(): Promise<Verdict> {
    const engines = [...this.world.engines.values()].map((engine) => engine.getTruth());
    return judgeRun({
      records: this.records,
      engines,
      services: [...this.world.services.values()].map((service) => service.getTruth()),
      entries: await this.world.readLedger(),
      withdrawals: this.#withdrawals.map(({ version }) => ({ version, inForceAtMs: Infinity })),
      isAllowed: isAllowedByFuzz,
      dearest: { input: 1, output: 1 },
    });
  }

  /** The daemon that accepted a withdrawal starts nothing on the version after it. */
  #listLateStarts(): readonly string[] {
    const streams = [...this.world.engines.values()].flatMap((engine) => engine.getTruth().streams);
    return this.#withdrawals.flatMap((withdrawal) =>
      streams
        .filter((stream) => stream.versionId === withdrawal.version)
        .filter((stream) => stream.streamId.startsWith(`${withdrawal.incarnation}-`))
        .filter((stream) => stream.startedMs > withdrawal.atMs + NETWORK_GRACE_MS)
        .map((stream) => `${stream.streamId} on withdrawn ${stream.versionId}`),
    );
  }

  #noteVerdict(verdict: Verdict): void {
    const broken = ['doubled', 'ranTwice', 'misbilled', 'falseNotRun', 'wrongVersion'] as const;
    broken
      .filter((promise) => verdict[promise] > 0)
      .forEach((promise) => {
        const examples = verdict.examples.filter((example) => example.startsWith(promise));
        this.violations.push(examples.join('; '));
      });
    const cutAnswers = verdict.examples.filter((example) => example.includes('text differs'));
    this.violations.push(...cutAnswers, ...this.#listLateStarts(), ...this.#listLateWork());
  }

  #createItem(call: FuzzCall, index: number): WorkItem {
    const session = call.session === undefined ? undefined : `session-${call.session}`;
    const target = call.isIdempotent
      ? ({ service: 'records', method: 'GET', path: '/licences/1' } as const)
      : ({ service: 'records', method: 'POST', path: '/filings' } as const);
    return {
      index,
      team: call.team,
      transport: call.transport,
      task: 'default',
      prompt: `Summarise report ${index}.`,
      maxTokens: MAX_TOKENS,
      isIdempotent: call.isIdempotent,
      key: `key-${index}`,
      hasOwnSessionId: call.hasOwnSessionId,
      ...(session === undefined ? {} : { session }),
      ...(call.transport === 'service' ? { service: target } : {}),
    };
  }

  async #attempt(record: OpenRecord, vm: WorldVm, session: number | undefined): Promise<void> {
    const open = record;
    const startedAtMs = this.world.clock.nowMs;
    open.pending += 1;
    if (session !== undefined) {
      this.#busySessions.add(session);
    }
    const end = await this.#send(record.item, vm, session);
    record.attempts.push({ vm: vm.name, startedAtMs, endedAtMs: this.world.clock.nowMs, end });
    if (session !== undefined) {
      this.#busySessions.delete(session);
      this.#keepToken(session, end);
    }
    open.pending -= 1;
  }

  #keepToken(session: number, end: AttemptEnd): void {
    if (end.kind === 'answered' && end.answer.sessionToken !== undefined) {
      this.#tokens.set(session, end.answer.sessionToken);
    }
  }

  async #send(item: WorkItem, vm: WorldVm, session: number | undefined): Promise<AttemptEnd> {
    const { core } = vm;
    if (core === undefined) {
      return { kind: 'broken', reason: 'connection refused' };
    }
    const identity = core.router.findCaller(`${item.team}-key`);
    if (!core.isServing || identity === undefined) {
      return {
        kind: 'refused',
        status: 503,
        code: 'notReady',
        verdict: 'notRun',
        retryAfterMs: 500,
      };
    }
    const sink = new RecordingSink();
    this.#sinks.set(sink, core);
    this.#execute(item, vm, identity, sink, session).catch((error: unknown) => {
      this.violations.push(`${item.key}: ${(error as InvariantViolation).message}`);
      sink.break('the daemon threw');
    });
    const end = await sink.ended;
    this.#sinks.delete(sink);
    return end;
  }

  async #execute(
    item: WorkItem,
    vm: WorldVm,
    identity: CallerIdentity,
    sink: RecordingSink,
    session: number | undefined,
  ): Promise<void> {
    const router = vm.core?.router;
    const token =
      session === undefined || item.hasOwnSessionId ? undefined : this.#tokens.get(session);
    const options = {
      task: item.task,
      priority: 5,
      deadlineAtMs: this.world.clock.nowMs + DEADLINE_MS,
      idempotencyKey: item.key,
      isIdempotent: item.isIdempotent,
      ...(token === undefined ? {} : { sessionToken: token }),
      ...(item.hasOwnSessionId && item.session ? { callerSession: item.session } : {}),
    };
    const requestId = router?.createRequestId() ?? '';
    if (item.service) {
      const { service, method, path } = item.service;
      const body = Buffer.from(method === 'POST' ? item.prompt : '');
      await router?.executeService(
        { requestId, identity, service, method, path, body, options },
        sink,
      );
      return;
    }
    const body = restoreChatBody({
      model: 'auto',
      messages: [{ role: 'user', content: item.prompt }],
      max_tokens: item.maxTokens,
      stream: item.transport === 'chatStream',
      stream_options: item.transport === 'chatStream' ? { include_usage: true } : null,
    });
    await router?.executeChat({ requestId, identity, body, options }, sink);
  }
}

/** The last request of a run, at each daemon. */
const probe = {
  team: 'alpha',
  transport: 'chatStream',
  isIdempotent: true,
  hasOwnSessionId: false,
} as const;

const SETTLE_AFTER_LEAVING_MS = 10_000;

/** Above a probe, its suspicion and a flush or a passed-on copy. */
const KILL_SPACING_MS = 6_000;

/** "After a few seconds": the engine's word, a load report's lag and the time to spread it. */
const LEAVING_LIMIT_MS = 4_000;

/** What is already on its way when a withdrawal is accepted. */
const NETWORK_GRACE_MS = 10;
