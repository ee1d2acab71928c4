/** Gossip topic that compares revisions with each peer and recovers changes whose push was lost. */
import type { GossipTopic, MembershipView } from '@snipehaven/membership';
import { revisionGossipSchema, type Member, type RevisionGossip } from '@snipehaven/protocol';
import type { ConfigurationSettings } from './constants.js';
import type { ContactTracker } from './contactTracker.js';
import { checkFormat } from './restoreChange.js';
import type { ReplicaState } from './replicaState.js';
import type { RevisionReports } from './revisionReports.js';
import type { Synchroniser } from './synchroniser.js';

export interface RevisionTopicOptions {
  readonly state: ReplicaState;
  readonly contact: ContactTracker;
  readonly reports: RevisionReports;
  readonly synchroniser: Synchroniser;
  readonly membership: MembershipView;
  readonly settings: ConfigurationSettings;
  readonly hasConfiguration: () => boolean;
}

export class RevisionTopic implements GossipTopic {
  readonly name = 'revisions';

  readonly #options: RevisionTopicOptions;

  constructor(options: RevisionTopicOptions) {
    this.#options = options;
  }

  getPayload(peer: Member): RevisionGossip {
    const { state, contact, reports, membership, hasConfiguration } = this.#options;
    const isLocal = peer.dataCentre === membership.self.dataCentre;
    const tableAgeMs = contact.getTableAgeMs();
    const others = reports.listRecentReports();
    return {
      revision: state.revision,
      headRevision: state.headRevision,
      hasConfiguration: hasConfiguration(),
      ...(tableAgeMs === undefined ? {} : { tableAgeMs }),
      applied: isLocal ? reports.listRecentlyApplied(state.revision) : [],
      reports: isLocal ? [...others] : [reports.buildOwnReport(state.revision), ...others],
    };
  }

  mergePayload(payload: unknown, from: Member): void {
    const { state, contact, reports, synchroniser, settings } = this.#options;
    const { staleAfterMs } = settings;
    const gossip = checkFormat('gossip', () => revisionGossipSchema.parse(payload));
    const isAhead = gossip.revision > state.revision;
    const { tableAgeMs = Infinity, hasConfiguration } = gossip;
    const isInContact = hasConfiguration && tableAgeMs <= staleAfterMs;
    contact.recordPeerGossip({ isInContact, isAhead, tableAgeMs: gossip.tableAgeMs });
    state.observeHead(Math.max(gossip.revision, gossip.headRevision));
    reports.observeMember(from, gossip.revision);
    reports.observeApplied(gossip.applied);
    gossip.reports.forEach((report) => reports.observeReport(report));
    if (isAhead) {
      synchroniser.startCatchUp(from.address);
    }
  }
}
