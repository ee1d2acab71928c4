/** Reads manifests from TOML and JSON files: one resource, or several under `resources`. */
import { text } from 'node:stream/consumers';
import type { Readable } from 'node:stream';
import { getErrorMessage } from '@snipehaven/common';
import { ResourceInvalidError, restoreManifest } from '@snipehaven/resources';
import type { SentManifest } from '../api/operatorApi.js';
import { parseToml, readText } from '../contexts/contextsFile.js';
import { InvalidInputError } from '../errors.js';

const STDIN_NAME = '-';
const JSON_START = /^\s*[[{]/;
const TOML_TABLE = /^\s*\[\[?[A-Za-z0-9_."-]+\]?\]\s*(#.*)?$/m;

const isJson = (source: string, path: string): boolean => {
  if (path !== STDIN_NAME) {
    return path.endsWith('.json');
  }
  return JSON_START.test(source) && !TOML_TABLE.test(source.trimStart().split('\n')[0] ?? '');
};

const parseJson = (source: string, path: string): unknown => {
  try {
    return JSON.parse(source) as unknown;
  } catch (error) {
    throw new InvalidInputError(`${path}: ${getErrorMessage(error)}`, { cause: error });
  }
};

const parseSource = (source: string, path: string): unknown =>
  isJson(source, path) ? parseJson(source, path) : parseToml(source, path);

const hasResources = (value: unknown): value is { readonly resources: readonly unknown[] } =>
  typeof value === 'object' &&
  value !== null &&
  'resources' in value &&
  Array.isArray(value.resources);

const listDocuments = (value: unknown): readonly unknown[] => {
  if (Array.isArray(value)) {
    return value;
  }
  return hasResources(value) ? value.resources : [value];
};

const describeIssues = (error: unknown): string =>
  error instanceof ResourceInvalidError
    ? error.issues.map((issue) => `${issue.path}: ${issue.rule}`).join('; ')
    : getErrorMessage(error);

/** Checks one document; the spec is sent as written, for the daemon fills in the defaults. */
const restoreDocument = (document: unknown, path: string, index: number): SentManifest => {
  try {
    const { kind, name, resourceVersion } = restoreManifest(document);
    return { kind, name, resourceVersion, spec: (document as { spec: unknown }).spec };
  } catch (error) {
    throw new InvalidInputError(`${path}, resource ${index + 1}: ${describeIssues(error)}`, {
      cause: error,
    });
  }
};

/** The manifests of one file, or of the standard input for `-`. */
export const readManifests = async (
  path: string,
  stdin: Readable,
): Promise<readonly SentManifest[]> => {
  const source = path === STDIN_NAME ? await text(stdin) : await readText(path);
  const documents = listDocuments(parseSource(source, path));
  return documents.map((document, index) => restoreDocument(document, path, index));
};

/** The manifests of several files, in order. */
export const readAllManifests = async (
  paths: readonly string[],
  stdin: Readable,
): Promise<readonly SentManifest[]> => {
  const lists = await Promise.all(paths.map((path) => readManifests(path, stdin)));
  return lists.flat();
};
