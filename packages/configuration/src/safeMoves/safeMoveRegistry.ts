/**
 * Manages the safe moves of one daemon: activates and lifts them, sends them to peers and persists
 * them in the table.
 */
import { getErrorMessage, sleep, type Logger, type Random } from '@snipehaven/common';
import type { GossipTopic, MembershipView } from '@snipehaven/membership';
import type { TableClient } from '@snipehaven/platform';
import type {
  Member,
  PeerTransport,
  PushSafeMoves,
  SafeMove,
  SafeMoveBatch,
} from '@snipehaven/protocol';
import type { EventType, TimelineRecorder } from '@snipehaven/timeline';
import type { ConfigurationSettings } from '../constants.js';
import { FanOut } from '../fanOut.js';
import type { SafeMoveKind, SafeMoves, SafeMoveStatus } from '../types.js';
import { SafeMoveLift } from './safeMoveLift.js';
import { getSafeMoveKey, type SafeMoveListener, SafeMoveState } from './safeMoveState.js';
import { SafeMoveTable } from './safeMoveTable.js';
import { SafeMoveTopic } from './safeMoveTopic.js';

export interface SafeMoveRegistryOptions {
  readonly table: TableClient;
  readonly transport: PeerTransport;
  readonly membership: MembershipView;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly random: Random;
  readonly settings: ConfigurationSettings;
}

/** Kinds of safe move that exclude a version from new work. */
const BLOCKING_KINDS: readonly SafeMoveKind[] = ['withdraw', 'quarantine'];

export class SafeMoveRegistry implements SafeMoves {
  readonly #options: SafeMoveRegistryOptions;

  readonly #state: SafeMoveState;

  readonly #table: SafeMoveTable;

  readonly #fanOut: FanOut<string>;

  readonly topic: GossipTopic;

  constructor(options: SafeMoveRegistryOptions) {
    const { logger, settings } = options;
    this.#options = options;
    this.#state = new SafeMoveState(logger);
    this.#fanOut = new FanOut<string>({
      ...options,
      send: (member, keys, isRelay) => this.#send(member, this.#state.listBatch(keys), isRelay),
    });
    this.#table = new SafeMoveTable({
      ...options,
      state: this.#state,
      broadcast: (keys) => this.#fanOut.broadcast(keys),
    });
    this.topic = new SafeMoveTopic(this.#state, settings.gossipRepeatMs, (peer, batch) =>
      this.#sendOrLog(peer, batch),
    );
    this.#state.onChange((move) => this.#record('safeMoveApplied', move));
  }

  /** State that booting and snapshots merge into and read from. */
  get state(): SafeMoveState {
    return this.#state;
  }

  get table(): SafeMoveTable {
    return this.#table;
  }

  run(signal: AbortSignal): Promise<void> {
    return this.#table.run(signal);
  }

  async activate(
    kind: SafeMoveKind,
    subject: string,
    reason: string,
    by: string,
  ): Promise<SafeMoveStatus> {
    const key = getSafeMoveKey(kind, subject);
    const move = this.#buildActive(key, reason, by);
    this.#state.merge({ moves: [move], durableKeys: [] });
    this.#record('safeMoveAccepted', move);
    this.#table.markAccepted(key);
    this.#fanOut.broadcast([key]);
    await Promise.race([this.#persistOrLog(key), sleep(this.#options.settings.durableWaitMs)]);
    return this.#getStatus(key);
  }

  async lift(
    kind: SafeMoveKind,
    subject: string,
    reason: string,
    by: string,
  ): Promise<SafeMoveStatus> {
    const key = getSafeMoveKey(kind, subject);
    const lift = new SafeMoveLift({ key, reason, by }, this.#state, this.#table);
    await lift.run(this.#options.settings, this.#options.random);
    this.#fanOut.broadcast([key]);
    return this.#getStatus(key);
  }

  isActive(kind: SafeMoveKind, subject: string): boolean {
    return this.#state.isActive(getSafeMoveKey(kind, subject));
  }

  isVersionBlocked(version: string): boolean {
    return BLOCKING_KINDS.some((kind) => this.isActive(kind, version));
  }

  list(): readonly SafeMoveStatus[] {
    return this.#state.list();
  }

  onChange(listener: SafeMoveListener): () => void {
    return this.#state.onChange(listener);
  }

  /** Merges the safe moves pushed by a peer. */
  async handlePush({ moves, durableKeys, isRelay }: PushSafeMoves): Promise<{
    readonly accepted: number;
  }> {
    const changed = this.#state.merge({ moves, durableKeys });
    if (isRelay) {
      void this.#fanOut.broadcastLocally(moves.map(({ key }) => key));
    }
    return { accepted: changed.length };
  }

  /**
   * An operator may lift a withdrawal at one daemon while another withdraws again at a daemon that
   * has not heard of the lift. If activating an active move were a no-op, the lift would undo the
   * second withdrawal on arrival. Each activation therefore takes the next generation. That is at
   * least the generation of the lift, and at equal generations the active move wins.
   */
  #buildActive(key: string, reason: string, by: string): SafeMove {
    const present = this.#state.get(key)?.move;
    const generation = (present?.generation ?? 0) + 1;
    return { key, generation, isActive: true, reason, by, atMs: Date.now() };
  }

  #getStatus(key: string): SafeMoveStatus {
    const status = this.#state.get(key);
    if (!status) {
      throw new Error(`${key} is unknown`);
    }
    return status;
  }

  async #persistOrLog(key: string): Promise<void> {
    try {
      await this.#table.persist(key);
    } catch (error) {
      const fault = getErrorMessage(error);
      this.#options.logger.warn(
        { key, fault },
        'safe move is active but not yet written to the table',
      );
    }
  }

  async #send(member: Member, batch: SafeMoveBatch, isRelay: boolean): Promise<void> {
    const peer = this.#options.transport.getPeer(member.address);
    await peer.configuration.pushSafeMoves({ ...batch, isRelay });
  }

  #sendOrLog(member: Member, batch: SafeMoveBatch): void {
    this.#send(member, batch, false).catch((error: unknown) =>
      this.#options.logger.debug(
        { fault: getErrorMessage(error) },
        'could not send safe moves to the peer',
      ),
    );
  }

  #record(type: EventType, { key, generation, isActive, reason, by }: SafeMove): void {
    const separatorAt = key.indexOf('/');
    const subject = key.slice(separatorAt + 1);
    const isVersion = BLOCKING_KINDS.some((kind) => kind === key.slice(0, separatorAt));
    const detail = { key, generation, isActive, reason, by };
    const about = isVersion ? { version: subject } : { upstream: subject };
    this.#options.timeline.record(type, about, detail);
  }
}
