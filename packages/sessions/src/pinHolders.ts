/** Determines the holders of a session's pin and calls them. */
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
import { withTimeout } from './withTimeout.js';

/** A session with its bucket and holders. */
export interface PinLocation {
  readonly teamUid: string;
  readonly session: string;
  readonly key: string;
  readonly bucket: number;
  /** The owner and the replica; only the owner if the data centre has a single daemon. */
  readonly holders: readonly Member[];
}

export interface PinHoldersOptions {
  readonly membership: Pick<MembershipView, 'self' | 'rankLocal'>;
  readonly transport: PeerTransport;
  readonly logger: Logger;
  readonly settings: Pick<PinSettings, 'bucketCount' | 'peerTimeoutMs' | 'extendedPeerTimeoutMs'>;
  /** Whether a holder may be doing a look-up with extended timeouts. */
  readonly usesExtendedTimeouts: () => boolean;
}

const HOLDER_COUNT = 2;
/**
 * Former holders rank directly after members that joined since; copies are requested from this many
 * members.
 */
const EXTENDED_HOLDER_COUNT = 8;

export class PinHolders {
  readonly #options: PinHoldersOptions;

  constructor(options: PinHoldersOptions) {
    this.#options = options;
  }

  locate(teamUid: string, session: string): PinLocation {
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

  /** The first holder other than this daemon, which receives copies. */
  getReplica({ holders }: PinLocation): Member | undefined {
    return holders.find((holder) => !this.isSelf(holder));
  }

  /**
   * Until membership detects that the owner died, every request of its sessions would fail or lose
   * its pin, which shows as sessions that change version after a daemon's death. The replica is
   * therefore called next, and if neither responds, this daemon acts as the owner with what it and
   * the table know.
   */
  async callFirstHolder<Answer>(
    { holders }: PinLocation,
    callSelf: () => Promise<Answer>,
    callPeer: (peer: SessionHandlers) => Promise<Answer>,
  ): Promise<Answer> {
    for (const holder of holders) {
      if (this.isSelf(holder)) {
        break;
      }
      try {
        return await this.#call(holder, callPeer, this.#getTimeoutMs(holder));
      } catch (error) {
        this.#options.logger.debug({ err: getErrorMessage(error) }, 'pin holder unreachable');
      }
    }
    return callSelf();
  }

  /**
   * The pins that other holders have in memory; unreachable holders count as having none. With
   * `includesFormerHolders`, members that may have been holders earlier are asked as well.
   */
  async fetchCopies(
    location: PinLocation,
    includesFormerHolders: boolean,
  ): Promise<readonly Pin[]> {
    const { teamUid, session, bucket } = location;
    const ranked = this.#rank(bucket).slice(
      0,
      includesFormerHolders ? EXTENDED_HOLDER_COUNT : HOLDER_COUNT,
    );
    const others = ranked.filter((holder) => !this.isSelf(holder));
    const { peerTimeoutMs } = this.#options.settings;
    const answers = await Promise.allSettled(
      others.map((holder) =>
        this.#call(
          holder,
          (peer) => peer.getPin({ teamUid, session, isLocalOnly: true }),
          peerTimeoutMs,
        ),
      ),
    );
    return answers.flatMap((answer) =>
      answer.status === 'fulfilled' && answer.value.pin ? [answer.value.pin] : [],
    );
  }

  /** Resolves with the pin that the holder keeps after merging; undefined if it is unreachable. */
  async sendCopy(holder: Member, pin: Pin): Promise<Pin | undefined> {
    try {
      const peer = this.#options.transport.getPeer(holder.address).sessions;
      return (await peer.putPin({ pin, isReplica: true })).pin;
    } catch (error) {
      this.#options.logger.debug({ err: getErrorMessage(error) }, 'failed to copy a pin');
      return undefined;
    }
  }

  /**
   * The timeout exceeds the duration of the holder's own look-up. If a holder with extended
   * timeouts were given up earlier, this daemon would act as the owner too, and two callers could
   * choose two versions.
   */
  #getTimeoutMs(holder: Member): number {
    const { peerTimeoutMs, extendedPeerTimeoutMs } = this.#options.settings;
    const isExtended = this.#options.usesExtendedTimeouts() && holder.state === 'alive';
    return isExtended ? extendedPeerTimeoutMs : peerTimeoutMs;
  }

  async #call<Answer>(
    { address }: Member,
    callPeer: (peer: SessionHandlers) => Promise<Answer>,
    timeoutMs: number,
  ): Promise<Answer> {
    const peer = this.#options.transport.getPeer(address).sessions;
    const answer = await withTimeout(
      callPeer(peer).then((value) => ({ value })),
      timeoutMs,
    );
    if (!answer) {
      throw new PeerUnreachableError(`${address} did not respond within ${timeoutMs} ms`);
    }
    return answer.value;
  }

  #rank(bucket: number): readonly Member[] {
    return this.#options.membership.rankLocal(getBucketKey(bucket));
  }
}
