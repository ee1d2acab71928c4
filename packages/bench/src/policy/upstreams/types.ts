/** Shapes of the upstream bench. */
import type {
  AffinityRule,
  ConcurrencyRule,
  UpstreamChoiceInput,
  UpstreamChoiceRule,
} from '@snipehaven/policy';
import type { UpstreamId } from '@snipehaven/common';
import type { BenchRow } from '../types.js';

/** A scenario of this folder: it can run one policy alone. */
export interface PoolScenario {
  readonly name: string;
  readonly policies: readonly string[];
  run(policy: string, seed: number): BenchRow;
}

/** Chooses an upstream; baselines may keep state of their own. */
export type ChooseFunction = (input: UpstreamChoiceInput) => UpstreamId | undefined;

export type AdmissionRule = 'fair' | 'fifo' | 'none';

/** What a policy is put together from. */
export interface PoolPolicy {
  readonly name: string;
  /** Called once for each daemon, with its number. */
  readonly createChoose: (daemonIndex: number) => ChooseFunction;
  readonly usesHealth: boolean;
  /** Whether prefixes are looked up and counted for it. */
  readonly usesAffinity: boolean;
  /** Whether a daemon sends to its own part of the slots first. */
  readonly usesOwnSlots: boolean;
  readonly concurrency: ConcurrencyRule | 'none';
  readonly admission: AdmissionRule;
}

/** Names of our own policy's rules, kept to compare rounds. */
export interface OwnRules {
  readonly rule: UpstreamChoiceRule;
  readonly affinityRule: AffinityRule;
  readonly usesOwnSlots: boolean;
  readonly concurrency: ConcurrencyRule | 'none';
}

export type EngineFault = 'none' | 'down' | 'silent';

/** One team's requests. */
export interface TeamLoad {
  readonly team: string;
  readonly weight: number;
  /** Requests per second at a time. */
  getRate(nowMs: number): number;
}

/** A fault of some engines from one time to another. */
export interface FaultPlan {
  readonly fromMs: number;
  readonly untilMs: number;
  getFault(engineIndex: number): EngineFault;
}

/** One run's set-up. */
export interface PoolSetup {
  readonly daemonCount: number;
  readonly engineCount: number;
  readonly reportIntervalMs: number;
  readonly reportLagMs: number;
  readonly durationMs: number;
  readonly teams: readonly TeamLoad[];
  readonly fault?: FaultPlan;
  /** What the pool could have answered per second, for goodput; offered load if less. */
  readonly capacityPerSecond: number;
}

/** One request of the workload. */
export interface SimulatedRequest {
  readonly id: string;
  readonly team: string;
  readonly weight: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly prefillMs: number;
  readonly decodeMs: number;
  readonly prefixKey: string;
  readonly isIdempotent: boolean;
  /** How often its caller came back after a refusal. */
  readonly returns: number;
}

/** How a request ended for its caller. */
export interface RequestResult {
  readonly request: SimulatedRequest;
  readonly kind: 'answered' | 'refused' | 'lost';
  readonly endedAtMs: number;
  /** From arrival; undefined without a first token. */
  readonly firstTokenMs?: number;
}
