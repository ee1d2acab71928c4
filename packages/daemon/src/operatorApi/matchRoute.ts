/** Finds the route of a path. */
import { OperatorApiError } from './errors.js';
import { routes, type Route } from './routes.js';

/** A route with the parameters of its path. */
export interface RouteMatch {
  readonly methods: Readonly<Record<string, Route>>;
  readonly params: Readonly<Record<string, string>>;
}

const patterns = Object.entries(routes).map(([pattern, methods]) => ({
  segments: pattern.split('/'),
  methods,
}));

const decodeSegment = (segment: string): string => {
  try {
    return decodeURIComponent(segment);
  } catch {
    throw new OperatorApiError('bad_request', 'the path is not well-formed');
  }
};

const matchSegments = (
  pattern: readonly string[],
  path: readonly string[],
): Readonly<Record<string, string>> | undefined => {
  const isMatch =
    pattern.length === path.length &&
    pattern.every((segment, index) => segment.startsWith(':') || segment === path[index]);
  if (!isMatch) {
    return undefined;
  }
  const params = pattern.flatMap((segment, index) =>
    segment.startsWith(':') ? [[segment.slice(1), decodeSegment(path[index] ?? '')]] : [],
  );
  return Object.fromEntries(params) as Record<string, string>;
};

/** The route of the path; throws `not_found`. */
export const matchRoute = (path: string): RouteMatch => {
  const segments = path.split('/');
  for (const pattern of patterns) {
    const params = matchSegments(pattern.segments, segments);
    if (params !== undefined) {
      return { methods: pattern.methods, params };
    }
  }
  throw new OperatorApiError('not_found', `no path ${path}`);
};

/** The route of the method; throws `method_not_allowed` naming the methods that are. */
export const pickMethod = (match: RouteMatch, method: string): Route => {
  const route = Object.hasOwn(match.methods, method) ? match.methods[method] : undefined;
  if (route === undefined) {
    const allow = Object.keys(match.methods);
    throw new OperatorApiError('method_not_allowed', `${method} is not allowed`, { allow });
  }
  return route;
};
