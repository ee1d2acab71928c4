/** Dependencies of the request path. */
import type { DataCentreId, IncarnationId, Logger, Random } from '@snipehaven/common';
import type { ClaimStore } from '@snipehaven/claims';
import type { ConfigurationStore, SafeMoves } from '@snipehaven/configuration';
import type { UsageLedger } from '@snipehaven/ledger';
import type { EvidenceStore, RolloutAssigner } from '@snipehaven/rollouts';
import type { PinDirectory, SessionTokens } from '@snipehaven/sessions';
import type { TimelineRecorder } from '@snipehaven/timeline';
import type { EngineClient, ServiceClient } from '@snipehaven/upstream';
import type { AdmissionController } from './admissionController.js';
import type { CrashTracker } from './crashes/index.js';
import type { LatencyTracker } from './latencyTracker.js';
import type { TeamLimiter } from './teamLimiter.js';
import type { UpstreamRegistry } from './upstreamRegistry.js';

/** Records the outcomes of requests. */
export interface RoutingMetrics {
  recordAnswer(answer: AnswerMeasure): void;
  recordRefusal(team: string, code: string): void;
}

/** The measurements recorded for an answer. */
export interface AnswerMeasure {
  readonly team: string;
  readonly version: string;
  readonly firstTokenMs: number;
  /** From admission of the request to the end of its answer. */
  readonly totalMs: number;
  readonly completionTokens: number;
  readonly costMicroUsd: number;
}

export interface RoutingSettings {
  readonly firstByteTimeoutMs: number;
  readonly betweenChunksTimeoutMs: number;
  readonly defaultDeadlineMs: number;
  readonly ratingTimeoutMs: number;
}

export interface RoutingDependencies {
  readonly incarnation: IncarnationId;
  readonly dataCentre: DataCentreId;
  readonly configuration: ConfigurationStore;
  readonly safeMoves: SafeMoves;
  readonly claims: ClaimStore;
  readonly ledger: UsageLedger;
  readonly tokens: SessionTokens;
  readonly pins: PinDirectory;
  readonly evidence: EvidenceStore;
  readonly assigner: RolloutAssigner;
  /** Engine crashes, and the chats that are held because of them. */
  readonly crashes: CrashTracker;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly registry: UpstreamRegistry;
  readonly latency: LatencyTracker;
  readonly gate: AdmissionController;
  readonly limiter: TeamLimiter;
  readonly metrics: RoutingMetrics;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly random: Random;
  readonly settings: RoutingSettings;
}
