/** Of prom-client, what the daemon uses: without pushing to a gateway, clusters and the runtime's own figures. */
const Counter = require('../node_modules/prom-client/lib/counter');
const Gauge = require('../node_modules/prom-client/lib/gauge');
const Registry = require('../node_modules/prom-client/lib/registry');

module.exports = { Counter, Gauge, Registry };
