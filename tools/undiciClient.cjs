/**
 * Of undici, what the daemon uses: its client with `dispatch` and `request`, without `fetch`, web sockets,
 * caches and mocks.
 */
const request = require('../node_modules/undici/lib/api/api-request');
const Client = require('../node_modules/undici/lib/dispatcher/client');

Client.prototype.request = request;

module.exports = { Client };
