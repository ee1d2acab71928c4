/**
 * In place of the runtime's assertions, of which the bundled libraries use the plain call. Where that has no message,
 * the runtime parses the source around the call for one, and in a bundle this takes seconds.
 */
class AssertionError extends Error {
  code = 'ERR_ASSERTION';

  constructor(message) {
    super(message);
    this.name = 'AssertionError';
  }
}

const assert = (isTrue, message = 'a library found an unexpected state') => {
  if (!isTrue) {
    throw message instanceof Error ? message : new AssertionError(message);
  }
};

module.exports = Object.assign(assert, { ok: assert, AssertionError });
