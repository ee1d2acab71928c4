/** The daemon's program. */
import { createDaemonCli } from './serveCommand.js';

process.exitCode = await createDaemonCli().run(process.argv.slice(2));
process.exit();
