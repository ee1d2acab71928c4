/** The configuration in force. It is replaced as a whole, and never by an older version. */
import type { Logger } from '@snipehaven/common';
import type { ForwardConfiguration } from '../types.js';
import { Freshness } from './freshness.js';
import { StoreClock } from './storeClock.js';
import { RouteTable } from './routeTable.js';

export type ConfigurationListener = (table: RouteTable) => void;

export class ConfigurationHolder {
  readonly freshness: Freshness;

  readonly #logger: Logger;

  readonly #listeners: ConfigurationListener[] = [];

  #table: RouteTable | undefined;

  constructor(logger: Logger, clock: StoreClock = new StoreClock()) {
    this.#logger = logger;
    this.freshness = new Freshness(clock);
  }

  /** Undefined before the first configuration. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  onChange(listener: ConfigurationListener): void {
    this.#listeners.push(listener);
  }

  /** Ignores a configuration that is not newer than the present one. */
  apply(configuration: ForwardConfiguration): void {
    const present = this.#table?.configuration.version ?? -1;
    if (configuration.version <= present) {
      return;
    }
    const table = new RouteTable(configuration);
    this.#table = table;
    this.#logger.info(
      { event: 'configurationInForce', version: configuration.version, before: present },
      'configuration in force',
    );
    this.#listeners.forEach((listener) => listener(table));
  }
}
