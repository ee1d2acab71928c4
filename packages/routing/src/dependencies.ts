/** What the request path works with. */
import type { DataCentreId, IncarnationId, Logger, Random } from '@snipehaven/common';
import type { ClaimStore } from '@snipehaven/claims';
import type { ConfigurationStore, SafeMoves } from '@snipehaven/configuration';
import type { UsageLedger } from '@snipehaven/ledger';
import type { EvidenceBook, RolloutAssigner } from '@snipehaven/rollouts';
import type { PinDirectory, SessionTokens } from '@snipehaven/sessions';
import type { TimelineRecorder } from '@snipehaven/timeline';
import type { EngineClient, ServiceClient } from '@snipehaven/upstream';
import type { AdmissionGate } from './admissionGate.js';
import type { CrashTally } from './crashes/index.js';
import type { LatencyBook } from './latencyBook.js';
import type { TeamLimiter } from './teamLimiter.js';
import type { UpstreamRegistry } from './upstreamRegistry.js';

/** Takes note of how requests end. */
export interface RoutingMetrics {
  recordAnswer(answer: AnswerMeasure): void;
  recordRefusal(team: string, code: string): void;
}

/** What is measured of an answer. */
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
  readonly evidence: EvidenceBook;
  readonly assigner: RolloutAssigner;
  /** Engines that ended, and chats that are held back for it. */
  readonly crashes: CrashTally;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly registry: UpstreamRegistry;
  readonly latency: LatencyBook;
  readonly gate: AdmissionGate;
  readonly limiter: TeamLimiter;
  readonly metrics: RoutingMetrics;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly random: Random;
  readonly settings: RoutingSettings;
}
