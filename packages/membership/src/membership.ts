/** Membership of one daemon: which other daemons exist, in all data centres. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { Exchange, Member, MembershipHandlers } from '@snipehaven/protocol';
import {
  DEFAULT_MEMBERSHIP_SETTINGS,
  REMOTE_SUSPECTS_PER_PERIOD,
  LEAVE_FANOUT,
  PAUSE_CHECKS_PER_THRESHOLD,
  RELAYS_PER_DATA_CENTRE,
} from './constants.js';
import { Duties } from './duties.js';
import { MembershipStoppedError } from './errors.js';
import { Exchanger } from './exchange/exchanger.js';
import { Repairer } from './exchange/repairer.js';
import { Topics } from './exchange/topics.js';
import { PauseDetector } from './pauseDetector.js';
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
  /** Handlers for requests of other members. */
  readonly handlers: MembershipHandlers;

  readonly #options: MembershipOptions;

  readonly #settings: MembershipSettings;

  readonly #logger: Logger;

  readonly #records: MemberRecords;

  readonly #duties: Duties;

  readonly #topics: Topics;

  readonly #pauses: Listeners<number>;

  readonly #pauseDetector: PauseDetector;

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
    this.#pauseDetector = this.#createPauseDetector();
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
      pauseDetector: this.#pauseDetector,
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

  /** Starts probing and joins through the seeds, without waiting until it has joined. */
  start(): void {
    this.#isRunning = true;
    this.#pauseDetector.start();
    this.#timers.start();
    this.#runDetached(this.#healer.run());
  }

  /** Stops immediately, as if the process had died. */
  stop(): void {
    this.#isRunning = false;
    this.#timers.stop();
    this.#pauseDetector.stop();
  }

  /** Announces that this member leaves for good, then stops. */
  async leave(): Promise<void> {
    this.#records.leave();
    const recipients = [
      ...sampleMembers(this.#listLocalOthers(), LEAVE_FANOUT, this.#options.random),
      ...this.listRelays(),
    ];
    await Promise.allSettled(recipients.map((member) => this.#exchanger.exchange(member)));
    this.stop();
  }

  /**
   * Exchanges updates with all members of the data centre at once, for rare updates that cannot
   * wait for the regular exchanges.
   */
  async spread(): Promise<void> {
    const recipients = this.#listLocalOthers();
    await Promise.allSettled(recipients.map((member) => this.#exchanger.exchange(member)));
  }

  /** Registers a topic whose payload is sent along with exchanges. */
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
    this.#pauseDetector.check();
    return this.#exchanger.answer(message);
  }

  #createRepairer(): Repairer {
    return new Repairer(this.#records, this.#exchanger, this.#settings.repairIntervalMs);
  }

  #createPauseDetector(): PauseDetector {
    const { pauseThresholdMs } = this.#settings;
    return new PauseDetector(
      pauseThresholdMs,
      pauseThresholdMs / PAUSE_CHECKS_PER_THRESHOLD,
      (pausedMs) => this.#recoverFromPause(pausedMs),
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
      relay: () => this.#runDetached(this.#relayRounds.run()),
      heal: () => this.#runHealing(),
      vmList: () => this.#runVmList(),
    };
    return new RoundTimers(intervals, handlers, this.#options.random, (error, type) =>
      this.#logger.error({ error: getErrorMessage(error), round: type }, 'membership round failed'),
    );
  }

  /** Rounds run concurrently, so that a slow answer does not delay the next round. */
  #runDetached(round: Promise<unknown>): void {
    round.catch((error: unknown) =>
      this.#logger.error({ error: getErrorMessage(error) }, 'membership round failed'),
    );
  }

  #runProbes(): void {
    this.#pauseDetector.check();
    this.#vmListRounds?.shortenUnlistedSuspicions();
    this.#records.declareExpiredDead();
    this.#records.table.forgetEnded(this.#settings.forgetAfterMs);
    this.#listProbeTargets().forEach((member) =>
      this.#runDetached(this.#prober.probe(member, this.#repairer)),
    );
    if (this.#hasNoPeers()) {
      this.#runDetached(this.#healer.run());
    }
  }

  /**
   * The next member of the data centre in turn, and members that have to learn that another data
   * centre suspects them.
   */
  #listProbeTargets(): ReadonlySet<Member> {
    const next = this.#order.next(this.#listLocalOthers());
    const suspects = this.#records.nextRemoteSuspects(REMOTE_SUSPECTS_PER_PERIOD);
    return new Set(next ? [next, ...suspects] : suspects);
  }

  #runHealing(): void {
    const healers = this.rankLocal('heal').slice(0, RELAYS_PER_DATA_CENTRE);
    if (!this.#hasNoPeers() && healers.includes(this.self)) {
      this.#runDetached(this.#healer.run());
    }
  }

  #runVmList(): void {
    if (this.#vmListRounds && this.ownsDuty('vmList')) {
      this.#runDetached(this.#vmListRounds.run());
    } else {
      this.#vmListRounds?.forgetList();
    }
  }

  #hasNoPeers(): boolean {
    return this.#records.listOthers().length === 0;
  }

  #listLocalOthers(): readonly Member[] {
    return this.listLocal().filter((member) => member !== this.self);
  }

  /**
   * While this process was frozen, other members may have declared it dead, and its own unanswered
   * probes do not show that they were. It would keep serving requests while its peers consider it
   * dead. After a pause it refutes at once, extends all suspicions by the lost time, and discards
   * its view if that is too old to be gossiped.
   */
  #recoverFromPause(pausedMs: number): void {
    this.#logger.warn({ pausedMs }, 'process was paused');
    this.#records.suspicions.extendAll(pausedMs);
    if (pausedMs > this.#settings.forgetAfterMs / 2) {
      this.#forgetOthers();
    }
    this.#records.refute();
    this.#pauses.notify(pausedMs);
  }

  #forgetOthers(): void {
    this.#healer.setFormerAddresses(this.listMembers().map((member) => member.address));
    this.#records.forgetOthers();
  }
}
