/** Answers of the API as the daemon gives them. */

const inForce = { revision: 7, totalDaemons: 2, appliedDaemons: 2, minRevision: 7, behind: [] };

const conditions = [{ type: 'InForce', status: 'true', message: '2/2 at revision 7' }];

/** A model as stored. */
export const createModelReply = (name: string, resourceVersion: number, description = 'a') => ({
  kind: 'Model',
  metadata: {
    name,
    uid: 'uid',
    resourceVersion,
    generation: 1,
    createdAtMs: 0,
    updatedAtMs: 0,
  },
  spec: { description },
  status: { observedGeneration: 1, conditions, inForce },
});

/** The answer to an apply of a model. */
export const createApplyReply = (action: string, name: string, isDryRun = false) => ({
  action,
  isDryRun,
  resource: createModelReply(name, 7),
  differences: action === 'changed' ? [{ path: 'spec.description', present: 'a', sent: 'b' }] : [],
});

/** The state of the configuration; `status` is that of the InForce condition. */
export const createStatusReply = (status: string) => ({
  vm: 'entry-1',
  dataCentre: 'dc-a',
  revision: 7,
  headRevision: 7,
  isStale: false,
  inForce,
  conditions: [{ type: 'InForce', status, message: '1/2 at revision 7; behind: entry-2#1' }],
  safeMoves: [{ move: createMove('withdraw/small@3', 1), durability: 'notDurableYet' }],
});

/** A safe move. */
export const createMove = (key: string, generation: number) => ({
  key,
  generation,
  isActive: true,
  reason: 'wrong filings',
  by: 'alice',
  atMs: 0,
});

/** A roll-out under way. */
export const createRollout = (name: string, phase: string) => ({
  name,
  model: 'small',
  stableVersion: 'small@3',
  candidateVersion: 'small@4',
  phase,
  stage: 1,
  stageCount: 3,
  sharePct: 25,
  stageRatings: 10,
  minRatings: 20,
  exposedCount: 40,
  unjudgedCount: 5,
  exposureBudget: 20,
  candidateRating: 0.9,
  stableRating: 0.88,
  reason: '',
});

/** An event of a request. */
export const createEvent = (vm: string, seq: number, wallMs: number) => ({
  at: { wallMs, counter: 0 },
  vm,
  dataCentre: 'dc-a',
  incarnation: `${vm}#1`,
  seq,
  type: 'requestAdmitted',
  subject: { requestId: 'r-1', version: 'small@3' },
  detail: { step: seq },
});

/** The data of a report; the name stands wherever a name can. */
export const createReport = (name: string) => ({
  generatedAtMs: 3_600_000,
  fromMs: 0,
  untilMs: 3_600_000,
  bucketMs: 1_800_000,
  billing: [
    {
      team: name,
      version: name,
      requests: 3,
      promptTokens: 30,
      completionTokens: 60,
      costMicroUsd: 1_500_000,
    },
  ],
  teams: [{ name, requests: [1, 2], costMicroUsd: [500_000, 1_000_000] }],
  versions: [{ name, requests: [1, 2], costMicroUsd: [500_000, 1_000_000] }],
  latency: [
    {
      team: name,
      version: name,
      answers: 3,
      firstTokenP50Ms: 120,
      firstTokenP95Ms: 300,
      totalP50Ms: 900,
      totalP95Ms: 1_500,
    },
  ],
  rollouts: [createRollout(name, 'running')],
  blockedVersions: [name],
});
