/** The operator API as a handler of Node's `http` server. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { authenticate, requireRole } from './authenticate.js';
import { matchRoute, pickMethod } from './matchRoute.js';
import type { Route } from './routes.js';
import { sendError, sendReply } from './sendReply.js';
import type { Operator, OperatorDependencies, OperatorHandler, OperatorReply } from './types.js';

const OWN_PATHS: ReadonlySet<string> = new Set(['/api', '/metrics', '/healthz', '/readyz']);
const OWN_PREFIX = '/api/';
const ANYONE: Operator = { name: 'anyone', role: 'read' };

const isOwnPath = (path: string): boolean => OWN_PATHS.has(path) || path.startsWith(OWN_PREFIX);

const authorise = (
  route: Route,
  request: IncomingMessage,
  dependencies: OperatorDependencies,
): Operator => {
  if (route.role === 'open') {
    return ANYONE;
  }
  const operator = authenticate(request, dependencies.tokens);
  requireRole(operator, route.role);
  return operator;
};

const act = async (
  dependencies: OperatorDependencies,
  request: IncomingMessage,
  response: ServerResponse,
  url: URL,
): Promise<OperatorReply> => {
  const match = matchRoute(url.pathname);
  const route = pickMethod(match, request.method ?? 'GET');
  const operator = authorise(route, request, dependencies);
  const { params } = match;
  const query = url.searchParams;
  return route.act({ dependencies, operator, params, query, request, response });
};

/**
 * The handler of `/api/...`, `/metrics`, `/healthz` and `/readyz`. It resolves with false for any
 * other path, and never rejects.
 */
export const createOperatorHandler =
  (dependencies: OperatorDependencies): OperatorHandler =>
  async (request, response) => {
    const url = URL.canParse(request.url ?? '', 'http://daemon')
      ? new URL(request.url ?? '', 'http://daemon')
      : undefined;
    if (url === undefined || !isOwnPath(url.pathname)) {
      return false;
    }
    try {
      sendReply(response, await act(dependencies, request, response, url));
    } catch (error) {
      sendError(response, error, dependencies.logger);
    }
    return true;
  };
