/** Spreads evidence along with membership's exchanges, within a bounded number of bytes. */
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
  SWEEP_BYTES,
  UNTOLD_SHARE,
} from '../constants.js';
import { NewsQueues } from '../gossip/newsQueues.js';
import { PayloadBudget } from '../gossip/payloadBudget.js';
import { formatCellKey, parseCellKey } from './cellKey.js';
import type { EvidenceCells } from './evidenceCells.js';
import { getAggregateSource } from './evidenceEntry.js';
import { decodeShare, encodeShare } from './shareCodec.js';

export interface EvidenceTopicOptions {
  readonly cells: EvidenceCells;
  readonly membership: MembershipView;
  /** Candidates of roll-outs: all about them goes first, each ending too. */
  readonly isUrgent: (version: string) => boolean;
  readonly getRatedSeq: () => number | undefined;
  readonly noteRatedSeq: (seq: number) => void;
}

/** A rumor within the data centre names one share, one between data centres a whole cell. */
const SHARE_SEPARATOR = '\n';

/** Shares whose told ratings are remembered; beyond it all count as news once more. */
const MAX_TOLD = 20_000;

const formatShareKey = (cellKey: string, share: EvidenceShare): string =>
  [cellKey, share.source, share.epoch, share.era].join(SHARE_SEPARATOR);

export class EvidenceTopic implements GossipTopic {
  readonly name = 'evidence';

  readonly #options: EvidenceTopicOptions;

  readonly #urgent: NewsQueues;

  readonly #news: NewsQueues;

  #sweepAt = 0;

  /** What was counted when a share was last in the news, by share. */
  readonly #told = new Map<string, { readonly ratings: number; readonly lowRatings: number }>();

  constructor(options: EvidenceTopicOptions) {
    this.#options = options;
    this.#urgent = new NewsQueues(options.membership);
    this.#news = new NewsQueues(options.membership);
    options.cells.onChange((key, share) => this.#noteChange(key, share));
  }

  getPayload(peer: Member): EvidenceGossip | undefined {
    const shares = this.#news.isLocal(peer) ? this.#listForLocal(peer) : this.#listForRemote(peer);
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
      this.#options.noteRatedSeq(gossip.ratedSeq);
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
   * Each answer changes the counter of its endings. But for candidates these are left to the sweep, and to
   * the next rating in the same cell, so that ratings, which decide, come through.
   */
  #noteChange(key: EvidenceKey, share: EvidenceShare): void {
    const cellKey = formatCellKey(key);
    const shareKey = formatShareKey(cellKey, share);
    const isUrgent = this.#options.isUrgent(key.version);
    if (!isUrgent && !this.#isRated(cellKey, shareKey, share)) {
      return;
    }
    const news = isUrgent ? this.#urgent : this.#news;
    news.pushLocal(shareKey);
    news.pushRemote(cellKey);
  }

  /**
   * Whether enough ratings came since the share was last in the news. All daemons together may hold back a
   * part of what is known, but no low score, for drift shows in these. An empty share tells of a new era.
   */
  #isRated(cellKey: string, shareKey: string, { counts }: EvidenceShare): boolean {
    const ratings = sumBins(counts.scoreCounts);
    const lowRatings = sumBins(counts.scoreCounts.slice(0, SCORE_BIN_COUNT / 2));
    const told = this.#told.get(shareKey) ?? { ratings: 0, lowRatings: 0 };
    const isEmpty = ratings + counts.answerCount === 0;
    const isEnough = ratings - told.ratings >= this.#getNewsThreshold(cellKey);
    if (!isEmpty && !isEnough && lowRatings === told.lowRatings) {
      return false;
    }
    if (this.#told.size >= MAX_TOLD) {
      this.#told.clear();
    }
    this.#told.set(shareKey, { ratings, lowRatings });
    return true;
  }

  #getNewsThreshold(cellKey: string): number {
    const { cells, membership } = this.#options;
    const known = sumBins(cells.get(cellKey)?.getFolded().scoreCounts ?? []);
    return Math.max(1, (known * UNTOLD_SHARE) / membership.listLocal().length);
  }

  #listForLocal(peer: Member): readonly ShareTuple[] {
    const { cells } = this.#options;
    const shares: ShareTuple[] = [];
    const budget = new PayloadBudget(LOCAL_EVIDENCE_BYTES);
    const add = (shareKey: string): boolean => {
      const [cellKey = '', source = '', epoch, era] = shareKey.split(SHARE_SEPARATOR);
      const name = { source, epoch: Number(epoch), era: Number(era) };
      const share = cells.get(cellKey)?.findLocalShare(name);
      return share === undefined || this.#add(cellKey, share, shares, budget);
    };
    this.#urgent.take(peer, add);
    this.#news.take(peer, add);
    this.#sweepIfDue(true, shares);
    return shares;
  }

  /** The own data centre speaks for itself only; what it heard of others goes along with the sweep. */
  #listForRemote(peer: Member): readonly ShareTuple[] {
    const { cells, membership } = this.#options;
    const shares: ShareTuple[] = [];
    const budget = new PayloadBudget(REMOTE_EVIDENCE_BYTES);
    const source = getAggregateSource(membership.self.dataCentre);
    const add = (cellKey: string): boolean => {
      const latest = cells.get(cellKey)?.cell.shares.findLast((share) => share.source === source);
      return latest === undefined || this.#add(cellKey, latest, shares, budget);
    };
    this.#urgent.take(peer, add);
    this.#news.take(peer, add);
    this.#sweepIfDue(false, shares);
    return shares;
  }

  /**
   * What goes wrong: news is sent along a bounded number of times, so a member that was cut off, or has
   * just started, never hears of some. One notices daemons whose evidence stays apart. A small part of
   * each message therefore goes round over all that is known.
   */
  #sweepIfDue(isLocal: boolean, shares: ShareTuple[]): void {
    if (this.#news.isSweepDue()) {
      this.#sweep(isLocal, shares);
    }
  }

  #sweep(isLocal: boolean, shares: ShareTuple[]): void {
    const { cells } = this.#options;
    const { cellKeys } = cells;
    const budget = new PayloadBudget(SWEEP_BYTES);
    for (let steps = 0; steps < cellKeys.length; steps += 1) {
      const cellKey = cellKeys[this.#sweepAt % cellKeys.length] ?? '';
      const round = Math.floor(this.#sweepAt / cellKeys.length);
      const entry = cells.get(cellKey);
      const known = (isLocal ? entry?.localShares : entry?.cell.shares) ?? [];
      const share = known[round % Math.max(1, known.length)];
      if (share !== undefined && !this.#add(cellKey, share, shares, budget)) {
        return;
      }
      this.#sweepAt += 1;
    }
  }

  #add(
    cellKey: string,
    share: EvidenceShare,
    shares: ShareTuple[],
    budget: PayloadBudget,
  ): boolean {
    const tuple = encodeShare(cellKey, share);
    if (!budget.take(tuple)) {
      return false;
    }
    shares.push(tuple);
    return true;
  }
}
