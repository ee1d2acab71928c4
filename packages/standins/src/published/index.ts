/** Stand-ins that speak the published protocol of the users' platform. */
export * from './standinDocuments.js';
export * from './standinStore.js';
export * from './standinUpstream.js';
export {
  HostileCrowd,
  sendOnce,
  sendRepeated,
  VALID_HEADERS,
  type ClientScript,
  type CrowdOptions,
} from './hostileCrowd.js';
