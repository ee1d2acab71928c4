/** Dependencies shared by all request runs of a daemon. */
import type { Logger, Random, StallMonitor } from '@snipehaven/common';
import type { ModelDemand, RepeatBudget, WorkPace } from '@snipehaven/policy';
import type { AbsenceCheck } from '../configuration/absenceCheck.js';
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import type { CrashTracker } from '../crashes/index.js';
import type { ForwardMetrics } from '../edge/forwardMetrics.js';
import type { PlaceBorrower } from '../places/index.js';
import type { RolloutTracker } from '../rollouts/rolloutTracker.js';
import type { HeaderDialect } from '../types.js';
import type {
  BackOffTracker,
  BrittleTracker,
  LeavingTracker,
  RateLimitTracker,
  UpstreamDirectory,
  UpstreamGate,
} from '../upstreams/index.js';
import type { AnswerMemory } from './answerMemory.js';
import type { EventMemory } from './eventMemory.js';

export interface ForwardDependencies {
  readonly configuration: ConfigurationHolder;
  readonly directory: UpstreamDirectory;
  /** Holds off upstreams that accept no more requests at present. */
  readonly upstreamGate: UpstreamGate;
  /** Rate limits that upstreams state in their answers. */
  readonly rateLimits: RateLimitTracker;
  /** Upstreams that state in their answers that they are leaving. */
  readonly leavings: LeavingTracker;
  /** Upstreams that want no requests from this daemon for a while. */
  readonly backOffs: BackOffTracker;
  /** Upstreams that fall over when they have to turn many requests away. */
  readonly brittle: BrittleTracker;
  /** Places for requests at such upstreams. */
  readonly places: PlaceBorrower;
  readonly dialect: HeaderDialect;
  readonly rollouts: RolloutTracker;
  /** Upstreams whose process exited, and requests held back as the suspected cause. */
  readonly crashes: CrashTracker;
  readonly metrics: ForwardMetrics;
  readonly logger: Logger;
  readonly stalls: StallMonitor;
  /** Memory of the incomplete events of all streams. */
  readonly eventMemory: EventMemory;
  /** Memory of the answers of all requests that are held until they are whole. */
  readonly answerMemory: AnswerMemory;
  readonly random: Random;
  readonly localDataCentre: string;
  /** The retry budget of a service, shared by its requests at this daemon. */
  getRepeatBudget(service: string): RepeatBudget;
  /** The measured prompt processing speed of the service's engines. */
  getWorkPace(service: string): WorkPace;
  /** The upstream capacity that each model of the service needs. */
  getModelDemand(service: string): ModelDemand;
  /** Called when work was sent to an upstream, as other daemons may have to learn of it at once. */
  notePlaced(work: number): void;
  /**
   * Maximum age of the last confirmation of the configuration, in ms; beyond it requests with a key
   * are refused.
   */
  readonly maxKeyAgeMs: number;
  /** Whether a route or key that is missing here may be refused as unknown. */
  readonly absenceCheck: AbsenceCheck;
}
