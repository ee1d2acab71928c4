/** What the parts of a soak run share. */
import type { Random } from '@snipehaven/common';
import type { CallAttempt, Deployment, RunningDaemon, WorkItem } from '@snipehaven/demo';
import type { ForwardedNetwork } from './network/forwardedNetwork.js';
import type { SoakFacts } from './soakFacts.js';
import type { ConfigurationJournal } from './watch/configurationJournal.js';
import type { RevisionWatch } from './watch/revisionWatch.js';
import type { ViolationWatch } from './watch/violationWatch.js';

export type Say = (line: string) => void;

/** One attempt of a caller with the request that it was for. */
export interface SentAttempt extends CallAttempt {
  readonly item: WorkItem;
}

/** What a disturbance acts on. */
export interface SoakWorld {
  readonly deployment: Deployment;
  readonly network: ForwardedNetwork;
  readonly facts: SoakFacts;
  readonly journal: ConfigurationJournal;
  readonly revisions: RevisionWatch;
  readonly violations: ViolationWatch;
  readonly say: Say;
  /** Daemons that the balancer holds ready. */
  listReady(): readonly RunningDaemon[];
}

/** Makes a fault, waits and takes it back; resolves when it is over. */
export type Disturbance = (world: SoakWorld, random: Random) => Promise<void>;
