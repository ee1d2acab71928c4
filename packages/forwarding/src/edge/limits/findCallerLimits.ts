/** Divides the memory and the descriptors of a process among what callers may make it hold. */
import {
  CALLER_SOCKET_SHARE,
  CONNECTION_BYTES,
  FILE_DESCRIPTORS,
  MEMORY_SHARES,
  MIN_CALLER_BYTES,
  OWN_HEAP_BYTES,
  PROCESS_BYTES,
} from './constants.js';
import type { CallerLimits, ProcessLimits } from './types.js';

/** `heapBytes`: the most that the runtime's heap may grow to. */
export const findCallerLimits = (
  { memoryBytes, descriptors }: ProcessLimits,
  heapBytes: number,
): CallerLimits => {
  const callerBytes = Math.max(MIN_CALLER_BYTES, memoryBytes - PROCESS_BYTES);
  const heapForCallers = Math.max(MIN_CALLER_BYTES, heapBytes - OWN_HEAP_BYTES);
  const connectionBytes = Math.min(callerBytes * MEMORY_SHARES.connections, heapForCallers);
  const sockets = Math.max(0, descriptors - FILE_DESCRIPTORS);
  const maxConnections = Math.max(
    1,
    Math.floor(Math.min(connectionBytes / CONNECTION_BYTES, sockets * CALLER_SOCKET_SHARE)),
  );
  return {
    maxConnections,
    maxRequests: maxConnections,
    maxSmallBodyBytes: callerBytes * MEMORY_SHARES.smallBodies,
    maxLargeBodyBytes: callerBytes * MEMORY_SHARES.largeBodies,
    maxHeldAnswerBytes: callerBytes * MEMORY_SHARES.heldAnswers,
    maxUnreadBytes: callerBytes * MEMORY_SHARES.unreadAnswers,
  };
};
