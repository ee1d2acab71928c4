/** Status of the configuration, members, roll-outs, health, readiness and metrics. */
import { getFreshCondition, getInForce, getInForceCondition } from '../resourceStatus.js';
import { noQuerySchema, restoreQuery, statusQuerySchema } from '../queries.js';
import type { HealthReport, OperatorAction, OperatorReply } from '../types.js';

/** Answers with how far a revision, or else the present one, is in force. */
export const getStatus: OperatorAction = async ({ dependencies, query }) => {
  const { configuration, membership, safeMoves } = dependencies;
  const status = configuration.getStatus();
  const { revision = status.revision } = restoreQuery(statusQuerySchema, query);
  const inForce = getInForce(revision, status);
  const conditions = [getInForceCondition(inForce), getFreshCondition(status)];
  const { vm, dataCentre } = membership.self;
  const moves = safeMoves.list();
  const body = { ...status, inForce, conditions, vm, dataCentre, safeMoves: moves };
  return { type: 'json', status: 200, body };
};

/** Answers with the members of all data centres as this daemon sees them. */
export const listMembers: OperatorAction = async ({ dependencies, query }) => {
  restoreQuery(noQuerySchema, query);
  const { self } = dependencies.membership;
  const behind = new Set(dependencies.configuration.getStatus().inForce.behind);
  const members = dependencies.membership.listMembers().map((member) => ({
    ...member,
    isSelf: member.incarnation === self.incarnation,
    isBehind: behind.has(member.incarnation),
  }));
  return { type: 'json', status: 200, body: { members } };
};

/** Answers with how far each roll-out has come. */
export const listRollouts: OperatorAction = async ({ dependencies, query }) => {
  restoreQuery(noQuerySchema, query);
  return { type: 'json', status: 200, body: { rollouts: await dependencies.listRolloutStatus() } };
};

/** Answers with the latency of answers; unlike a report it reads nothing from the platform. */
export const listLatency: OperatorAction = async ({ dependencies, query }) => {
  restoreQuery(noQuerySchema, query);
  return { type: 'json', status: 200, body: { latency: await dependencies.collectLatency() } };
};

/** Answers with the metrics in Prometheus's text format. */
export const getMetrics: OperatorAction = async ({ dependencies }) => ({
  type: 'text',
  status: 200,
  text: await dependencies.getMetricsText(),
});

const toHealthReply = (report: HealthReport): OperatorReply => ({
  type: 'json',
  status: report.isOk ? 200 : 503,
  body: report,
});

/** Whether the process works. */
export const getHealth: OperatorAction = async ({ dependencies }) =>
  toHealthReply(dependencies.getHealth());

/** Whether the balancer should send requests. */
export const getReadiness: OperatorAction = async ({ dependencies }) =>
  toHealthReply(dependencies.getReadiness());
