export { endVerdicts, type EndEvidence } from './endProver.js';
export type { ExitVerdict, InFlightRequest } from './exitDetector.js';
export { BackOffTracker } from './backOffTracker.js';
export { BrittleTracker } from './brittleTracker.js';
export { LeavingTracker } from './leavingTracker.js';
export { RateLimitTracker } from './rateLimitTracker.js';
export { UpstreamDirectory } from './upstreamDirectory.js';
export {
  getLifeId,
  UpstreamEntry,
  type ExitListener,
  type UpstreamExit,
  type UpstreamOutcome,
} from './upstreamEntry.js';
export { UpstreamGate, type GateContext } from './upstreamGate.js';
export type { FleetMembership, HoldOff, HoldOffReason, PlaceSource } from './types.js';
