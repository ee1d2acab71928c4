/** Spreads the state of roll-outs along with membership's exchanges. */
import type { GossipTopic, MembershipView } from '@snipehaven/membership';
import { rolloutGossipSchema, type Member, type RolloutGossip } from '@snipehaven/protocol';
import { LOCAL_ROLLOUT_BYTES, REMOTE_ROLLOUT_BYTES, SWEEP_BYTES } from '../constants.js';
import { NewsQueues } from '../gossip/newsQueues.js';
import { PayloadBudget } from '../gossip/payloadBudget.js';
import { decodeExposure, decodeGrant, encodeExposure, encodeGrant } from './rolloutCodec.js';
import type { RolloutStates, StateKind } from './rolloutStates.js';

/** The lists of a message that is being filled. */
type MutableGossip = {
  readonly [Part in keyof RolloutGossip]-?: NonNullable<RolloutGossip[Part]>;
};

const SEPARATOR = '\n';

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

  #sweepAt = 0;

  constructor(options: RolloutTopicOptions) {
    this.#options = options;
    this.#news = new NewsQueues(options.membership);
    options.states.onChange((kind, rolloutId, incarnation) => {
      const key = [kind, rolloutId, incarnation].join(SEPARATOR);
      this.#news.pushLocal(key);
      this.#news.pushRemote(key);
    });
  }

  getPayload(peer: Member): RolloutGossip | undefined {
    const gossip: MutableGossip = { progress: [], grants: [], exposures: [] };
    const isLocal = this.#news.isLocal(peer);
    const budget = new PayloadBudget(isLocal ? LOCAL_ROLLOUT_BYTES : REMOTE_ROLLOUT_BYTES);
    this.#news.take(peer, (key) => this.#add(key, gossip, budget));
    if (this.#news.isSweepDue()) {
      this.#sweep(gossip);
    }
    const filled = Object.entries(gossip).filter(([, items]) => items.length > 0);
    return filled.length === 0 ? undefined : Object.fromEntries(filled);
  }

  mergePayload(payload: unknown): void {
    const { states, isDeclared } = this.#options;
    const { progress = [], grants = [], exposures = [] } = rolloutGossipSchema.parse(payload);
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
  }

  /** Whoever missed the news, or has just started, learns it from what goes round again and again. */
  #sweep(gossip: MutableGossip): void {
    const keys = this.#listKeys();
    const budget = new PayloadBudget(SWEEP_BYTES);
    for (let steps = 0; steps < keys.length; steps += 1) {
      const key = keys[this.#sweepAt % keys.length] ?? '';
      if (!this.#add(key, gossip, budget)) {
        return;
      }
      this.#sweepAt += 1;
    }
  }

  #listKeys(): readonly string[] {
    const { states } = this.#options;
    const join = (kind: StateKind, rolloutId: string, incarnation: string): string =>
      [kind, rolloutId, incarnation].join(SEPARATOR);
    return states
      .listRolloutIds()
      .flatMap((rolloutId) => [
        join('progress', rolloutId, ''),
        ...states.listGrants(rolloutId).map((grant) => join('grant', rolloutId, grant.incarnation)),
        ...states
          .listExposures(rolloutId)
          .map((exposure) => join('exposure', rolloutId, exposure.incarnation)),
      ]);
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
  };
}
