/** Spreads evidence along with membership's exchanges, within a bounded number of bytes. */
import type { GossipTopic, MembershipView } from '@snipehaven/membership';
import type { EvidenceKey, EvidenceShare } from '@snipehaven/policy';
import {
  evidenceGossipSchema,
  type EvidenceGossip,
  type Member,
  type ShareTuple,
} from '@snipehaven/protocol';
import {
  LOCAL_EVIDENCE_BYTES,
  REMOTE_EVIDENCE_BYTES,
  REMOTE_TRANSMITS,
  SWEEP_BYTES,
  TRANSMITS_PER_LOG_SIZE,
} from '../constants.js';
import { PayloadBudget } from '../gossip/payloadBudget.js';
import { RumorQueue } from '../gossip/rumorQueue.js';
import { formatCellKey, parseCellKey } from './cellKey.js';
import type { EvidenceCells } from './evidenceCells.js';
import { getAggregateSource } from './evidenceEntry.js';
import { decodeShare, encodeShare } from './shareCodec.js';

export interface EvidenceTopicOptions {
  readonly cells: EvidenceCells;
  readonly membership: MembershipView;
  /** Versions whose endings matter at once, since a roll-out compares them. */
  readonly isWatched: (version: string) => boolean;
  readonly getRatedSeq: () => number | undefined;
  readonly noteRatedSeq: (seq: number) => void;
}

/** A rumor within the data centre names one share, one between data centres a whole cell. */
const SHARE_SEPARATOR = '\n';

const formatShareKey = (cellKey: string, share: EvidenceShare): string =>
  [cellKey, share.source, share.epoch, share.era].join(SHARE_SEPARATOR);

export class EvidenceTopic implements GossipTopic {
  readonly name = 'evidence';

  readonly #options: EvidenceTopicOptions;

  readonly #localNews = new RumorQueue();

  readonly #remoteNews = new Map<string, RumorQueue>();

  /** Cells changed since each was last sent between data centres. */
  #sweepAt = 0;

  /** Scores counted when a share was last put into the news, by share. */
  readonly #toldRatings = new Map<string, number>();

  constructor(options: EvidenceTopicOptions) {
    this.#options = options;
    options.cells.onChange((key, share) => this.#noteChange(key, share));
  }

  getPayload(peer: Member): EvidenceGossip | undefined {
    const { membership, getRatedSeq } = this.#options;
    const isLocal = peer.dataCentre === membership.self.dataCentre;
    const shares = isLocal ? this.#listForLocal() : this.#listForRemote(peer.dataCentre);
    const ratedSeq = getRatedSeq();
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
   * Each answer changes the counter of its endings; of versions that no roll-out compares these are left
   * to the sweep, so that ratings, which decide, come through.
   */
  #noteChange(key: EvidenceKey, share: EvidenceShare): void {
    const cellKey = formatCellKey(key);
    const shareKey = formatShareKey(cellKey, share);
    const ratings = share.counts.scoreCounts.reduce((sum, count) => sum + count, 0);
    const isRated = this.#toldRatings.get(shareKey) !== ratings;
    if (!isRated && !this.#options.isWatched(key.version)) {
      return;
    }
    this.#toldRatings.set(shareKey, ratings);
    this.#localNews.push(shareKey);
    this.#listOtherDataCentres().forEach((dataCentre) =>
      this.#getRemoteNews(dataCentre).push(cellKey),
    );
  }

  #listForLocal(): readonly ShareTuple[] {
    const { cells, membership } = this.#options;
    const shares: ShareTuple[] = [];
    const budget = new PayloadBudget(LOCAL_EVIDENCE_BYTES);
    const transmits =
      TRANSMITS_PER_LOG_SIZE * Math.ceil(Math.log10(membership.listLocal().length + 1));
    this.#localNews.take(transmits, (shareKey) => {
      const [cellKey = '', source = '', epoch, era] = shareKey.split(SHARE_SEPARATOR);
      const name = { source, epoch: Number(epoch), era: Number(era) };
      const share = cells.get(cellKey)?.findLocalShare(name);
      return share === undefined || this.#add(cellKey, share, shares, budget);
    });
    this.#sweep(true, shares);
    return shares;
  }

  /** The own data centre speaks for itself only; what it heard of others goes along with the sweep. */
  #listForRemote(dataCentre: string): readonly ShareTuple[] {
    const { cells, membership } = this.#options;
    const shares: ShareTuple[] = [];
    const budget = new PayloadBudget(REMOTE_EVIDENCE_BYTES);
    const source = getAggregateSource(membership.self.dataCentre);
    this.#getRemoteNews(dataCentre).take(REMOTE_TRANSMITS, (cellKey) => {
      const latest = cells.get(cellKey)?.cell.shares.findLast((share) => share.source === source);
      return latest === undefined || this.#add(cellKey, latest, shares, budget);
    });
    this.#sweep(false, shares);
    return shares;
  }

  /**
   * What goes wrong: news is sent along a bounded number of times, so a member that was cut off, or has
   * just started, never hears of some. One notices daemons whose evidence stays apart. A small part of
   * each message therefore goes round over all that is known.
   */
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

  #listOtherDataCentres(): readonly string[] {
    const { membership } = this.#options;
    return membership.listRelays().map(({ dataCentre }) => dataCentre);
  }

  #getRemoteNews(dataCentre: string): RumorQueue {
    const present = this.#remoteNews.get(dataCentre);
    if (present) {
      return present;
    }
    const created = new RumorQueue();
    this.#remoteNews.set(dataCentre, created);
    return created;
  }
}
