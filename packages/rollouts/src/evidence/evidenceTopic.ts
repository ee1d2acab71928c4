/**
 * Gossips evidence in the exchanges of the membership protocol, within a byte budget per message.
 */
import type { GossipTopic, MembershipView } from '@snipehaven/membership';
import { SCORE_BIN_COUNT, sumBins, type EvidenceKey, type EvidenceShare } from '@snipehaven/policy';
import {
  evidenceGossipSchema,
  type EvidenceGossip,
  type Member,
  type ShareTuple,
} from '@snipehaven/protocol';
import {
  LOCAL_EVIDENCE_BYTES,
  REMOTE_EVIDENCE_BYTES,
  ANTI_ENTROPY_BYTES,
  MAX_UNANNOUNCED_SHARE,
} from '../constants.js';
import { GossipQueues } from '../gossip/gossipQueues.js';
import { PayloadBudget } from '../gossip/payloadBudget.js';
import { formatCellKey, parseCellKey } from './cellKey.js';
import type { EvidenceCells } from './evidenceCells.js';
import { getAggregateSource } from './evidenceEntry.js';
import { decodeShare, encodeShare } from './shareCodec.js';

export interface EvidenceTopicOptions {
  readonly cells: EvidenceCells;
  readonly membership: MembershipView;
  /**
   * Whether the version is the candidate of a roll-out. Its changes are sent first and include
   * every counter change, not only ratings.
   */
  readonly isUrgent: (version: string) => boolean;
  readonly getRatedSeq: () => number | undefined;
  readonly recordRatedSeq: (seq: number) => void;
}

/**
 * Separates the parts of an update key. Updates within the data centre refer to one share, those
 * between data centres to a whole cell.
 */
const SHARE_SEPARATOR = '\n';

/** Capacity of `#announced`; when full it is cleared, so that all shares are announced again. */
const MAX_ANNOUNCED_SHARES = 20_000;

const formatShareKey = (cellKey: string, share: EvidenceShare): string =>
  [cellKey, share.source, share.epoch, share.era].join(SHARE_SEPARATOR);

export class EvidenceTopic implements GossipTopic {
  readonly name = 'evidence';

  readonly #options: EvidenceTopicOptions;

  readonly #urgentQueues: GossipQueues;

  readonly #queues: GossipQueues;

  #antiEntropyCursor = 0;

  /** Rating counts per share at its last announcement. */
  readonly #announced = new Map<
    string,
    { readonly ratings: number; readonly lowRatings: number }
  >();

  constructor(options: EvidenceTopicOptions) {
    this.#options = options;
    this.#urgentQueues = new GossipQueues(options.membership);
    this.#queues = new GossipQueues(options.membership);
    options.cells.onChange((key, share) => this.#enqueueChange(key, share));
  }

  getPayload(peer: Member): EvidenceGossip | undefined {
    const shares = this.#queues.isLocal(peer)
      ? this.#listForLocal(peer)
      : this.#listForRemote(peer);
    const ratedSeq = this.#options.getRatedSeq();
    if (shares.length === 0 && ratedSeq === undefined) {
      return undefined;
    }
    return { shares: [...shares], ...(ratedSeq === undefined ? {} : { ratedSeq }) };
  }

  mergePayload(payload: unknown): void {
    const gossip = evidenceGossipSchema.parse(payload);
    gossip.shares.forEach((tuple) => this.#mergeShare(tuple));
    if (gossip.ratedSeq !== undefined) {
      this.#options.recordRatedSeq(gossip.ratedSeq);
    }
  }

  #mergeShare(tuple: ShareTuple): void {
    const key = parseCellKey(tuple[0]);
    const share = decodeShare(tuple);
    if (key !== undefined && share !== undefined) {
      this.#options.cells.merge({ key, share });
    }
  }

  /**
   * Every answer changes the outcome counters of its cell. Except for candidates, such changes
   * alone are not announced: they are sent by anti-entropy or with the next rating of the cell,
   * which leaves the byte budget to ratings, on which decisions are based.
   */
  #enqueueChange(key: EvidenceKey, share: EvidenceShare): void {
    const cellKey = formatCellKey(key);
    const shareKey = formatShareKey(cellKey, share);
    const isUrgent = this.#options.isUrgent(key.version);
    if (!isUrgent && !this.#shouldAnnounce(cellKey, shareKey, share)) {
      return;
    }
    const queues = isUrgent ? this.#urgentQueues : this.#queues;
    queues.pushLocal(shareKey);
    queues.pushRemote(cellKey);
  }

