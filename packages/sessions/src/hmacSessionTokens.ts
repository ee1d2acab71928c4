/** Session tokens signed with HMAC-SHA256. The token contains the pin, so daemons keep no state. */
import { createHmac, timingSafeEqual } from 'node:crypto';
import { z } from 'zod';
import { DEFAULT_TOKEN_LIFETIME_MS, MAX_TOKEN_CHARS } from './constants.js';
import { SessionKeyError } from './errors.js';
import type { Pin, SessionKey, SessionTokens } from './types.js';

export interface HmacSessionTokensOptions {
  readonly currentKey: SessionKey;
  /** Still accepted after a key rotation, but no longer used for signing. */
  readonly previousKey?: SessionKey;
  readonly tokenLifetimeMs?: number;
}

const TOKEN_FORMAT = 1;
const MIN_SECRET_BYTES = 16;

/** Format, key id, team uid, session, model, version, start, generation, expiry. */
const payloadSchema = z.tuple([
  z.literal(TOKEN_FORMAT),
  z.string(),
  z.string().min(1),
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.int().nonnegative(),
  z.number(),
]);

type Payload = z.infer<typeof payloadSchema>;

const TOKEN_PATTERN = /^([\w-]+)\.([\w-]+)$/;

const encodePayload = (payload: Payload): string =>
  Buffer.from(JSON.stringify(payload)).toString('base64url');

const decodePayload = (text: string): Payload | undefined => {
  try {
    const value: unknown = JSON.parse(Buffer.from(text, 'base64url').toString('utf8'));
    return payloadSchema.safeParse(value).data;
  } catch {
    return undefined;
  }
};

const sign = (key: SessionKey, text: string): Buffer =>
  createHmac('sha256', key.secret).update(text).digest();

const validateKey = (key: SessionKey): SessionKey => {
  if (Buffer.byteLength(key.secret) < MIN_SECRET_BYTES) {
    throw new SessionKeyError(`key ${key.id} is shorter than ${MIN_SECRET_BYTES} bytes`);
  }
  return key;
};

export class HmacSessionTokens implements SessionTokens {
  readonly #currentKey: SessionKey;

  readonly #keys: readonly SessionKey[];

  readonly #lifetimeMs: number;

  /** Throws `SessionKeyError` if a secret is too short. */
  constructor(options: HmacSessionTokensOptions) {
    this.#currentKey = validateKey(options.currentKey);
    const previous = options.previousKey ? [validateKey(options.previousKey)] : [];
    this.#keys = [this.#currentKey, ...previous];
    this.#lifetimeMs = options.tokenLifetimeMs ?? DEFAULT_TOKEN_LIFETIME_MS;
  }

  issue(pin: Pin): string {
    const text = encodePayload([
      TOKEN_FORMAT,
      this.#currentKey.id,
      pin.teamUid,
      pin.session,
      pin.model,
      pin.version,
      pin.startedAtMs,
      pin.generation,
      Date.now() + this.#lifetimeMs,
    ]);
    return `${text}.${sign(this.#currentKey, text).toString('base64url')}`;
  }

  verify(token: string, teamUid?: string): Pin | undefined {
    const payload = this.#decodeGenuine(token);
    if (!payload) {
      return undefined;
    }
    const [, , payloadTeamUid, session, model, version, startedAtMs, generation, expiresAtMs] =
      payload;
    const isOwnTeam = teamUid === undefined || teamUid === payloadTeamUid;
    return isOwnTeam && Date.now() < expiresAtMs
      ? { teamUid: payloadTeamUid, session, model, version, startedAtMs, generation }
      : undefined;
  }

  /**
   * The payload of a token with a valid signature; before the signature is verified, only the key
   * id of the payload is used.
   */
  #decodeGenuine(token: string): Payload | undefined {
    const [, text, mac] = token.length <= MAX_TOKEN_CHARS ? (TOKEN_PATTERN.exec(token) ?? []) : [];
    const payload = text ? decodePayload(text) : undefined;
    const key = this.#keys.find(({ id }) => id === payload?.[1]);
    return text && mac && key && this.#isGenuine(key, text, mac) ? payload : undefined;
  }

  #isGenuine(key: SessionKey, text: string, mac: string): boolean {
    const expected = Buffer.from(sign(key, text).toString('base64url'));
    const given = Buffer.from(mac);
    return given.length === expected.length && timingSafeEqual(given, expected);
  }
}
