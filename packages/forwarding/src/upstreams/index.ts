export { ColdGate, type FleetMembership } from './coldGate.js';
export type { ExitVerdict, SentRequest } from './exitDetector.js';
export { UpstreamDirectory } from './upstreamDirectory.js';
export {
  UpstreamEntry,
  type ExitListener,
  type UpstreamEnd,
  type UpstreamOutcome,
} from './upstreamEntry.js';
