/**
 * Calls back once all that had reached this process by now was read. Sockets are read one after the other,
 * and a request before the end of its connection: whoever acts at once does not know yet what lies behind
 * it. The event loop reads between two turns of immediates.
 */
export const afterPendingReads = (callback: () => void): void => {
  setImmediate(() => {
    setImmediate(callback);
  });
};
