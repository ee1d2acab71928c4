/** What happened: time line, requests, bills and reports. */
import { OperatorApiError } from '../errors.js';
import {
  billingQuerySchema,
  noQuerySchema,
  omitUndefined,
  restoreQuery,
  restoreTimelineQuery,
} from '../queries.js';
import { buildReport } from '../buildReport.js';
import { DEFAULT_REPORT_PERIOD_MS } from '../constants.js';
import type { OperatorAction } from '../types.js';

/** Answers with the events of all daemons in causal order. */
export const getTimeline: OperatorAction = async ({ dependencies, query }) => {
  const collected = await dependencies.collectTimeline(restoreTimelineQuery(query));
  return { type: 'json', status: 200, body: collected };
};

/** Answers with what is known about one request. */
export const describeRequest: OperatorAction = async ({ dependencies, params, query }) => {
  restoreQuery(noQuerySchema, query);
  const requestId = params.id ?? '';
  const description = await dependencies.getRequest(requestId);
  if (description === undefined) {
    throw new OperatorApiError('not_found', `no request ${requestId} in the rings or the ledger`);
  }
  return { type: 'json', status: 200, body: description };
};

/** Answers with one row for each team and version. */
export const getBilling: OperatorAction = async ({ dependencies, query }) => {
  const billingQuery = omitUndefined(restoreQuery(billingQuerySchema, query));
  const rows = await dependencies.ledger.listBilling(billingQuery);
  return { type: 'json', status: 200, body: { ...billingQuery, rows } };
};

/** Answers with the data of a report page. */
export const getReport: OperatorAction = async ({ dependencies, query }) => {
  const { team, fromMs, untilMs = Date.now() } = restoreQuery(billingQuerySchema, query);
  const period = { fromMs: fromMs ?? Math.max(0, untilMs - DEFAULT_REPORT_PERIOD_MS), untilMs };
  if (period.fromMs >= period.untilMs) {
    throw new OperatorApiError('bad_request', 'fromMs must be before untilMs');
  }
  const body = await buildReport(dependencies, omitUndefined({ team, ...period }));
  return { type: 'json', status: 200, body };
};