  /**
   * Whether enough ratings were added since the last announcement. All daemons together may leave a
   * fraction of the known ratings unannounced, but no low score, because drift detection relies on
   * those. An empty share announces a new era.
   */
  #shouldAnnounce(cellKey: string, shareKey: string, { counts }: EvidenceShare): boolean {
    const ratings = sumBins(counts.scoreCounts);
    const lowRatings = sumBins(counts.scoreCounts.slice(0, SCORE_BIN_COUNT / 2));
    const announced = this.#announced.get(shareKey) ?? { ratings: 0, lowRatings: 0 };
    const isEmpty = ratings + counts.answerCount === 0;
    const isEnough = ratings - announced.ratings >= this.#getAnnouncementThreshold(cellKey);
    if (!isEmpty && !isEnough && lowRatings === announced.lowRatings) {
      return false;
    }
    if (this.#announced.size >= MAX_ANNOUNCED_SHARES) {
      this.#announced.clear();
    }
    this.#announced.set(shareKey, { ratings, lowRatings });
    return true;
  }

  #getAnnouncementThreshold(cellKey: string): number {
    const { cells, membership } = this.#options;
    const known = sumBins(cells.get(cellKey)?.getDecayedCounts().scoreCounts ?? []);
    return Math.max(1, (known * MAX_UNANNOUNCED_SHARE) / membership.listLocal().length);
  }

  #listForLocal(peer: Member): readonly ShareTuple[] {
    const { cells } = this.#options;
    const shares: ShareTuple[] = [];
    const budget = new PayloadBudget(LOCAL_EVIDENCE_BYTES);
    const add = (shareKey: string): boolean => {
      const [cellKey = '', source = '', epoch, era] = shareKey.split(SHARE_SEPARATOR);
      const name = { source, epoch: Number(epoch), era: Number(era) };
      const share = cells.get(cellKey)?.findLocalShare(name);
      return share === undefined || this.#tryAdd(cellKey, share, shares, budget);
    };
    this.#urgentQueues.collect(peer, add);
    this.#queues.collect(peer, add);
    this.#runAntiEntropyIfDue(true, shares);
    return shares;
  }

  /**
   * Sends only the aggregate of this data centre; aggregates of other data centres are sent by
   * anti-entropy.
   */
  #listForRemote(peer: Member): readonly ShareTuple[] {
    const { cells, membership } = this.#options;
    const shares: ShareTuple[] = [];
    const budget = new PayloadBudget(REMOTE_EVIDENCE_BYTES);
    const source = getAggregateSource(membership.self.dataCentre);
    const add = (cellKey: string): boolean => {
      const latest = cells.get(cellKey)?.cell.shares.findLast((share) => share.source === source);
      return latest === undefined || this.#tryAdd(cellKey, latest, shares, budget);
    };
    this.#urgentQueues.collect(peer, add);
    this.#queues.collect(peer, add);
    this.#runAntiEntropyIfDue(false, shares);
    return shares;
  }

  /**
   * Each update is sent a bounded number of times, so members that were partitioned or have just
   * started miss some and their evidence would stay different. A small part of the messages
   * therefore cycles through all known shares.
   */
  #runAntiEntropyIfDue(isLocal: boolean, shares: ShareTuple[]): void {
    if (this.#queues.isAntiEntropyDue()) {
      this.#addAntiEntropyShares(isLocal, shares);
    }
  }

  #addAntiEntropyShares(isLocal: boolean, shares: ShareTuple[]): void {
    const { cells } = this.#options;
    const { cellKeys } = cells;
    const budget = new PayloadBudget(ANTI_ENTROPY_BYTES);
    for (let steps = 0; steps < cellKeys.length; steps += 1) {
      const cellKey = cellKeys[this.#antiEntropyCursor % cellKeys.length] ?? '';
      const round = Math.floor(this.#antiEntropyCursor / cellKeys.length);
      const entry = cells.get(cellKey);
      const known = (isLocal ? entry?.localShares : entry?.cell.shares) ?? [];
      const share = known[round % Math.max(1, known.length)];
      if (share !== undefined && !this.#tryAdd(cellKey, share, shares, budget)) {
        return;
      }
      this.#antiEntropyCursor += 1;
    }
  }

  #tryAdd(
    cellKey: string,
    share: EvidenceShare,
    shares: ShareTuple[],
    budget: PayloadBudget,
  ): boolean {
    const tuple = encodeShare(cellKey, share);
    if (!budget.tryConsume(tuple)) {
      return false;
    }
    shares.push(tuple);
    return true;
  }
}
