/** The table of actions, keyed by path and method. */
import { explain, listKinds } from './actions/explainActions.js';
import { describeRequest, getBilling, getReport, getTimeline } from './actions/recordActions.js';
import {
  applyResource,
  getResource,
  listResources,
  removeResource,
} from './actions/resourceActions.js';
import {
  activateSafeMove,
  drainTarget,
  liftSafeMove,
  listSafeMoves,
} from './actions/safeMoveActions.js';
import {
  getHealth,
  getMetrics,
  getReadiness,
  getStatus,
  listLatency,
  listMembers,
  listRollouts,
} from './actions/statusActions.js';
import { watch } from './actions/watchAction.js';
import type { OperatorAction, OperatorRole } from './types.js';

/** One call of the API, with the least role that may make it; `open` asks for no token. */
export interface Route {
  readonly role: OperatorRole | 'open';
  readonly act: OperatorAction;
}

const reading = (act: OperatorAction): Route => ({ role: 'read', act });
const writing = (act: OperatorAction): Route => ({ role: 'write', act });
const open = (act: OperatorAction): Route => ({ role: 'open', act });

/** Routes by path pattern and method; a segment after a colon is a parameter. */
export const routes: Readonly<Record<string, Readonly<Record<string, Route>>>> = {
  '/api/resources/:kind': { GET: reading(listResources) },
  '/api/resources/:kind/:name': {
    GET: reading(getResource),
    PUT: writing(applyResource),
    DELETE: writing(removeResource),
  },
  '/api/watch': { GET: reading(watch) },
  '/api/status': { GET: reading(getStatus) },
  '/api/members': { GET: reading(listMembers) },
  '/api/rollouts': { GET: reading(listRollouts) },
  '/api/latency': { GET: reading(listLatency) },
  '/api/explain': { GET: reading(listKinds) },
  '/api/explain/:kind': { GET: reading(explain) },
  '/api/safe-moves': { GET: reading(listSafeMoves), POST: writing(activateSafeMove) },
  '/api/safe-moves/lift': { POST: writing(liftSafeMove) },
  '/api/drain': { POST: writing(drainTarget) },
  '/api/timeline': { GET: reading(getTimeline) },
  '/api/requests/:id': { GET: reading(describeRequest) },
  '/api/billing': { GET: reading(getBilling) },
  '/api/report': { GET: reading(getReport) },
  '/metrics': { GET: reading(getMetrics) },
  '/healthz': { GET: open(getHealth) },
  '/readyz': { GET: open(getReadiness) },
};
