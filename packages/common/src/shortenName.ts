/** Bounds the length of names that clients choose, so that what is remembered of them is bounded too. */
import { createHash } from 'node:crypto';

const MAX_NAME_CHARS = 128;

/** Returns longer names as their digest; equal names stay equal, and other names stay other names. */
export const shortenName = (name: string): string =>
  name.length <= MAX_NAME_CHARS
    ? name
    : `sha256-${createHash('sha256').update(name).digest('base64url')}`;
