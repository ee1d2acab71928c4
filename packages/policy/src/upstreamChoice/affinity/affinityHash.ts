/**
 * Weights for rendezvous order on the path of every request. The general `rankByRendezvous` encodes
 * key and member to bytes for each pair, which took half of a choice's time at 60 upstreams; this
 * one hashes the key once and mixes in each member's characters.
 */

/* eslint-disable no-bitwise -- hashing works on 32-bit words */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

const addText = (hash: number, text: string): number => {
  let mixed = hash;
  for (let index = 0; index < text.length; index += 1) {
    mixed = Math.imul(mixed ^ text.charCodeAt(index), FNV_PRIME);
  }
  return mixed;
};

/** Spreads the low bits' difference over the whole word (the finaliser of MurmurHash3). */
const finalise = (hash: number): number => {
  const first = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  const second = Math.imul(first ^ (first >>> 13), 0xc2b2ae35);
  return (second ^ (second >>> 16)) >>> 0;
};

/** The hash of a session's or prefix's key, to be used with each member. */
export const hashAffinityKey = (key: string): number => addText(FNV_OFFSET, key);

/** A member's weight for the key: uniform, and independent of the other members. */
export const getAffinityWeight = (keyHash: number, member: string): number =>
  finalise(addText(finalise(keyHash), member));
