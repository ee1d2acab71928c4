/** Scenarios of upstream choice, limits and retries. */
export { getUpstreamScenarios } from './getUpstreamScenarios.js';
