/**
 * Starts the bundled daemon from its compiled code, or a command where one is named. Code of another runtime
 * is refused, and compiled anew.
 */
const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

/**
 * The platform may say that settings changed while the daemon still loads; unheard, that signal ends the
 * process. The daemon reads its settings after this, so nothing is missed.
 */
process.on('SIGHUP', () => {});

/** Words of the process itself: the runtime, this file. */
const OWN_WORDS = 2;
const isDaemon = require.main === module && process.argv.length <= OWN_WORDS;

/**
 * The platform may also stop a process that still loads. Callers are connected by then, so it leaves as a
 * loaded daemon does.
 */
let isStopped = false;
const noteStop = () => {
  isStopped = true;
};
if (isDaemon) {
  process.on('SIGTERM', noteStop);
}

const SOURCE_FILE = join(__dirname, 'daemon.cjs');
const CODE_FILE = join(__dirname, 'daemon.code');
const COMMANDS_FILE = join(__dirname, 'commands.cjs');
const EARLY_FILE = join(__dirname, 'listenEarly.cjs');

const wrap = (file) =>
  `(function (exports, require, module, __filename, __dirname) {${readFileSync(file)}\n})`;

const createScript = () =>
  new Script(wrap(SOURCE_FILE), {
    filename: SOURCE_FILE,
    ...(existsSync(CODE_FILE) ? { cachedData: readFileSync(CODE_FILE) } : {}),
  });

const run = (script) => {
  const program = { exports: {} };
  script.runInThisContext()(program.exports, require, program, SOURCE_FILE, __dirname);
  return program.exports;
};

const runFile = (file) => run(new Script(wrap(file), { filename: file }));

/** From here on the signal has the daemon's handler or, if there is none, its default action. */
const handOverStop = () => {
  process.off('SIGTERM', noteStop);
  if (isStopped) {
    process.kill(process.pid, 'SIGTERM');
  }
};

/** The listener is there after this turn of the event loop, in the middle of which nothing else is loaded. */
const serve = () => {
  if (existsSync(EARLY_FILE)) {
    runFile(EARLY_FILE).listenEarly();
  }
  setImmediate(() => {
    run(createScript());
    handOverStop();
  });
};

module.exports = { createScript, run };

if (isDaemon) {
  serve();
} else if (require.main === module) {
  runFile(COMMANDS_FILE);
}
