export { UpstreamDirectory } from './upstreamDirectory.js';
export { UpstreamEntry, type UpstreamOutcome } from './upstreamEntry.js';
