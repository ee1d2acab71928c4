/** Spreads the state of roll-outs along with membership's exchanges. */
import type { GossipTopic, MembershipView } from '@snipehaven/membership';
import type { PairShare } from '@snipehaven/policy';
import { rolloutGossipSchema, type Member, type RolloutGossip } from '@snipehaven/protocol';
import { LOCAL_ROLLOUT_BYTES, REMOTE_ROLLOUT_BYTES, SWEEP_BYTES } from '../constants.js';
import { NewsQueues } from '../gossip/newsQueues.js';
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

/** The lists of a message that is being filled. */
type MutableGossip = {
  readonly [Part in keyof RolloutGossip]-?: NonNullable<RolloutGossip[Part]>;
};

const SEPARATOR = '\n';

const joinKey = (kind: StateKind, rolloutId: string, source: string): string =>
  [kind, rolloutId, source].join(SEPARATOR);

const mapDefined = <Item, Result>(
  item: Item | undefined,
  map: (item: Item) => Result,
): Result | undefined => (item === undefined ? undefined : map(item));

const put = <Item>(items: Item[], item: Item | undefined, budget: PayloadBudget): boolean => {
  if (item === undefined || items.includes(item)) {
    return true;
  }
  if (!budget.take(item)) {
    return false;
  }
  items.push(item);
  return true;
};

export interface RolloutTopicOptions {
  readonly states: RolloutStates;
  readonly membership: MembershipView;
  /** Roll-outs that are declared; what is said of others is passed over. */
  readonly isDeclared: (rolloutId: string) => boolean;
}

export class RolloutTopic implements GossipTopic {
  readonly name = 'rollouts';

  readonly #options: RolloutTopicOptions;

  readonly #news: NewsQueues;

  /** Under which this data centre's pairs go to the others. */
  readonly #ownSource: string;

  #sweepAt = 0;

  constructor(options: RolloutTopicOptions) {
    this.#options = options;
    this.#news = new NewsQueues(options.membership);
    this.#ownSource = getDataCentreSource(options.membership.self.dataCentre);
    options.states.onChange((kind, rolloutId, source) => this.#noteNews(kind, rolloutId, source));
  }

  getPayload(peer: Member): RolloutGossip | undefined {
    const gossip: MutableGossip = { progress: [], grants: [], exposures: [], pairs: [] };
    const isLocal = this.#news.isLocal(peer);
    const budget = new PayloadBudget(isLocal ? LOCAL_ROLLOUT_BYTES : REMOTE_ROLLOUT_BYTES);
    this.#news.take(peer, (key) => this.#add(key, gossip, budget));
    if (this.#news.isSweepDue()) {
      this.#sweep(gossip, isLocal);
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
      .filter((told) => isKnown(told) && told.share.source !== this.#ownSource)
      .forEach(({ rolloutId, share }) => states.mergePairs(rolloutId, share));
  }

  /** Whoever missed the news, or has just started, learns it from what goes round again and again. */
  #sweep(gossip: MutableGossip, isLocal: boolean): void {
    const keys = this.#listKeys(isLocal);
    const budget = new PayloadBudget(SWEEP_BYTES);
    for (let steps = 0; steps < keys.length; steps += 1) {
      const key = keys[this.#sweepAt % keys.length] ?? '';
      if (!this.#add(key, gossip, budget)) {
        return;
      }
      this.#sweepAt += 1;
    }
  }

  /** Pairs of single daemons stay in the data centre; the others hear of their sum. */
  #noteNews(kind: StateKind, rolloutId: string, source: string): void {
    const key = joinKey(kind, rolloutId, source);
    this.#news.pushLocal(key);
    if (kind !== 'pairs') {
      this.#news.pushRemote(key);
    } else if (!isDataCentreSource(source)) {
      this.#news.pushRemote(joinKey(kind, rolloutId, this.#ownSource));
    }
  }

  #listPairSources(rolloutId: string, isLocal: boolean): readonly string[] {
    const sources = this.#options.states.listPairs(rolloutId).map(({ source }) => source);
    const hasLocal = sources.some((source) => !isDataCentreSource(source));
    if (isLocal) {
      return sources;
    }
    return hasLocal ? [this.#ownSource] : [];
  }

  #listKeys(isLocal: boolean): readonly string[] {
    const { states } = this.#options;
    return states
      .listRolloutIds()
      .flatMap((rolloutId) => [
        joinKey('progress', rolloutId, ''),
        ...states
          .listGrants(rolloutId)
          .map((grant) => joinKey('grant', rolloutId, grant.incarnation)),
        ...states
          .listExposures(rolloutId)
          .map((exposure) => joinKey('exposure', rolloutId, exposure.incarnation)),
        ...this.#listPairSources(rolloutId, isLocal).map((source) =>
          joinKey('pairs', rolloutId, source),
        ),
      ]);
  }

  #findPairs(rolloutId: string, source: string): PairShare | undefined {
    const { states } = this.#options;
    return source === this.#ownSource
      ? states.getLocalPairs(rolloutId, source)
      : states.getPairs(rolloutId, source);
  }

  /** False where the item has no room; an item that is gone needs none. */
  #add(key: string, gossip: MutableGossip, budget: PayloadBudget): boolean {
    const [kind, rolloutId = '', incarnation = ''] = key.split(SEPARATOR);
    return this.#adders[kind as StateKind](rolloutId, incarnation, gossip, budget);
  }

  readonly #adders: Readonly<
    Record<
      StateKind,
      (
        rolloutId: string,
        incarnation: string,
        gossip: MutableGossip,
        budget: PayloadBudget,
      ) => boolean
    >
  > = {
    progress: (rolloutId, _incarnation, gossip, budget) =>
      put(gossip.progress, this.#options.states.getProgress(rolloutId), budget),
    grant: (rolloutId, incarnation, gossip, budget) =>
      put(
        gossip.grants,
        mapDefined(this.#options.states.getGrantMessage(rolloutId, incarnation), encodeGrant),
        budget,
      ),
    exposure: (rolloutId, incarnation, gossip, budget) =>
      put(
        gossip.exposures,
        mapDefined(this.#options.states.getExposure(rolloutId, incarnation), encodeExposure),
        budget,
      ),
    pairs: (rolloutId, source, gossip, budget) =>
      put(
        gossip.pairs,
        mapDefined(this.#findPairs(rolloutId, source), (share) =>
          encodePairs({ rolloutId, share }),
        ),
        budget,
      ),
  };
}
