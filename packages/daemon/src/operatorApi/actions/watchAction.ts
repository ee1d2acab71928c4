/** Watches the configuration and the safe moves as a stream of JSON lines. */
import { restoreKind, restoreQuery, watchQuerySchema } from '../queries.js';
import { OperatorApiError } from '../errors.js';
import { MAX_WATCHES } from '../constants.js';
import { WatchStream } from '../watchStream.js';
import type { OperatorAction, OperatorDependencies } from '../types.js';

const openWatches = new WeakMap<OperatorDependencies, Set<WatchStream>>();

const getOpenWatches = (dependencies: OperatorDependencies): Set<WatchStream> => {
  const open = openWatches.get(dependencies) ?? new Set();
  openWatches.set(dependencies, open);
  return open;
};

const requireRoom = (open: ReadonlySet<WatchStream>): void => {
  if (open.size >= MAX_WATCHES) {
    throw new OperatorApiError('too_many_watches', `${MAX_WATCHES} watches are open here`);
  }
};

/**
 * Streams every change after the asked revision, then each new one. Answers 410 where this daemon
 * no longer keeps the history: the watcher lists again and watches from that revision.
 */
export const watch: OperatorAction = async ({ dependencies, query, response }) => {
  const { afterRevision, kind } = restoreQuery(watchQuerySchema, query);
  const open = getOpenWatches(dependencies);
  requireRoom(open);
  const { revision } = dependencies.configuration.getView();
  const changes = dependencies.configuration.listChanges(afterRevision ?? revision);
  if (changes === undefined) {
    throw new OperatorApiError('history_gone', 'changes that old are gone; list and watch again', {
      revision,
    });
  }
  const stream = new WatchStream(dependencies, response, {
    cursor: afterRevision ?? revision,
    ...(kind === undefined ? {} : { kind: restoreKind(kind) }),
  });
  open.add(stream);
  stream.start(changes, () => open.delete(stream));
  return { type: 'stream' };
};
