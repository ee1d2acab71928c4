/** Creates a token for a write attempt, to recognise it after a lost reply. */
import type { Random } from '@snipehaven/common';

const TOKEN_RANGE = 2 ** 48;
const HEX = 16;

export const createToken = (writer: string, random: Random): string =>
  `${writer}:${Date.now()}:${random.nextInt(TOKEN_RANGE).toString(HEX)}`;
