/** Presents withdrawals, which are safe moves, to operators as resources. */
import type { ConfigurationView, Kind, Resource, WithdrawalSpec } from '@snipehaven/resources';
import { ConfigurationConflictError } from './errors.js';
import type { RemoveOptions, SafeMoves, SafeMoveStatus } from './types.js';

const KIND = 'Withdrawal';
const PREFIX = 'withdraw/';
const DEFAULT_BY = 'operator';

/**
 * Converts a safe move to a Withdrawal resource, whose version is the generation of the safe move.
 */
export const toWithdrawal = ({ move }: SafeMoveStatus): Resource<typeof KIND> => ({
  kind: KIND,
  metadata: {
    name: move.key.slice(PREFIX.length),
    uid: move.key,
    resourceVersion: move.generation,
    generation: move.generation,
    createdAtMs: move.atMs,
    updatedAtMs: move.atMs,
  },
  spec: { isWithdrawn: move.isActive, reason: move.reason },
});

const listWithdrawals = (safeMoves: SafeMoves): readonly Resource<typeof KIND>[] =>
  safeMoves
    .list()
    .filter(({ move }) => move.isActive && move.key.startsWith(PREFIX))
    .map(toWithdrawal);

const findWithdrawal = (safeMoves: SafeMoves, name: string): Resource<typeof KIND> | undefined =>
  listWithdrawals(safeMoves).find(({ metadata }) => metadata.name === name);

const lift = async (
  safeMoves: SafeMoves,
  name: string,
  reason: string,
  { resourceVersion, by }: RemoveOptions,
): Promise<SafeMoveStatus> => {
  const present = findWithdrawal(safeMoves, name);
  if (resourceVersion !== undefined && resourceVersion !== present?.metadata.resourceVersion) {
    throw new ConfigurationConflictError(KIND, name, resourceVersion, present);
  }
  return safeMoves.lift('withdraw', name, reason, by ?? DEFAULT_BY);
};

const buildDryRun = (name: string, isActive: boolean, reason: string): SafeMoveStatus['move'] => ({
  key: `${PREFIX}${name}`,
  generation: 1,
  isActive,
  reason,
  by: DEFAULT_BY,
  atMs: Date.now(),
});

/**
 * Applies a Withdrawal manifest: activates the withdrawal, or lifts it if `isWithdrawn` is false.
 * Activating ignores an outdated resourceVersion, because a withdrawal must not wait until the
 * operator has read the resource again.
 */
export const applyWithdrawal = async (
  safeMoves: SafeMoves,
  name: string,
  { isWithdrawn, reason }: WithdrawalSpec,
  options: RemoveOptions,
): Promise<Resource<typeof KIND>> => {
  if (options.isDryRun) {
    return toWithdrawal({ move: buildDryRun(name, isWithdrawn, reason), durability: 'durable' });
  }
  const status = isWithdrawn
    ? await safeMoves.activate('withdraw', name, reason, options.by ?? DEFAULT_BY)
    : await lift(safeMoves, name, reason, options);
  return toWithdrawal(status);
};

/** Lifts the withdrawal. */
export const removeWithdrawal = async (
  safeMoves: SafeMoves,
  name: string,
  options: RemoveOptions,
): Promise<void> => {
  if (!options.isDryRun) {
    await lift(safeMoves, name, 'deleted', options);
  }
};

/** Adds the active withdrawals to the view as resources. */
export const withWithdrawals = (
  view: ConfigurationView,
  safeMoves: SafeMoves,
): ConfigurationView => ({
  revision: view.revision,
  get: <K extends Kind>(kind: K, name: string) =>
    kind === KIND
      ? (findWithdrawal(safeMoves, name) as Resource<K> | undefined)
      : view.get(kind, name),
  list: <K extends Kind>(kind: K) =>
    kind === KIND
      ? (listWithdrawals(safeMoves) as unknown as readonly Resource<K>[])
      : view.list(kind),
});
