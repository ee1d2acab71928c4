/** Gossips roll-out state in the exchanges of the membership protocol. */
import type { GossipTopic, MembershipView } from '@snipehaven/membership';
import type { PairShare } from '@snipehaven/policy';
import { rolloutGossipSchema, type Member, type RolloutGossip } from '@snipehaven/protocol';
import { LOCAL_ROLLOUT_BYTES, REMOTE_ROLLOUT_BYTES, ANTI_ENTROPY_BYTES } from '../constants.js';
import { GossipQueues } from '../gossip/gossipQueues.js';
import { PayloadBudget } from '../gossip/payloadBudget.js';
import {
  decodeExposure,
  decodeGrant,
  decodePairs,
  encodeExposure,
  encodeGrant,
  encodePairs,
} from './rolloutCodec.js';
import {
  getDataCentreSource,
  isDataCentreSource,
  type RolloutStates,
  type StateKind,
} from './rolloutStates.js';

/** A gossip message under construction. */
type GossipDraft = {
  readonly [Part in keyof RolloutGossip]-?: NonNullable<RolloutGossip[Part]>;
};

const SEPARATOR = '\n';

const formatKey = (kind: StateKind, rolloutId: string, source: string): string =>
  [kind, rolloutId, source].join(SEPARATOR);

const mapDefined = <Item, Result>(
  item: Item | undefined,
  map: (item: Item) => Result,
): Result | undefined => (item === undefined ? undefined : map(item));

const tryPush = <Item>(items: Item[], item: Item | undefined, budget: PayloadBudget): boolean => {
  if (item === undefined || items.includes(item)) {
    return true;
  }
  if (!budget.tryConsume(item)) {
    return false;
  }
  items.push(item);
  return true;
};

export interface RolloutTopicOptions {
  readonly states: RolloutStates;
  readonly membership: MembershipView;
  /** Whether the roll-out is declared; state of other roll-outs is ignored. */
  readonly isDeclared: (rolloutId: string) => boolean;
}

export class RolloutTopic implements GossipTopic {
  readonly name = 'rollouts';

  readonly #options: RolloutTopicOptions;

  readonly #queues: GossipQueues;

  /** Source name under which the pairs of this data centre are sent to the others. */
  readonly #localSource: string;

  #antiEntropyCursor = 0;

  constructor(options: RolloutTopicOptions) {
    this.#options = options;
    this.#queues = new GossipQueues(options.membership);
    this.#localSource = getDataCentreSource(options.membership.self.dataCentre);
    options.states.onChange((kind, rolloutId, source) =>
      this.#enqueueUpdate(kind, rolloutId, source),
    );
  }

  getPayload(peer: Member): RolloutGossip | undefined {
    const gossip: GossipDraft = { progress: [], grants: [], exposures: [], pairs: [] };
    const isLocal = this.#queues.isLocal(peer);
    const budget = new PayloadBudget(isLocal ? LOCAL_ROLLOUT_BYTES : REMOTE_ROLLOUT_BYTES);
    this.#queues.collect(peer, (key) => this.#tryAdd(key, gossip, budget));
    if (this.#queues.isAntiEntropyDue()) {
      this.#addAntiEntropyItems(gossip, isLocal);
    }
    const filled = Object.entries(gossip).filter(([, items]) => items.length > 0);
    return filled.length === 0 ? undefined : Object.fromEntries(filled);
  }

