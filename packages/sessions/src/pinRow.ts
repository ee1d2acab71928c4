/** Rows of the table, each holding the pins of many sessions: their bucket. */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import { pinSchema } from '@snipehaven/protocol';
import { comparePins } from './choosePin.js';
import { PIN_PREFIX } from './constants.js';
import type { Pin, PinSettings } from './types.js';

const storedPinSchema = pinSchema.extend({
  /** Last use known when the row was written. */
  usedAtMs: z.number(),
});

const pinRowSchema = z.object({ pins: z.array(storedPinSchema) });

export type StoredPin = z.infer<typeof storedPinSchema>;

/** Pins of one bucket by session key. */
export type PinsByKey = ReadonlyMap<string, StoredPin>;

/** Names a session among those of all teams. */
export const getSessionKey = (teamUid: string, session: string): string =>
  createHash('sha256')
    .update(JSON.stringify([teamUid, session]))
    .digest('base64url');

/** The bucket of a session, the same at all daemons. */
export const getBucket = (sessionKey: string, bucketCount: number): number =>
  Buffer.from(sessionKey, 'base64url').readUInt32BE(0) % bucketCount;

/** Key of a bucket's row, by which its owner is chosen too. */
export const getBucketKey = (bucket: number): string => `${PIN_PREFIX}${bucket}`;

/** The pins of a row's value; those of a malformed row count as lost. */
export const restorePinRow = (value: unknown): PinsByKey => {
  const row = pinRowSchema.safeParse(value).data;
  return new Map((row?.pins ?? []).map((pin) => [getSessionKey(pin.teamUid, pin.session), pin]));
};

const mergeStored = (a: StoredPin | undefined, b: StoredPin): StoredPin => {
  if (!a) {
    return b;
  }
  const inForce = comparePins(a, b) <= 0 ? a : b;
  return { ...inForce, usedAtMs: Math.max(a.usedAtMs, b.usedAtMs) };
};

/** What the row should hold: both sides merged, expired pins left out, the latest used kept. */
export const mergePinRow = (
  row: PinsByKey,
  own: PinsByKey,
  nowMs: number,
  settings: Pick<PinSettings, 'pinLifetimeMs' | 'maxPinsPerRow'>,
): PinsByKey => {
  const merged = new Map(row);
  own.forEach((pin, key) => merged.set(key, mergeStored(merged.get(key), pin)));
  const live = [...merged]
    .filter(([, pin]) => pin.usedAtMs + settings.pinLifetimeMs > nowMs)
    .sort(([, a], [, b]) => b.usedAtMs - a.usedAtMs);
  return new Map(live.slice(0, settings.maxPinsPerRow));
};

const isSamePin = (a: StoredPin | undefined, b: StoredPin, toleranceMs: number): boolean =>
  a !== undefined &&
  a.generation === b.generation &&
  a.version === b.version &&
  a.startedAtMs === b.startedAtMs &&
  b.usedAtMs - a.usedAtMs < toleranceMs;

/** Whether the row lacks nothing of what is merged, but for uses within the tolerance. */
export const isRowCurrent = (row: PinsByKey, merged: PinsByKey, toleranceMs: number): boolean =>
  [...merged].every(([key, pin]) => isSamePin(row.get(key), pin, toleranceMs));

/** The value that a row is written with; null for none, which deletes it. */
export const serializePinRow = (pins: PinsByKey): unknown =>
  pins.size === 0 ? null : { pins: [...pins.values()] };

/** The pin without what only the table needs. */
export const toPin = ({ usedAtMs: _usedAtMs, ...pin }: StoredPin): Pin => pin;
