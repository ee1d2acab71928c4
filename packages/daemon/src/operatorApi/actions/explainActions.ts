/** Docs of the kinds and their fields. */
import { kinds } from '@snipehaven/resources';
import { explainKind } from '../explainKind.js';
import { noQuerySchema, restoreKind, restoreQuery } from '../queries.js';
import type { OperatorAction } from '../types.js';

/** Answers with the names of the kinds. */
export const listKinds: OperatorAction = async ({ query }) => {
  restoreQuery(noQuerySchema, query);
  return { type: 'json', status: 200, body: { kinds } };
};

/** Answers with the docs of a kind's fields. */
export const explain: OperatorAction = async ({ params, query }) => {
  restoreQuery(noQuerySchema, query);
  const kind = restoreKind(params.kind ?? '');
  return { type: 'json', status: 200, body: { kind, fields: explainKind(kind) } };
};
