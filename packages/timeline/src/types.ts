/** Events of the time line. */

/** What an event tells of. */
export type EventType =
  | 'daemonStarted'
  | 'daemonReady'
  | 'daemonStopping'
  | 'memberJoined'
  | 'memberSuspected'
  | 'memberDied'
  | 'memberLeft'
  | 'configurationAccepted'
  | 'configurationApplied'
  | 'configurationStale'
  | 'safeMoveAccepted'
  | 'safeMoveApplied'
  | 'leaseAcquired'
  | 'leaseLost'
  | 'requestAdmitted'
  | 'requestRefused'
  | 'requestPlanned'
  | 'attemptStarted'
  | 'attemptSilent'
  | 'attemptResumed'
  | 'attemptFailed'
  | 'attemptEscalated'
  | 'engineEnded'
  | 'answerFinished'
  | 'answerCut'
  | 'sessionMoved'
  | 'claimTaken'
  | 'claimFinished'
  | 'usageSettled'
  | 'usageAdopted'
  | 'ledgerFlushed'
  | 'upstreamEjected'
  | 'upstreamReturned'
  | 'upstreamLeaving'
  | 'rolloutAdvanced'
  | 'rolloutHalted'
  | 'versionQuarantined'
  | 'platformLost'
  | 'platformBack'
  | 'invariantViolated';

/** What an event is about; all optional, for filters. */
export interface EventSubject {
  readonly requestId?: string;
  readonly team?: string;
  readonly session?: string;
  readonly version?: string;
  readonly upstream?: string;
}

/** Further facts of an event, with units in their names. */
export type EventDetail = Readonly<Record<string, string | number | boolean>>;

/** A moment of a hybrid logical clock: causally later events compare greater. */
export interface HybridTime {
  readonly wallMs: number;
  /** Orders events of the same millisecond. */
  readonly counter: number;
}

export interface TimelineEvent {
  readonly at: HybridTime;
  readonly vm: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  /** Counts the events of one incarnation, from 1. */
  readonly seq: number;
  readonly type: EventType;
  readonly subject: EventSubject;
  readonly detail: EventDetail;
}

/** Which events a reader asks for. */
export interface TimelineQuery {
  readonly sinceMs?: number;
  readonly requestId?: string;
  readonly version?: string;
  readonly team?: string;
  readonly types?: readonly EventType[];
  readonly limit?: number;
}

/** Records what happens; given to every package that has something to tell. */
export interface TimelineRecorder {
  record(type: EventType, subject: EventSubject, detail?: EventDetail): void;
}
