/**
 * The interface of a platform's adapter to the forward daemon: settings, decoded rows and the
 * store.
 */
import type { RequestDigest } from '@snipehaven/common';
import type { RepeatBudgetSettings } from '@snipehaven/policy';
import type { StatusDocument } from './statusDocument.js';
import type { ProcessLimits } from '../edge/index.js';
import type { EraObserver, RowStore, StoreRow } from '../store/index.js';
import type { HoldRecord } from '../crashes/index.js';
import type { Peer } from '../peers/index.js';
import type { RolloutEvidence, RolloutStatus } from '../rollouts/index.js';
import type {
  ForwardConfiguration,
  HeaderDialect,
  RolloutOrder,
  SocketAddress,
  Upstream,
} from '../types.js';

export interface ForwardSettings {
  readonly vmName: string;
  readonly dataCentre: string;
  readonly callerAddress: SocketAddress;
  readonly readinessAddress: SocketAddress;
  readonly metricsAddress: SocketAddress;
  /** Address on which this daemon receives messages of other daemons. */
  readonly peerAddress: SocketAddress;
  /** Addresses of a few other daemons to ask at the start; these daemons may no longer exist. */
  readonly seedAddresses: readonly SocketAddress[];
  /** Maximum time between two requests of a session. */
  readonly sessionTtlMs: number;
  /** Time from SIGTERM until the process is killed. */
  readonly graceMs: number;
  /** Time for which an upstream that leaves goes on serving, at least. */
  readonly drainTimeoutMs: number;
  /** Maximum time until a configuration must be in force after the operator has written it. */
  readonly configurationDeadlineMs: number;
  /** Maximum time for which a revoked key may still be accepted after its removal. */
  readonly revokeDeadlineMs: number;
  /**
   * Maximum share of all requests during a roll-out that may reach a version that turns out bad.
   */
  readonly allowedExposure: number;
  /** Requests that such a version may get beyond that share. */
  readonly exposureSlack: number;
  readonly repeatBudget: RepeatBudgetSettings;
  readonly processLimits: ProcessLimits;
}

export type OperatorDocument =
  | { readonly kind: 'configuration'; readonly configuration: ForwardConfiguration }
  | { readonly kind: 'rollout'; readonly order: RolloutOrder }
  | { readonly kind: 'evacuation'; readonly dataCentre: string };

export interface TableNames {
  /** Written by the operator: configuration and orders. */
  readonly operator: string;
  readonly upstreams: string;
  /** Read by the operator. */
  readonly status: string;
}

export type RenderedRow = Pick<StoreRow, 'key' | 'value'>;

/** Decoders throw `MalformedDocumentError`. */
export interface PlatformAdapter {
  readonly settings: ForwardSettings;
  readonly dialect: HeaderDialect;
  readonly tables: TableNames;
  /** Creates one client per feed, so that a held call never delays another. */
  createStore(onEra?: EraObserver): RowStore;
  /** Undefined for rows that are not relevant. */
  restoreOperatorRow(row: Pick<StoreRow, 'key' | 'value'>): OperatorDocument | undefined;
  /** The service to whose roll-out order the key belongs. */
  getRolloutService(key: string): string | undefined;
  /** The data centre to whose evacuation the key belongs. */
  getEvacuatedDataCentre(key: string): string | undefined;
  restoreUpstream(row: Pick<StoreRow, 'key' | 'value'>): Upstream;
  renderRolloutStatus(status: RolloutStatus): RenderedRow;
  renderRolloutEvidence(evidence: RolloutEvidence): RenderedRow;
  renderPeer(peer: Peer): RenderedRow;
  renderHold(hold: HoldRecord): RenderedRow;
  getHoldKey(digest: RequestDigest): string;
  /** The digest of the held request to which the key belongs. */
  getHeldDigest(key: string): RequestDigest | undefined;
  /** Undefined for rows that are not relevant. */
  restoreStatusRow(row: Pick<StoreRow, 'key' | 'value'>): StatusDocument | undefined;
  /** Reads the settings again; throws if they are invalid. */
  rereadSettings(): ForwardSettings;
}
