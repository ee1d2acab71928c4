/** The operator API as typed calls. */
import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import { kinds } from '@snipehaven/resources';
import { ApiCallError } from '../errors.js';
import { HttpCaller, type ApiCall } from './httpCaller.js';
import * as schemas from './schemas.js';
import type { Endpoint } from '../contexts/selectEndpoint.js';

/** A resource as it is sent. */
export interface SentManifest {
  readonly kind: string;
  readonly name: string;
  readonly resourceVersion?: number | undefined;
  readonly spec: unknown;
}

export interface BillingQuery {
  readonly team?: string | undefined;
  readonly fromMs?: number | undefined;
  readonly untilMs?: number | undefined;
}

export interface TimelineCallQuery {
  readonly sinceMs?: number | undefined;
  readonly requestId?: string | undefined;
  readonly version?: string | undefined;
  readonly team?: string | undefined;
  readonly types?: string | undefined;
  readonly limit?: number | undefined;
}

/** The kind as the API names it, where the operator wrote `team` or `teams`. */
export const toKindName = (text: string): string => {
  const wanted = text.toLowerCase();
  return (
    kinds.find((kind) => [kind, `${kind}s`].some((name) => name.toLowerCase() === wanted)) ?? text
  );
};

const getResourcePath = (kind: string, name: string): string =>
  `/api/resources/${encodeURIComponent(toKindName(kind))}/${encodeURIComponent(name)}`;

const NOT_FOUND_STATUS = 404;

export class OperatorApi {
  readonly caller: HttpCaller;

  constructor(endpoint: Endpoint) {
    this.caller = new HttpCaller(endpoint);
  }

  async close(): Promise<void> {
    await this.caller.close();
  }

  listResources(kind: string) {
    const path = `/api/resources/${encodeURIComponent(toKindName(kind))}`;
    return this.#call(schemas.resourceListSchema, { method: 'GET', path });
  }

  getResource(kind: string, name: string) {
    const path = getResourcePath(kind, name);
    return this.#call(schemas.resourceSchema, { method: 'GET', path });
  }

  /** The resource, or undefined where there is none. */
  async findResource(kind: string, name: string): Promise<schemas.ResourceReply | undefined> {
    try {
      return await this.getResource(kind, name);
    } catch (error) {
      if (error instanceof ApiCallError && error.status === NOT_FOUND_STATUS) {
        return undefined;
      }
      throw error;
    }
  }

  /** Writes a resource; one client request id for all tries, so that a lost reply writes once. */
  applyResource(manifest: SentManifest, isDryRun: boolean) {
    const { kind, name, resourceVersion, spec } = manifest;
    return this.#call(schemas.applyReplySchema, {
      method: 'PUT',
      path: getResourcePath(kind, name),
      query: { dryRun: isDryRun },
      clientRequestId: randomUUID(),
      body: { kind, metadata: { name, resourceVersion }, spec },
    });
  }

  removeResource(kind: string, name: string, options: RemoveCallOptions) {
    const { resourceVersion, isDryRun } = options;
    return this.#call(schemas.removeReplySchema, {
      method: 'DELETE',
      path: getResourcePath(kind, name),
      query: { resourceVersion, dryRun: isDryRun },
      clientRequestId: randomUUID(),
    });
  }

  getStatus(revision?: number) {
    return this.#call(schemas.statusSchema, {
      method: 'GET',
      path: '/api/status',
      query: { revision },
    });
  }

  listMembers() {
    return this.#call(schemas.memberListSchema, { method: 'GET', path: '/api/members' });
  }

  listRollouts() {
    return this.#call(schemas.rolloutListSchema, { method: 'GET', path: '/api/rollouts' });
  }

  listLatency() {
    return this.#call(schemas.latencyListSchema, { method: 'GET', path: '/api/latency' });
  }

  explain(kind: string) {
    const path = `/api/explain/${encodeURIComponent(toKindName(kind))}`;
    return this.#call(schemas.explainSchema, { method: 'GET', path });
  }

  activateSafeMove(kind: schemas.SafeMoveKind, subject: string, reason: string) {
    const body = { kind, subject, reason };
    return this.#call(schemas.safeMoveReplySchema, {
      method: 'POST',
      path: '/api/safe-moves',
      body,
    });
  }

  liftSafeMove(kind: schemas.SafeMoveKind, subject: string, reason: string) {
    const path = '/api/safe-moves/lift';
    const body = { kind, subject, reason };
    return this.#call(schemas.safeMoveReplySchema, { method: 'POST', path, body });
  }

  drain(target: string, type: string | undefined, reason: string) {
    const body = { target, type, reason };
    return this.#call(schemas.drainReplySchema, { method: 'POST', path: '/api/drain', body });
  }

  getTimeline(query: TimelineCallQuery) {
    return this.#call(schemas.timelineSchema, {
      method: 'GET',
      path: '/api/timeline',
      query: { ...query },
    });
  }

  getRequest(requestId: string) {
    const path = `/api/requests/${encodeURIComponent(requestId)}`;
    return this.#call(schemas.requestSchema, { method: 'GET', path });
  }

  getBilling(query: BillingQuery) {
    return this.#call(schemas.billingSchema, {
      method: 'GET',
      path: '/api/billing',
      query: { ...query },
    });
  }

  getReport(query: BillingQuery) {
    return this.#call(schemas.reportSchema, {
      method: 'GET',
      path: '/api/report',
      query: { ...query },
    });
  }

  async #call<Schema extends z.ZodType>(schema: Schema, call: ApiCall): Promise<z.output<Schema>> {
    const result = schema.safeParse(await this.caller.call(call));
    if (!result.success) {
      const issue = result.error.issues[0];
      const message = `unexpected answer to ${call.path}: ${issue?.path.join('.')} ${issue?.message}`;
      throw new ApiCallError(502, { code: 'unexpected', message });
    }
    return result.data;
  }
}

export interface RemoveCallOptions {
  readonly resourceVersion?: number | undefined;
  readonly isDryRun: boolean;
}
