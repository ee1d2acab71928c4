/** What the operator API needs of the daemon, and what it answers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Logger } from '@snipehaven/common';
import type {
  ConfigurationStore,
  Durability,
  InForceStatus,
  SafeMoves,
} from '@snipehaven/configuration';
import type { BillingRow, LedgerReader } from '@snipehaven/ledger';
import type { MembershipView } from '@snipehaven/membership';
import type { SafeMove, UsageEntry } from '@snipehaven/protocol';
import type { Kind, ResourceMetadata } from '@snipehaven/resources';
import type { RolloutReport } from '@snipehaven/rollouts';
import type { TimelineEvent, TimelineQuery } from '@snipehaven/timeline';

export type OperatorRole = 'read' | 'write';

/** An operator's credential, as its settings give it. */
export interface OperatorToken {
  readonly name: string;
  /** SHA-256 of the token, 64 lower-case hex digits. */
  readonly sha256: string;
  readonly role: OperatorRole;
}

/** Events of all daemons that answered, in causal order. */
export interface CollectedTimeline {
  readonly events: readonly TimelineEvent[];
  /** VMs that did not answer: their events are missing. */
  readonly unreachable: readonly string[];
}

/** One run of a request at one upstream. */
export interface AttemptDescription {
  readonly version: string;
  readonly upstream: string;
  readonly startedAtMs: number;
  /** The last event of the attempt, such as `attemptFailed`. */
  readonly outcome: string;
}

/** What is known about one request. */
export interface RequestDescription {
  readonly requestId: string;
  readonly team: string;
  readonly session?: string;
  readonly vms: readonly string[];
  /** The plan as the time line tells it. */
  readonly plan: string;
  readonly attempts: readonly AttemptDescription[];
  readonly verdict: 'running' | 'answered' | 'cut' | 'notRun' | 'unknown' | 'ran';
  readonly bill?: UsageEntry;
  readonly events: readonly TimelineEvent[];
  readonly unreachable: readonly string[];
}

/** Latency of the answers of one version to one team. */
export interface LatencyRow {
  readonly team: string;
  readonly version: string;
  readonly answers: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly totalP50Ms: number;
  readonly totalP95Ms: number;
}

/** How far a roll-out has come. */
export type RolloutStatus = RolloutReport;

/** The answer of a health or readiness check. */
export interface HealthReport {
  readonly isOk: boolean;
  readonly reasons: readonly string[];
}

/** Everything that the operator API is wired to. */
export interface OperatorDependencies {
  readonly configuration: ConfigurationStore;
  readonly safeMoves: SafeMoves;
  readonly membership: Pick<MembershipView, 'self' | 'listMembers'>;
  readonly ledger: LedgerReader;
  readonly tokens: readonly OperatorToken[];
  readonly logger: Logger;
  /** Aborted at shutdown: ends open watches, so that their clients go to another daemon. */
  readonly stopSignal?: AbortSignal;
  collectTimeline(query: TimelineQuery): Promise<CollectedTimeline>;
  getRequest(requestId: string): Promise<RequestDescription | undefined>;
  collectLatency(): Promise<readonly LatencyRow[]>;
  listRolloutStatus(): Promise<readonly RolloutStatus[]>;
  getMetricsText(): Promise<string>;
  getHealth(): HealthReport;
  getReadiness(): HealthReport;
  /** Makes this daemon finish what it has and leave; `vm` is always its own. */
  drain(vm: string, by: string): Promise<void>;
}

/** Whether a condition holds. */
export type ConditionStatus = 'true' | 'false' | 'unknown';

/** One thing that the system observes of a resource. */
export interface Condition {
  readonly type: 'InForce' | 'Fresh' | 'Durable';
  readonly status: ConditionStatus;
  readonly message: string;
}

/** What is in force of a resource, as the system observes it. */
export interface ResourceStatus {
  /** Generation that this daemon works by. */
  readonly observedGeneration: number;
  readonly conditions: readonly Condition[];
  /** Absent for marks, which have no revision. */
  readonly inForce?: InForceStatus;
  readonly durability?: Durability;
}

/** A resource with its status, as operators read it. */
export interface ResourceReply {
  readonly kind: Kind;
  readonly metadata: ResourceMetadata;
  readonly spec: unknown;
  readonly status: ResourceStatus;
}

/** One field in which two values differ; an absent side is undefined. */
export interface FieldDifference {
  readonly path: string;
  readonly present?: unknown;
  readonly sent?: unknown;
}

export type ApplyAction = 'created' | 'changed' | 'unchanged';

/** The answer to an apply. */
export interface ApplyReply {
  readonly action: ApplyAction;
  readonly isDryRun: boolean;
  readonly resource: ResourceReply;
  /** Against what this daemon had before. */
  readonly differences: readonly FieldDifference[];
}

/** One line of a watch. */
export type WatchLine =
  | {
      readonly type: 'change';
      readonly revision: number;
      readonly kind: Kind;
      readonly name: string;
      /** Absent for a deletion. */
      readonly resource?: unknown;
    }
  | { readonly type: 'safeMove'; readonly revision: number; readonly move: SafeMove }
  | { readonly type: 'bookmark'; readonly revision: number };

/** Requests and cost of one team or version over the buckets of a report. */
export interface ReportSeries {
  readonly name: string;
  readonly requests: readonly number[];
  readonly costMicroUsd: readonly number[];
}

/** The data of `snipectl report`. */
export interface ReportReply {
  readonly generatedAtMs: number;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly bucketMs: number;
  readonly billing: readonly BillingRow[];
  readonly teams: readonly ReportSeries[];
  readonly versions: readonly ReportSeries[];
  readonly latency: readonly LatencyRow[];
  readonly rollouts: readonly RolloutStatus[];
  readonly blockedVersions: readonly string[];
}

/** The operator who calls, known by its token. */
export interface Operator {
  readonly name: string;
  readonly role: OperatorRole;
}

/** One call of an operator. */
export interface OperatorCall {
  readonly dependencies: OperatorDependencies;
  readonly operator: Operator;
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** What an action answers; `stream`: it has taken over the response. */
export type OperatorReply =
  | { readonly type: 'json'; readonly status: number; readonly body: unknown }
  | { readonly type: 'text'; readonly status: number; readonly text: string }
  | { readonly type: 'stream' };

export type OperatorAction = (call: OperatorCall) => Promise<OperatorReply>;

/** Handles a request if its path is one of the operator API; false: it is not. */
export type OperatorHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<boolean>;
