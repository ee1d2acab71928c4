/** Table rows, each of which holds the pins of many sessions: one bucket. */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import { pinSchema } from '@snipehaven/protocol';
import { comparePins } from './choosePin.js';
import { PIN_PREFIX } from './constants.js';
import type { Pin, PinSettings } from './types.js';

const storedPinSchema = pinSchema.extend({
  /** The last use that was known when the row was written. */
  usedAtMs: z.number(),
});

const pinRowSchema = z.object({ pins: z.array(storedPinSchema) });

export type StoredPin = z.infer<typeof storedPinSchema>;

/** The pins of one bucket by session key. */
export type PinsByKey = ReadonlyMap<string, StoredPin>;

/** Identifies a session across all teams. */
export const getSessionKey = (teamUid: string, session: string): string =>
  createHash('sha256')
    .update(JSON.stringify([teamUid, session]))
    .digest('base64url');

/** The bucket of a session, identical on all daemons. */
export const getBucket = (sessionKey: string, bucketCount: number): number =>
  Buffer.from(sessionKey, 'base64url').readUInt32BE(0) % bucketCount;

/** The key of a bucket's row, which also determines the bucket's owner. */
export const getBucketKey = (bucket: number): string => `${PIN_PREFIX}${bucket}`;

/** Parses the pins of a row's value; the pins of a malformed row count as lost. */
export const parsePinRow = (value: unknown): PinsByKey => {
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

/**
 * Merges a row with this daemon's pins; drops expired pins, and the least recently used beyond the
 * limit.
 */
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

/** Whether the row contains everything in `merged`, ignoring last uses within the tolerance. */
export const isRowCurrent = (row: PinsByKey, merged: PinsByKey, toleranceMs: number): boolean =>
  [...merged].every(([key, pin]) => isSamePin(row.get(key), pin, toleranceMs));

/** The value to write for a row; null, which deletes the row, if there are no pins. */
export const serializePinRow = (pins: PinsByKey): unknown =>
  pins.size === 0 ? null : { pins: [...pins.values()] };

/** Removes the field that only the table needs. */
export const toPin = ({ usedAtMs: _usedAtMs, ...pin }: StoredPin): Pin => pin;
