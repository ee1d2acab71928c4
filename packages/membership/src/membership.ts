/** Membership of one daemon: who else is there, in all data centres. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { Exchange, Member, MembershipHandlers } from '@snipehaven/protocol';
import {
  DEFAULT_MEMBERSHIP_SETTINGS,
  DOUBTED_PER_PERIOD,
  LEAVE_FANOUT,
  PAUSE_CHECKS_PER_THRESHOLD,
  RELAYS_PER_DATA_CENTRE,
} from './constants.js';
import { Duties } from './duties.js';
import { MembershipStoppedError } from './errors.js';
import { Exchanger } from './exchange/exchanger.js';
import { Repairer } from './exchange/repairer.js';
import { Topics } from './exchange/topics.js';
import { PauseWatch } from './pauseWatch.js';
import { Listeners } from './records/listeners.js';
import { MemberRecords } from './records/memberRecords.js';
import { isLive } from './records/precedence.js';
import { Healer } from './rounds/healer.js';
import { Prober } from './rounds/prober.js';
import { RelayRounds } from './rounds/relayRounds.js';
import { RoundTimers } from './rounds/roundTimers.js';
import { sampleMembers, ShuffledOrder } from './rounds/shuffledOrder.js';
import { VmListRounds } from './rounds/vmListRounds.js';
import type {
  GossipTopic,
  MembershipOptions,
  MembershipSettings,
  MembershipView,
} from './types.js';

export class Membership implements MembershipView {
  /** What this member answers to others. */
  readonly handlers: MembershipHandlers;

  readonly #options: MembershipOptions;

  readonly #settings: MembershipSettings;

  readonly #logger: Logger;

  readonly #records: MemberRecords;

  readonly #duties: Duties;

  readonly #topics: Topics;

  readonly #pauses: Listeners<number>;

  readonly #pauseWatch: PauseWatch;

  readonly #exchanger: Exchanger;

  readonly #repairer: Repairer;

  readonly #prober: Prober;

  readonly #healer: Healer;

  readonly #relayRounds: RelayRounds;

  readonly #vmListRounds: VmListRounds | undefined;

  readonly #order: ShuffledOrder;

  readonly #timers: RoundTimers;

  #isRunning = false;

  constructor(options: MembershipOptions) {
    const { logger, random, transport, clock, vmList } = options;
    const settings = { ...DEFAULT_MEMBERSHIP_SETTINGS, ...options.settings };
    this.#options = options;
    this.#settings = settings;
    this.#logger = logger;
    this.#records = new MemberRecords({ ...options, settings });
    const records = this.#records;
    this.#duties = new Duties(records);
    this.#topics = new Topics(options.topics ?? [], logger);
    this.#pauses = new Listeners(logger);
    this.#pauseWatch = this.#createPauseWatch();
    this.#exchanger = new Exchanger({
      records,
      topics: this.#topics,
      transport,
      clock,
      timeoutMs: settings.probeTimeoutMs,
    });
    this.#repairer = this.#createRepairer();
    this.#prober = new Prober({
      records,
      exchanger: this.#exchanger,
      pauseWatch: this.#pauseWatch,
      transport,
      random,
      settings,
    });
    this.#healer = new Healer(
      records,
      this.#exchanger,
      this.#repairer,
      options.seeds,
      random,
      logger,
    );
    this.#relayRounds = new RelayRounds(
      records,
      this.#duties,
      this.#prober,
      this.#createRepairer(),
      random,
    );
    this.#vmListRounds = vmList && new VmListRounds(vmList, records, this.#healer, logger);
    this.#order = new ShuffledOrder(random);
    this.#timers = this.#createTimers();
    this.handlers = {
      exchange: async (message) => this.#answer(message),
      probe: async (probe) => this.#prober.answerProbe(probe),
    };
  }

  get self(): Member {
    return this.#records.self;
  }

  /** Starts probing and joins through the seeds; does not wait until it has joined. */
  start(): void {
    this.#isRunning = true;
    this.#pauseWatch.start();
    this.#timers.start();
    this.#launch(this.#healer.run());
  }

  /** Stops at once, as if the process had died. */
  stop(): void {
    this.#isRunning = false;
    this.#timers.stop();
    this.#pauseWatch.stop();
  }

  /** Tells others that this member leaves for good, then stops. */
  async leave(): Promise<void> {
    this.#records.leave();
    const told = [
      ...sampleMembers(this.#listLocalOthers(), LEAVE_FANOUT, this.#options.random),
      ...this.listRelays(),
    ];
    await Promise.allSettled(told.map((member) => this.#exchanger.exchange(member)));
    this.stop();
  }

  /** Exchanges news with all of the data centre at once; for rare news that cannot wait its turn. */
  async spread(): Promise<void> {
    const told = this.#listLocalOthers();
    await Promise.allSettled(told.map((member) => this.#exchanger.exchange(member)));
  }

  /** Adds a concern whose payload rides along with exchanges. */
  registerTopic(topic: GossipTopic): void {
    this.#topics.register(topic);
  }

  listAlive(): readonly Member[] {
    return this.#records.table.listLive();
  }

  listLocal(): readonly Member[] {
    return this.#records.listLocal();
  }

  listRelays(): readonly Member[] {
    return this.#duties.listRelays();
  }

  listMembers(): readonly Member[] {
    return this.#records.table.list();
  }

  getMember(incarnation: string): Member | undefined {
    return this.#records.table.get(incarnation);
  }

  isIncarnationAlive(incarnation: string): boolean {
    const member = this.#records.table.get(incarnation);
    return member !== undefined && isLive(member);
  }

  getDutyOwner(duty: string): Member {
    return this.#duties.getOwner(duty);
  }

  ownsDuty(duty: string): boolean {
    return this.#duties.owns(duty);
  }

  rankLocal(key: string): readonly Member[] {
    return this.#duties.rankLocal(key);
  }

  onChange(listener: (member: Member) => void): () => void {
    return this.#records.changes.add(listener);
  }

  onPause(listener: (pausedMs: number) => void): () => void {
    return this.#pauses.add(listener);
  }

  #answer(message: Exchange): Exchange {
    if (!this.#isRunning) {
      throw new MembershipStoppedError(`${this.self.incarnation} is not running`);
    }
    this.#pauseWatch.check();
    return this.#exchanger.answer(message);
  }

  #createRepairer(): Repairer {
    return new Repairer(this.#records, this.#exchanger, this.#settings.repairIntervalMs);
  }

  #createPauseWatch(): PauseWatch {
    const { pauseThresholdMs } = this.#settings;
    return new PauseWatch(
      pauseThresholdMs,
      pauseThresholdMs / PAUSE_CHECKS_PER_THRESHOLD,
      (pausedMs) => this.#recover(pausedMs),
    );
  }

  #createTimers(): RoundTimers {
    const { probeIntervalMs, relayIntervalMs, healIntervalMs, vmListIntervalMs } = this.#settings;
    const intervals = {
      probe: probeIntervalMs,
      relay: relayIntervalMs,
      heal: healIntervalMs,
      vmList: vmListIntervalMs,
    };
    const handlers = {
      probe: () => this.#runProbes(),
      relay: () => this.#launch(this.#relayRounds.run()),
      heal: () => this.#runHealing(),
      vmList: () => this.#runVmList(),
    };
    return new RoundTimers(intervals, handlers, this.#options.random, (error, type) =>
      this.#logger.error({ error: getErrorMessage(error), round: type }, 'membership round failed'),
    );
  }

  /** Rounds run on beside each other: a slow answer must not hold up the next round. */
  #launch(round: Promise<unknown>): void {
    round.catch((error: unknown) =>
      this.#logger.error({ error: getErrorMessage(error) }, 'membership round failed'),
    );
  }

  #runProbes(): void {
    this.#pauseWatch.check();
    this.#vmListRounds?.hastenUnlisted();
    this.#records.buryExpired();
    this.#records.table.forgetEnded(this.#settings.forgetAfterMs);
    this.#listProbed().forEach((member) =>
      this.#launch(this.#prober.probe(member, this.#repairer)),
    );
    if (this.#isAlone()) {
      this.#launch(this.#healer.run());
    }
  }

  /** The next of the data centre in turn, and those that must hear of doubts elsewhere. */
  #listProbed(): ReadonlySet<Member> {
    const next = this.#order.next(this.#listLocalOthers());
    const doubted = this.#records.nextDoubted(DOUBTED_PER_PERIOD);
    return new Set(next ? [next, ...doubted] : doubted);
  }

  #runHealing(): void {
    const healers = this.rankLocal('heal').slice(0, RELAYS_PER_DATA_CENTRE);
    if (!this.#isAlone() && healers.includes(this.self)) {
      this.#launch(this.#healer.run());
    }
  }

  #runVmList(): void {
    if (this.#vmListRounds && this.ownsDuty('vmList')) {
      this.#launch(this.#vmListRounds.run());
    } else {
      this.#vmListRounds?.forgetList();
    }
  }

  #isAlone(): boolean {
    return this.#records.listOthers().length === 0;
  }

  #listLocalOthers(): readonly Member[] {
    return this.listLocal().filter((member) => member !== this.self);
  }

  /**
   * What goes wrong: while this process was frozen others gave it up, and it took their silence for
   * theirs. One notices a daemon that serves but is dead to its peers. It speaks for itself at
   * once, gives suspects the lost time back, and drops a view that is too old to be spread.
   */
  #recover(pausedMs: number): void {
    this.#logger.warn({ pausedMs }, 'the process stood still');
    this.#records.suspicions.extendAll(pausedMs);
    if (pausedMs > this.#settings.forgetAfterMs / 2) {
      this.#startOver();
    }
    this.#records.refute();
    this.#pauses.tell(pausedMs);
  }

  #startOver(): void {
    this.#healer.remember(this.listMembers().map((member) => member.address));
    this.#records.startOver();
  }
}
