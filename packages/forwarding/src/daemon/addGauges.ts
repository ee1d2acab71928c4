/** Gauges of a daemon's current state. */
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import type { ForwardMetrics, FrontServer } from '../edge/index.js';
import type { PeerExchange } from '../peers/index.js';
import type { EventMemory } from '../runs/index.js';
import type { StoreEra, TableWatcher } from '../store/index.js';
import type { UpstreamDirectory } from '../upstreams/index.js';

export interface GaugeSources {
  readonly exchange: PeerExchange;
  readonly directory: UpstreamDirectory;
  readonly front: FrontServer;
  readonly configuration: ConfigurationHolder;
  readonly storeEra: StoreEra;
  readonly eventMemory: EventMemory;
  readonly watchers: readonly TableWatcher[];
}

export const addGauges = (
  metrics: ForwardMetrics,
  { exchange, directory, front, configuration, storeEra, eventMemory, watchers }: GaugeSources,
): void => {
  metrics.addGauge(
    'snipehaven_daemons_known',
    'Daemons that this one knows, itself among them.',
    () => exchange.daemons,
  );
  metrics.addGauge(
    'snipehaven_data_centres_evacuated',
    'Data centres to whose upstreams nothing is sent.',
    () => directory.evacuated.length,
  );
  metrics.addGauge(
    'snipehaven_upstreams_rate_limited',
    'Upstreams whose answers name a limit of the request rate.',
    () =>
      [...directory.entries].filter(({ rateLimit }) => rateLimit.requestsPerS !== undefined).length,
  );
  metrics.addGauge(
    'snipehaven_upstreams_leaving',
    'Listed upstreams whose answers say that they are leaving.',
    () =>
      [...directory.entries].filter(({ statements }) => statements.leavingSinceMs !== undefined)
        .length,
  );
  metrics.addGauge(
    'snipehaven_long_event_bytes',
    'Bytes that streams hold of incomplete events beyond what each has of its own.',
    () => eventMemory.sharedBytes,
  );
  metrics.addGauge('snipehaven_in_flight', 'Requests in flight.', () => front.inFlight);
  metrics.addGauge(
    'snipehaven_caller_connections',
    'Open connections of callers.',
    () => front.connections,
  );
  metrics.addGauge(
    'snipehaven_request_body_bytes',
    'Bytes of request bodies that are held.',
    () => front.bodyBytes,
  );
  metrics.addGauge(
    'snipehaven_unread_answer_bytes',
    'Bytes of answers that wait for their callers to read them.',
    () => front.unreadBytes,
  );
  metrics.addGauge(
    'snipehaven_configuration_version',
    'Version of the configuration in force.',
    () => configuration.table?.configuration.version ?? 0,
  );
  metrics.addGauge(
    'snipehaven_configuration_age_ms',
    'Time since the configuration was confirmed.',
    () => configuration.freshness.ageMs,
  );
  metrics.addGauge(
    'snipehaven_store_era',
    'Newest era of the store that this daemon knows of.',
    () => storeEra.newest,
  );
  metrics.addGaugeByTable(
    'snipehaven_table_era',
    'Era of the store at which this daemon knows the table.',
    () => watchers.map(({ table, revision }) => ({ table, value: revision.era })),
  );
  metrics.addGaugeByTable(
    'snipehaven_table_version',
    'Version of the store at which this daemon knows the table.',
    () => watchers.map(({ table, revision }) => ({ table, value: revision.version })),
  );
};
