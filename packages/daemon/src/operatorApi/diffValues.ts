/** Finds the fields in which two JSON values differ. */
import type { FieldDifference } from './types.js';

type JsonObject = Readonly<Record<string, unknown>>;

const isObject = (value: unknown): value is JsonObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const isEqual = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);

const joinPath = (path: string, key: string): string => (path === '' ? key : `${path}.${key}`);

const diffObjects = (
  present: JsonObject,
  sent: JsonObject,
  path: string,
): readonly FieldDifference[] => {
  const keys = [...new Set([...Object.keys(present), ...Object.keys(sent)])].sort();
  return keys.flatMap((key) => diffValues(present[key], sent[key], joinPath(path, key)));
};

/** The differing fields by dotted path; lists are compared whole, for their order has a meaning. */
export const diffValues = (
  present: unknown,
  sent: unknown,
  path = '',
): readonly FieldDifference[] => {
  if (isObject(present) && isObject(sent)) {
    return diffObjects(present, sent, path);
  }
  return isEqual(present, sent) ? [] : [{ path, present, sent }];
};
