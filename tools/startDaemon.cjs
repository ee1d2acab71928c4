/** Starts the bundled daemon from its compiled code. Code of another runtime is refused, and compiled anew. */
const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

/**
 * The platform may say that settings changed while the daemon still loads; unheard, that signal ends the
 * process. The daemon reads its settings after this, so nothing is missed.
 */
process.on('SIGHUP', () => {});

const SOURCE_FILE = join(__dirname, 'daemon.cjs');
const CODE_FILE = join(__dirname, 'daemon.code');

const createScript = () =>
  new Script(
    `(function (exports, require, module, __filename, __dirname) {${readFileSync(SOURCE_FILE)}\n})`,
    {
      filename: SOURCE_FILE,
      ...(existsSync(CODE_FILE) ? { cachedData: readFileSync(CODE_FILE) } : {}),
    },
  );

const run = (script) => {
  const daemon = { exports: {} };
  script.runInThisContext()(daemon.exports, require, daemon, SOURCE_FILE, __dirname);
};

module.exports = { createScript, run };

if (require.main === module) {
  run(createScript());
}
