/** Status of the system as tables. */
import type {
  BillingRow,
  FieldDoc,
  LatencyRow,
  RequestReply,
  RolloutStatus,
  StatusReply,
} from '../api/schemas.js';
import { formatTable, toPrintable } from './formatTable.js';
import { formatRating, formatTime, formatUsd } from './units.js';

const BAR_WIDTH = 20;

/** A bar of the part done, between 0 and 1. */
const formatBar = (part: number): string => {
  const filled = Math.round(Math.min(1, Math.max(0, part)) * BAR_WIDTH);
  return `[${'#'.repeat(filled)}${'.'.repeat(BAR_WIDTH - filled)}]`;
};

const getRolloutProgress = ({
  phase,
  stage,
  stageCount,
  stageRatings,
  minRatings,
}: RolloutStatus) =>
  phase === 'finished'
    ? 1
    : (stage + Math.min(1, stageRatings / Math.max(1, minRatings))) / Math.max(1, stageCount);

const toRolloutRow = (rollout: RolloutStatus): readonly unknown[] => [
  rollout.name,
  `${rollout.stableVersion} -> ${rollout.candidateVersion}`,
  rollout.phase,
  `${rollout.stage + 1}/${rollout.stageCount}`,
  `${rollout.sharePct}%`,
  formatBar(getRolloutProgress(rollout)),
  `${rollout.stageRatings}/${rollout.minRatings}`,
  rollout.exposedCount,
  `${rollout.unjudgedCount}/${rollout.exposureBudget}`,
  `${formatRating(rollout.candidateRating)} vs ${formatRating(rollout.stableRating)}`,
  rollout.reason,
];

/** One row a roll-out, with progress and exposure. */
export const formatRollouts = (rollouts: readonly RolloutStatus[]): string =>
  formatTable(
    [
      'ROLLOUT',
      'VERSIONS',
      'PHASE',
      'STAGE',
      'SHARE',
      'PROGRESS',
      'RATINGS',
      'EXPOSED',
      'UNJUDGED',
      'RATING',
      'REASON',
    ],
    rollouts.map(toRolloutRow),
    'no roll-out is under way',
  );

const formatMarks = (status: StatusReply): string =>
  formatTable(
    ['MARK', 'GENERATION', 'BY', 'SINCE', 'DURABILITY', 'REASON'],
    status.safeMoves
      .filter(({ move }) => move.isActive)
      .map(({ move, durability }) => [
        move.key,
        move.generation,
        move.by,
        formatTime(move.atMs),
        durability,
        move.reason,
      ]),
    'no version or upstream is marked',
  );

/** The state of the configuration, and the marks in force. */
export const formatStatus = (status: StatusReply): string => {
  const head = `${status.vm} in ${status.dataCentre}: revision ${status.revision}, heard of ${status.headRevision}\n`;
  const conditions = formatTable(
    ['CONDITION', 'STATUS', 'MESSAGE'],
    status.conditions.map(({ type, status: is, message }) => [type, is, message]),
  );
  return `${toPrintable(head.trim())}\n\n${conditions}\n${formatMarks(status)}`;
};

/** One row a team and version, and the sum of the costs; a cascade's request stands in two rows. */
export const formatBilling = (rows: readonly BillingRow[]): string => {
  const total = rows.reduce((sum, row) => sum + row.costMicroUsd, 0);
  const cells = rows.map((row) => [
    row.team,
    row.version,
    row.requests,
    row.promptTokens,
    row.completionTokens,
    formatUsd(row.costMicroUsd),
  ]);
  const sum = ['all', '', '', '', '', formatUsd(total)];
  const headings = ['TEAM', 'VERSION', 'REQUESTS', 'PROMPT TOKENS', 'ANSWER TOKENS', 'COST'];
  return formatTable(headings, rows.length === 0 ? [] : [...cells, sum]);
};

/** One row a team and version. */
export const formatLatency = (rows: readonly LatencyRow[]): string =>
  formatTable(
    ['TEAM', 'VERSION', 'ANSWERS', 'FIRST P50 MS', 'FIRST P95 MS', 'TOTAL P50 MS', 'TOTAL P95 MS'],
    rows.map((row) => [
      row.team,
      row.version,
      row.answers,
      Math.round(row.firstTokenP50Ms),
      Math.round(row.firstTokenP95Ms),
      Math.round(row.totalP50Ms),
      Math.round(row.totalP95Ms),
    ]),
    'no answers measured',
  );

const formatBill = ({ bill }: RequestReply): string => {
  if (bill === undefined) {
    return 'not billed (yet)\n';
  }
  const lines = bill.lines.map((line) => [
    line.version,
    line.upstream,
    line.promptTokens,
    line.completionTokens,
    formatUsd(line.costMicroUsd),
  ]);
  const head = `billed ${formatUsd(bill.costMicroUsd)}, ${bill.outcome}, settled by ${bill.settledBy}`;
  const table = formatTable(['VERSION', 'UPSTREAM', 'PROMPT', 'ANSWER', 'COST'], lines);
  return `${toPrintable(head)}${bill.isAdopted ? ' (adopted)' : ''}\n${table}`;
};

/** Everything about one request but its events. */
export const formatRequest = (request: RequestReply): string => {
  const facts = [
    `request ${request.requestId}`,
    `team ${request.team}${request.session === undefined ? '' : `, session ${request.session}`}`,
    `daemons ${request.vms.join(', ')}`,
    `plan ${request.plan}`,
    `verdict ${request.verdict}`,
  ].map((fact) => `${toPrintable(fact)}\n`);
  const attempts = formatTable(
    ['ATTEMPT AT', 'VERSION', 'UPSTREAM', 'OUTCOME'],
    request.attempts.map((attempt) => [
      formatTime(attempt.startedAtMs),
      attempt.version,
      attempt.upstream,
      attempt.outcome,
    ]),
  );
  return `${facts.join('')}\n${attempts}\n${formatBill(request)}`;
};

const formatDefault = (field: FieldDoc): string => {
  if (field.default !== undefined) {
    return JSON.stringify(field.default);
  }
  return field.isRequired ? '(required)' : '';
};

/** One row a field. */
export const formatFields = (fields: readonly FieldDoc[]): string =>
  formatTable(
    ['FIELD', 'TYPE', 'DEFAULT', 'RULES', 'MEANING'],
    fields.map((field) => [
      field.path,
      field.type,
      formatDefault(field),
      field.rules.join(', '),
      field.description,
    ]),
  );
