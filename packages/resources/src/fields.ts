/** Building blocks of the kinds' schemas: each describes itself, for `snipectl explain`. */
import { z } from 'zod';
import { ANY_VERSION, MAX_NAME_LENGTH, MAX_PRIORITY } from './constants.js';

const NAME_PATTERN = /^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$/;
const VERSION_NAME_PATTERN = /^[a-z0-9]([a-z0-9.-]*[a-z0-9])?@[a-zA-Z0-9][a-zA-Z0-9.-]*$/;
const SHA256_PATTERN = /^[0-9a-f]{64}$/;

export const nameField = z
  .string()
  .max(MAX_NAME_LENGTH)
  .regex(NAME_PATTERN, 'must be lower-case letters, digits, dots and dashes');

export const versionNameField = z
  .string()
  .max(2 * MAX_NAME_LENGTH)
  .regex(VERSION_NAME_PATTERN, 'must be model@version');

export const allowedVersionField = z
  .string()
  .refine(
    (value) => VERSION_NAME_PATTERN.test(value) || value.endsWith(`@${ANY_VERSION}`),
    'must be model@version or model@*',
  );

export const sha256Field = z.string().regex(SHA256_PATTERN, 'must be 64 lower-case hex digits');

export const fractionField = z.number().min(0).max(1);
export const priorityField = z.int().min(0).max(MAX_PRIORITY);
export const httpUrlField = z.url({ protocol: /^https?$/, hostname: /^[0-9.]+$|^\[[0-9a-f:]+\]$/ });
