/** List, get, apply and delete of resources. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import {
  restoreManifest,
  restoreName,
  type Kind,
  type ResourceManifest,
} from '@snipehaven/resources';
import { CLIENT_REQUEST_ID_HEADER, MAX_CLIENT_REQUEST_ID_LENGTH } from '../constants.js';
import { diffValues } from '../diffValues.js';
import { OperatorApiError } from '../errors.js';
import {
  applyQuerySchema,
  noQuerySchema,
  omitUndefined,
  removeQuerySchema,
  restoreKind,
  restoreQuery,
} from '../queries.js';
import { readJsonBody } from '../readJsonBody.js';
import { applyManifest, findReply, listReplies, removeByName } from '../resourceGate.js';
import type {
  ApplyAction,
  ApplyReply,
  FieldDifference,
  OperatorAction,
  OperatorCall,
  ResourceReply,
} from '../types.js';

interface Target {
  readonly kind: Kind;
  readonly name: string;
}

const getTarget = (call: OperatorCall): Target => {
  const kind = restoreKind(call.params.kind ?? '');
  return { kind, name: restoreName(kind, call.params.name ?? '') };
};

const getClientRequestId = (request: IncomingMessage): string => {
  const id = request.headers[CLIENT_REQUEST_ID_HEADER];
  if (id === undefined) {
    return randomUUID();
  }
  if (typeof id !== 'string' || id.length > MAX_CLIENT_REQUEST_ID_LENGTH) {
    throw new OperatorApiError('bad_request', `${CLIENT_REQUEST_ID_HEADER} is too long`);
  }
  return id;
};

const requireFound = (reply: ResourceReply | undefined, target: Target): ResourceReply => {
  if (reply === undefined) {
    throw new OperatorApiError('not_found', `no ${target.kind} ${target.name}`);
  }
  return reply;
};

const requireSameTarget = (manifest: ResourceManifest, target: Target): void => {
  if (manifest.kind !== target.kind || manifest.name !== target.name) {
    const sent = `${manifest.kind} ${manifest.name}`;
    throw new OperatorApiError(
      'bad_request',
      `the body is ${sent}, the path ${target.kind} ${target.name}`,
    );
  }
};

const getAction = (
  before: ResourceReply | undefined,
  differences: readonly FieldDifference[],
): ApplyAction => {
  if (before === undefined) {
    return 'created';
  }
  return differences.length === 0 ? 'unchanged' : 'changed';
};

/** Answers with all resources of a kind and the revision they are read at. */
export const listResources: OperatorAction = async (call) => {
  restoreQuery(noQuerySchema, call.query);
  const kind = restoreKind(call.params.kind ?? '');
  const resources = listReplies(call.dependencies, kind);
  const { revision } = call.dependencies.configuration.getView();
  return { type: 'json', status: 200, body: { revision, resources } };
};

/** Answers with one resource. */
export const getResource: OperatorAction = async (call) => {
  restoreQuery(noQuerySchema, call.query);
  const target = getTarget(call);
  const reply = findReply(call.dependencies, target.kind, target.name);
  return { type: 'json', status: 200, body: requireFound(reply, target) };
};

/** Creates or replaces a resource, or says what that would change. */
export const applyResource: OperatorAction = async (call) => {
  const { dryRun } = restoreQuery(applyQuerySchema, call.query);
  const target = getTarget(call);
  const clientRequestId = getClientRequestId(call.request);
  const manifest = restoreManifest(await readJsonBody(call.request));
  requireSameTarget(manifest, target);
  const before = findReply(call.dependencies, target.kind, target.name);
  const context = { clientRequestId, isDryRun: dryRun, by: call.operator.name };
  const resource = await applyManifest(call.dependencies, manifest, context);
  const differences = diffValues(before?.spec, resource.spec, 'spec');
  const action = getAction(before, differences);
  const body: ApplyReply = { action, isDryRun: dryRun, resource, differences };
  return { type: 'json', status: action === 'created' && !dryRun ? 201 : 200, body };
};

/** Deletes a resource. */
export const removeResource: OperatorAction = async (call) => {
  const { dryRun, resourceVersion } = restoreQuery(removeQuerySchema, call.query);
  const target = getTarget(call);
  const context = omitUndefined({
    clientRequestId: getClientRequestId(call.request),
    isDryRun: dryRun,
    by: call.operator.name,
    resourceVersion,
  });
  await removeByName(call.dependencies, target.kind, target.name, context);
  const { revision } = call.dependencies.configuration.getView();
  return { type: 'json', status: 200, body: { ...target, isDryRun: dryRun, revision } };
};
