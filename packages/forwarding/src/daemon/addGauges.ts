/** Gauges of a daemon's current state. */
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import type { ForwardMetrics, FrontServer } from '../edge/index.js';
import type { PeerExchange } from '../peers/index.js';
import type { UpstreamDirectory } from '../upstreams/index.js';

export interface GaugeSources {
  readonly exchange: PeerExchange;
  readonly directory: UpstreamDirectory;
  readonly front: FrontServer;
  readonly configuration: ConfigurationHolder;
}

export const addGauges = (
  metrics: ForwardMetrics,
  { exchange, directory, front, configuration }: GaugeSources,
): void => {
  metrics.addGauge(
    'snipehaven_daemons_known',
    'Number of known daemons, including this one.',
    () => exchange.daemons,
  );
  metrics.addGauge(
    'snipehaven_data_centres_evacuated',
    'Number of evacuated data centres, whose upstreams receive no requests.',
    () => directory.evacuated.length,
  );
  metrics.addGauge('snipehaven_in_flight', 'Requests in flight.', () => front.inFlight);
  metrics.addGauge(
    'snipehaven_configuration_version',
    'Version of the configuration in force.',
    () => configuration.table?.configuration.version ?? 0,
  );
  metrics.addGauge(
    'snipehaven_configuration_age_ms',
    'Time in ms since the configuration was last confirmed.',
    () => configuration.freshness.ageMs,
  );
};
