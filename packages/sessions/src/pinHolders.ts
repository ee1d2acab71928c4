/** Who holds the pin of a session, and the calls to them. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import {
  PeerUnreachableError,
  type Member,
  type PeerTransport,
  type SessionHandlers,
} from '@snipehaven/protocol';
import { getBucket, getBucketKey, getSessionKey } from './pinRow.js';
import type { Pin, PinSettings } from './types.js';
import { withinTime } from './withinTime.js';

/** A session and who is responsible for it. */
export interface Place {
  readonly teamUid: string;
  readonly session: string;
  readonly key: string;
  readonly bucket: number;
  /** Owner and replica; only the owner where the data centre has a single daemon. */
  readonly holders: readonly Member[];
}

export interface PinHoldersOptions {
  readonly membership: Pick<MembershipView, 'self' | 'rankLocal'>;
  readonly transport: PeerTransport;
  readonly logger: Logger;
  readonly settings: Pick<PinSettings, 'bucketCount' | 'peerWaitMs' | 'patientPeerWaitMs'>;
  /** Whether a holder may have to look up for long. */
  readonly isPatient: () => boolean;
}

const HOLDER_COUNT = 2;
/** Former holders rank right after the members that came since; so many are asked for a copy. */
const WIDE_COUNT = 8;

export class PinHolders {
  readonly #options: PinHoldersOptions;

  constructor(options: PinHoldersOptions) {
    this.#options = options;
  }

  locate(teamUid: string, session: string): Place {
    const key = getSessionKey(teamUid, session);
    const bucket = getBucket(key, this.#options.settings.bucketCount);
    return { teamUid, session, key, bucket, holders: this.#rank(bucket).slice(0, HOLDER_COUNT) };
  }

  isSelf(member: Member): boolean {
    return member.incarnation === this.#options.membership.self.incarnation;
  }

  ownsBucket(bucket: number): boolean {
    const [owner] = this.#rank(bucket);
    return owner !== undefined && this.isSelf(owner);
  }

  /** The holder besides this daemon that copies go to. */
  getReplica({ holders }: Place): Member | undefined {
    return holders.find((holder) => !this.isSelf(holder));
  }

  /**
   * What goes wrong: the owner dies, and until membership notices, every request of its sessions fails
   * or loses its pin. One notices sessions that change version after a daemon's death. Hence the replica
   * is asked next, and when neither answers this daemon stands in with what it and the table know.
   */
  async ask<Answer>(
    { holders }: Place,
    askSelf: () => Promise<Answer>,
    askPeer: (peer: SessionHandlers) => Promise<Answer>,
  ): Promise<Answer> {
    for (const holder of holders) {
      if (this.isSelf(holder)) {
        break;
      }
      try {
        return await this.#call(holder, askPeer, this.#getWaitMs(holder));
      } catch (error) {
        this.#options.logger.debug({ err: getErrorMessage(error) }, 'holder of a pin away');
      }
    }
    return askSelf();
  }

  /**
   * What the other holders have in memory; those away count as having nothing. `isWide` asks those who may
   * have been holders too.
   */
  async askForCopies(place: Place, isWide: boolean): Promise<readonly Pin[]> {
    const { teamUid, session, bucket } = place;
    const ranked = this.#rank(bucket).slice(0, isWide ? WIDE_COUNT : HOLDER_COUNT);
    const others = ranked.filter((holder) => !this.isSelf(holder));
    const { peerWaitMs } = this.#options.settings;
    const answers = await Promise.allSettled(
      others.map((holder) =>
        this.#call(
          holder,
          (peer) => peer.getPin({ teamUid, session, isLocalOnly: true }),
          peerWaitMs,
        ),
      ),
    );
    return answers.flatMap((answer) =>
      answer.status === 'fulfilled' && answer.value.pin ? [answer.value.pin] : [],
    );
  }

  /** Resolves with the pin that the holder keeps after merging; undefined when it is away. */
  async sendCopy(holder: Member, pin: Pin): Promise<Pin | undefined> {
    try {
      const peer = this.#options.transport.getPeer(holder.address).sessions;
      return (await peer.putPin({ pin, isReplica: true })).pin;
    } catch (error) {
      this.#options.logger.debug({ err: getErrorMessage(error) }, 'pin not copied');
      return undefined;
    }
  }

  /**
   * What goes wrong: a holder that looks up patiently is given up, the caller stands in, and two callers
   * choose two versions. So the wait for it is longer than its look-up.
   */
  #getWaitMs(holder: Member): number {
    const { peerWaitMs, patientPeerWaitMs } = this.#options.settings;
    const isPatient = this.#options.isPatient() && holder.state === 'alive';
    return isPatient ? patientPeerWaitMs : peerWaitMs;
  }

  async #call<Answer>(
    { address }: Member,
    askPeer: (peer: SessionHandlers) => Promise<Answer>,
    waitMs: number,
  ): Promise<Answer> {
    const peer = this.#options.transport.getPeer(address).sessions;
    const answer = await withinTime(
      askPeer(peer).then((value) => ({ value })),
      waitMs,
    );
    if (!answer) {
      throw new PeerUnreachableError(`${address} gave no answer within ${waitMs} ms`);
    }
    return answer.value;
  }

  #rank(bucket: number): readonly Member[] {
    return this.#options.membership.rankLocal(getBucketKey(bucket));
  }
}
