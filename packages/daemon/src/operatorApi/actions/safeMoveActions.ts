/** Withdrawals, quarantines and drains: set, lifted and listed. */
import type { SafeMoveStatus } from '@snipehaven/configuration';
import { restoreName } from '@snipehaven/resources';
import { OperatorApiError } from '../errors.js';
import {
  drainBodySchema,
  noQuerySchema,
  restoreQuery,
  restoreValue,
  safeMoveBodySchema,
} from '../queries.js';
import { readJsonBody } from '../readJsonBody.js';
import type {
  OperatorAction,
  OperatorCall,
  OperatorDependencies,
  OperatorReply,
} from '../types.js';

type DrainType = 'vm' | 'upstream';

/** Of what form a mark's subject is named; a data centre's name has the form of an upstream's. */
const subjectKinds = {
  withdraw: 'ModelVersion',
  quarantine: 'ModelVersion',
  drain: 'Upstream',
  evacuate: 'Upstream',
} as const;

type MarkKind = keyof typeof subjectKinds;

/** Whether the configuration knows the subject; a mark on an unknown one may be a typing error. */
const isKnownSubject = (
  { configuration }: OperatorDependencies,
  kind: MarkKind,
  subject: string,
): boolean => {
  const view = configuration.getView();
  return kind === 'evacuate'
    ? view.list('Upstream').some(({ spec }) => spec.dataCentre === subject)
    : view.get(subjectKinds[kind], subject) !== undefined;
};

const toReply = (
  dependencies: OperatorDependencies,
  kind: MarkKind,
  subject: string,
  mark: SafeMoveStatus,
): OperatorReply => {
  const isKnown = isKnownSubject(dependencies, kind, subject);
  return { type: 'json', status: 200, body: { ...mark, isKnownSubject: isKnown } };
};

const readMark = async (call: OperatorCall) => {
  restoreQuery(noQuerySchema, call.query);
  const mark = restoreValue(safeMoveBodySchema, await readJsonBody(call.request));
  restoreName(subjectKinds[mark.kind], mark.subject);
  return mark;
};

/** Answers with all marks, lifted ones too. */
export const listSafeMoves: OperatorAction = async ({ dependencies, query }) => {
  restoreQuery(noQuerySchema, query);
  return { type: 'json', status: 200, body: { safeMoves: dependencies.safeMoves.list() } };
};

/** Sets a mark, also while the table is away. */
export const activateSafeMove: OperatorAction = async (call) => {
  const { kind, subject, reason } = await readMark(call);
  const { safeMoves } = call.dependencies;
  const mark = await safeMoves.activate(kind, subject, reason, call.operator.name);
  return toReply(call.dependencies, kind, subject, mark);
};

/** Lifts a mark; refused while the table is away. */
export const liftSafeMove: OperatorAction = async (call) => {
  const { kind, subject, reason } = await readMark(call);
  const { safeMoves } = call.dependencies;
  const mark = await safeMoves.lift(kind, subject, reason, call.operator.name);
  return toReply(call.dependencies, kind, subject, mark);
};

/** Whether the name is a VM's or an upstream's; throws where it is neither or both. */
const findDrainType = (
  { membership, configuration }: OperatorDependencies,
  target: string,
): DrainType => {
  const isVm = membership.listMembers().some((member) => member.vm === target);
  const isUpstream = configuration.getView().get('Upstream', target) !== undefined;
  if (isVm && isUpstream) {
    throw new OperatorApiError(
      'bad_request',
      `${target} names a VM and an upstream; give the type`,
    );
  }
  if (!isVm && !isUpstream) {
    throw new OperatorApiError('not_found', `no VM or upstream ${target}`);
  }
  return isVm ? 'vm' : 'upstream';
};

/** Only the daemon itself can stop; any other one would report a drain that never happens. */
const requireOwnVm = ({ membership }: OperatorDependencies, vm: string): void => {
  if (vm !== membership.self.vm) {
    const message = `${membership.self.vm} cannot drain ${vm}: ask the operator API of ${vm} itself`;
    throw new OperatorApiError('misdirected', message);
  }
};

const drainVm: DrainHandler = async ({ dependencies, operator }, target) => {
  requireOwnVm(dependencies, target);
  await dependencies.drain(target, operator.name);
  return {};
};

const drainUpstream: DrainHandler = async ({ dependencies, operator }, target, reason) =>
  dependencies.safeMoves.activate('drain', target, reason, operator.name);

type DrainHandler = (call: OperatorCall, target: string, reason: string) => Promise<object>;

const drainHandlers: Readonly<Record<DrainType, DrainHandler>> = {
  vm: drainVm,
  upstream: drainUpstream,
};

/** Drains a VM's daemon or an upstream. */
export const drainTarget: OperatorAction = async (call) => {
  restoreQuery(noQuerySchema, call.query);
  const body = restoreValue(drainBodySchema, await readJsonBody(call.request));
  const type = body.type ?? findDrainType(call.dependencies, body.target);
  const facts = await drainHandlers[type](call, body.target, body.reason);
  return { type: 'json', status: 202, body: { type, target: body.target, ...facts } };
};
