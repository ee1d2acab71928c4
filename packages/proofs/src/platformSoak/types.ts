/** What the soak records of callers and upstreams. */
import type { ManagedProcess } from '@snipehaven/demo';
import type { RouteName } from '@snipehaven/standins';

/** Each kind is sent on the route of its name. */
export type RequestKind = RouteName;

/** One caller attempt, as the caller saw it. */
export interface AttemptRecord {
  readonly id: string;
  readonly kind: RequestKind;
  readonly key: string;
  readonly team: string;
  readonly vm: string;
  readonly session?: string;
  /** What was asked; absent for the usual question. */
  readonly question?: string;
  /** Part of the prompt that may crash upstreams. */
  readonly part?: string;
  readonly sentAtMs: number;
  endedAtMs: number | undefined;
  /** Undefined when the connection ended without the head of an answer. */
  status: number | undefined;
  signature: string | undefined;
  retryAfterS: number | undefined;
  body: string;
  isWhole: boolean;
  /** The caller left by itself. */
  cancelledAtMs: number | undefined;
}

/** One run of an attempt at an upstream. */
export interface RunRecord {
  readonly attemptId: string;
  readonly upstream: string;
  readonly startedAtMs: number;
  readonly team: string | undefined;
  readonly hasKey: boolean;
  readonly status: number;
  endedAtMs: number | undefined;
  /** The upstream itself broke off, or answered with a failure. */
  isFaulty: boolean;
}

/** A request that reached an upstream, whether it ran or not. */
export interface ArrivalRecord {
  readonly attemptId: string;
  readonly upstream: string;
  readonly atMs: number;
  /** The upstream failed it at the rate at which healthy upstreams fail. */
  readonly isUsualFailure?: boolean;
}

/** An upstream ended under a deadly question or part of a prompt. */
export interface DeadlyEnd {
  readonly cause: string;
  readonly upstream: string;
  readonly atMs: number;
}

/** A request that a brittle upstream turned away for lack of room. */
export interface Rejection {
  readonly attemptId: string;
  readonly atMs: number;
}

/** A brittle upstream fell over under the requests that it turned away in the last second. */
export interface Fall {
  readonly upstream: string;
  readonly atMs: number;
  readonly rejections: readonly Rejection[];
}

/** A part of prompts that ends upstreams some time after they begin to answer. */
export interface DeadlyPart {
  readonly name: string;
  readonly endsAfterMs: number;
  /** Sound until then. */
  readonly fromMs: number;
}

export interface VmState {
  readonly name: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly settingsFile: string;
  process: ManagedProcess | undefined;
  /** The soak itself ends the process, so that its exit is expected. */
  isEnding: boolean;
}

/** A broken promise, with what shows it. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}
