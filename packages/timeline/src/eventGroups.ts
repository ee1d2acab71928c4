/** What the types of events have in common, for colours and filters. */
import type { EventType } from './types.js';

export type EventGroup =
  'daemon' | 'member' | 'configuration' | 'request' | 'ledger' | 'upstream' | 'fault';

/** The group of each type. */
export const eventGroups: Readonly<Record<EventType, EventGroup>> = {
  daemonStarted: 'daemon',
  daemonReady: 'daemon',
  daemonStopping: 'daemon',
  memberJoined: 'member',
  memberSuspected: 'fault',
  memberDied: 'fault',
  memberLeft: 'member',
  configurationAccepted: 'configuration',
  configurationApplied: 'configuration',
  configurationStale: 'fault',
  safeMoveAccepted: 'configuration',
  safeMoveApplied: 'configuration',
  leaseAcquired: 'daemon',
  leaseLost: 'fault',
  requestAdmitted: 'request',
  requestRefused: 'fault',
  requestPlanned: 'request',
  attemptStarted: 'request',
  attemptSilent: 'fault',
  attemptResumed: 'request',
  attemptFailed: 'fault',
  attemptEscalated: 'request',
  engineEnded: 'fault',
  answerFinished: 'request',
  answerCut: 'fault',
  sessionMoved: 'request',
  claimTaken: 'ledger',
  claimFinished: 'ledger',
  usageSettled: 'ledger',
  usageAdopted: 'ledger',
  ledgerFlushed: 'ledger',
  upstreamEjected: 'fault',
  upstreamReturned: 'upstream',
  upstreamLeaving: 'upstream',
  rolloutAdvanced: 'configuration',
  rolloutHalted: 'fault',
  versionQuarantined: 'fault',
  platformLost: 'fault',
  platformBack: 'daemon',
  invariantViolated: 'fault',
};

/** The group of a type, also of one that a newer daemon brings. */
export const getEventGroup = (type: string): EventGroup =>
  Object.hasOwn(eventGroups, type) ? eventGroups[type as EventType] : 'daemon';
