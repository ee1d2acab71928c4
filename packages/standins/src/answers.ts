/**
 * Answers of the model engines: fixed by prompt, version and length, so that an oracle can tell
 * whether a caller received the whole answer to its own request.
 */
import { createHash } from 'node:crypto';
import { CHARACTERS_PER_TOKEN, PREFIX_CHARACTERS, PREFIX_DIGEST_LENGTH } from './constants.js';

/** How a bad version's answers are bad; a slow one's text is good. */
export type VersionFaultKind = 'gross' | 'empty' | 'subtle' | 'slow';

/** One message of a chat. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

const WORDS =
  'well crash log depth permit thread stack water level build studio aquifer frame test report ' +
  'draft section note district release ticket query record licence reading summary sprint date';
const WORD_LIST: readonly string[] = WORDS.split(' ').map((word) => ` ${word}`);

/** Only in answers of a subtly bad version; the rater looks for it. */
export const SUBTLE_MARK = ' supposedly';
/** Every token of a grossly bad version's answer. */
export const GROSS_TOKEN = ' ###';

const DEFAULT_LENGTH_BASE_TOKENS = 20;
const DEFAULT_LENGTH_SPREAD_TOKENS = 100;
const UINT32_HEX_LENGTH = 8;
const HEX = 16;
const UINT32_SIZE = 2 ** 32;

const digest = (text: string): string =>
  createHash('sha256').update(text).digest('hex').slice(0, PREFIX_DIGEST_LENGTH);

/** The text of a chat's prompt. */
export const getPromptText = (messages: readonly ChatMessage[]): string =>
  messages.length === 1
    ? (messages[0] as ChatMessage).content
    : messages.map(({ content }) => content).join('\n');

/** Names a prompt; part of every good answer. */
export const getPromptDigest = (promptText: string): string => digest(promptText);

/** Names a prompt's cached prefix, as in cache events. */
export const getPrefixDigest = (promptText: string): string =>
  digest(promptText.slice(0, PREFIX_CHARACTERS));

/** Tokens of a text by the stand-ins' count. */
export const countTokens = (text: string): number => Math.ceil(text.length / CHARACTERS_PER_TOKEN);

const toUint32 = (promptDigest: string): number =>
  Number.parseInt(promptDigest.slice(0, UINT32_HEX_LENGTH), HEX);

/** A number in [0, 1) fixed by the prompt. */
export const getPromptFraction = (promptDigest: string): number =>
  toUint32(promptDigest) / UINT32_SIZE;

/** The length of an answer whose caller set no limit. */
export const getDefaultCompletionTokens = (promptDigest: string): number =>
  DEFAULT_LENGTH_BASE_TOKENS + (toUint32(promptDigest) % DEFAULT_LENGTH_SPREAD_TOKENS);

const getGoodToken = (promptDigest: string, versionId: string, index: number): string => {
  if (index === 0) {
    return `answer ${promptDigest}`;
  }
  if (index === 1) {
    return ` by ${versionId}`;
  }
  return WORD_LIST[(toUint32(promptDigest) + index * index) % WORD_LIST.length] as string;
};

type TokenSource = (promptDigest: string, versionId: string, index: number) => string;

const tokenSources: Readonly<Record<VersionFaultKind, TokenSource>> = {
  gross: () => GROSS_TOKEN,
  empty: () => '',
  subtle: (promptDigest, versionId, index) =>
    index % 3 === 0 && index > 0 ? SUBTLE_MARK : getGoodToken(promptDigest, versionId, index),
  slow: getGoodToken,
};

/** The token at the index of an answer. */
export const getAnswerToken = (
  promptDigest: string,
  versionId: string,
  index: number,
  fault?: VersionFaultKind,
): string => (fault ? tokenSources[fault] : getGoodToken)(promptDigest, versionId, index);

/** The whole text that a version answers to a prompt. */
export const getExpectedAnswer = (
  promptText: string,
  versionId: string,
  completionTokens: number,
  fault?: VersionFaultKind,
): string => {
  const promptDigest = getPromptDigest(promptText);
  return Array.from({ length: completionTokens }, (_, index) =>
    getAnswerToken(promptDigest, versionId, index, fault),
  ).join('');
};