  mergePayload(payload: unknown): void {
    const { states, isDeclared } = this.#options;
    const gossip = rolloutGossipSchema.parse(payload);
    const { progress = [], grants = [], exposures = [], pairs = [] } = gossip;
    const isKnown = ({ rolloutId }: { readonly rolloutId: string }): boolean =>
      isDeclared(rolloutId);
    progress.filter(isKnown).forEach((item) => states.mergeProgress(item));
    grants
      .map(decodeGrant)
      .filter(isKnown)
      .forEach((grant) => states.mergeGrant(grant));
    exposures
      .map(decodeExposure)
      .filter(isKnown)
      .forEach((exposure) => states.mergeExposure(exposure));
    pairs
      .map(decodePairs)
      .filter((received) => isKnown(received) && received.share.source !== this.#localSource)
      .forEach(({ rolloutId, share }) => states.mergePairs(rolloutId, share));
  }

  /**
   * Cycles through all items, so that peers that missed an update or have just started receive it.
   */
  #addAntiEntropyItems(gossip: GossipDraft, isLocal: boolean): void {
    const keys = this.#listKeys(isLocal);
    const budget = new PayloadBudget(ANTI_ENTROPY_BYTES);
    for (let steps = 0; steps < keys.length; steps += 1) {
      const key = keys[this.#antiEntropyCursor % keys.length] ?? '';
      if (!this.#tryAdd(key, gossip, budget)) {
        return;
      }
      this.#antiEntropyCursor += 1;
    }
  }

  /**
   * Pairs of single daemons are sent within the data centre only; other data centres receive the
   * aggregate.
   */
  #enqueueUpdate(kind: StateKind, rolloutId: string, source: string): void {
    const key = formatKey(kind, rolloutId, source);
    this.#queues.pushLocal(key);
    if (kind !== 'pairs') {
      this.#queues.pushRemote(key);
    } else if (!isDataCentreSource(source)) {
      this.#queues.pushRemote(formatKey(kind, rolloutId, this.#localSource));
    }
  }

  #listPairSources(rolloutId: string, isLocal: boolean): readonly string[] {
    const sources = this.#options.states.listPairs(rolloutId).map(({ source }) => source);
    const hasLocal = sources.some((source) => !isDataCentreSource(source));
    if (isLocal) {
      return sources;
    }
    return hasLocal ? [this.#localSource] : [];
  }

  #listKeys(isLocal: boolean): readonly string[] {
    const { states } = this.#options;
    return states
      .listRolloutIds()
      .flatMap((rolloutId) => [
        formatKey('progress', rolloutId, ''),
        ...states
          .listGrants(rolloutId)
          .map((grant) => formatKey('grant', rolloutId, grant.incarnation)),
        ...states
          .listExposures(rolloutId)
          .map((exposure) => formatKey('exposure', rolloutId, exposure.incarnation)),
        ...this.#listPairSources(rolloutId, isLocal).map((source) =>
          formatKey('pairs', rolloutId, source),
        ),
      ]);
  }

  #findPairs(rolloutId: string, source: string): PairShare | undefined {
    const { states } = this.#options;
    return source === this.#localSource
      ? states.getLocalPairs(rolloutId, source)
      : states.getPairs(rolloutId, source);
  }

  /** Returns false if the item does not fit; an item that no longer exists needs no space. */
  #tryAdd(key: string, gossip: GossipDraft, budget: PayloadBudget): boolean {
    const [kind, rolloutId = '', incarnation = ''] = key.split(SEPARATOR);
    return this.#adders[kind as StateKind](rolloutId, incarnation, gossip, budget);
  }

  readonly #adders: Readonly<
    Record<
      StateKind,
      (
        rolloutId: string,
        incarnation: string,
        gossip: GossipDraft,
        budget: PayloadBudget,
      ) => boolean
    >
  > = {
    progress: (rolloutId, _incarnation, gossip, budget) =>
      tryPush(gossip.progress, this.#options.states.getProgress(rolloutId), budget),
    grant: (rolloutId, incarnation, gossip, budget) =>
      tryPush(
        gossip.grants,
        mapDefined(this.#options.states.getGrantMessage(rolloutId, incarnation), encodeGrant),
        budget,
      ),
    exposure: (rolloutId, incarnation, gossip, budget) =>
      tryPush(
        gossip.exposures,
        mapDefined(this.#options.states.getExposure(rolloutId, incarnation), encodeExposure),
        budget,
      ),
    pairs: (rolloutId, source, gossip, budget) =>
      tryPush(
        gossip.pairs,
        mapDefined(this.#findPairs(rolloutId, source), (share) =>
          encodePairs({ rolloutId, share }),
        ),
        budget,
      ),
  };
}
