/** Wires evidence and roll-outs of one daemon together. */
import type { ActorSystem, Logger, Random } from '@snipehaven/common';
import type { ConfigurationStore, SafeMoves } from '@snipehaven/configuration';
import type { GossipTopic, LeaseKeeper, MembershipView } from '@snipehaven/membership';
import type { RaterClient, TableClient } from '@snipehaven/platform';
import type { RolloutSettings } from '@snipehaven/policy';
import type { EvidenceHandlers, PeerTransport } from '@snipehaven/protocol';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { rolloutSettings } from './constants.js';
import { GrantedRolloutAssigner } from './rollout/grantedRolloutAssigner.js';
import { GuardEvaluator } from './rollout/guardEvaluator.js';
import { RolloutCatalogue } from './rollout/rolloutCatalogue.js';
import { RolloutRunner } from './rollout/rolloutRunner.js';
import { RolloutStates } from './rollout/rolloutStates.js';
import { RolloutTopic } from './rollout/rolloutTopic.js';
import { SharedEvidenceStore } from './sharedEvidenceStore.js';
import type { RolloutReport } from './types.js';

export interface RolloutSystemOptions {
  readonly table: TableClient;
  readonly leases: LeaseKeeper;
  readonly rater: RaterClient;
  readonly transport: PeerTransport;
  readonly membership: MembershipView;
  readonly configuration: Pick<ConfigurationStore, 'getView'>;
  readonly safeMoves: SafeMoves;
  readonly actorSystem: ActorSystem;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly random: Random;
  /** Defaults to the settings in force; tests of the stages alone disable the shadow phase. */
  readonly settings?: RolloutSettings;
}

export class RolloutSystem {
  readonly evidence: SharedEvidenceStore;

  readonly assigner: GrantedRolloutAssigner;

  readonly runner: RolloutRunner;

  /** Gossip topics to register with membership. */
  readonly topics: readonly GossipTopic[];

  constructor(options: RolloutSystemOptions) {
    const { membership } = options;
    const catalogue = new RolloutCatalogue(options.configuration);
    const states = new RolloutStates();
    this.evidence = new SharedEvidenceStore({ ...options, catalogue, states });
    const { ledger, cells } = this.evidence;
    const isRaterUp = (): boolean => this.evidence.isRaterUp();
    const { settings = rolloutSettings } = options;
    const shared = { ...options, catalogue, states, ledger, isRaterUp, settings };
    this.assigner = new GrantedRolloutAssigner({
      ...shared,
      incarnation: membership.self.incarnation,
    });
    this.runner = new RolloutRunner({
      ...shared,
      guard: new GuardEvaluator(cells, states, settings),
    });
    const isDeclared = (rolloutId: string): boolean =>
      catalogue.list().some(({ definition }) => definition.rolloutId === rolloutId);
    this.topics = [this.evidence.topic, new RolloutTopic({ states, membership, isDeclared })];
  }

  /** Handlers for requests of peers. */
  get handlers(): EvidenceHandlers {
    return this.evidence.handlers;
  }

  start(): void {
    this.evidence.start();
    this.runner.start();
  }

  async stop(): Promise<void> {
    this.evidence.stop();
    await this.runner.stop();
  }

  /** Stops without releasing leases, like a killed process. */
  kill(): void {
    this.evidence.stop();
    this.runner.kill();
  }

  listStatus(): readonly RolloutReport[] {
    return this.runner.listStatus();
  }
}
