/** Where the processes of a deployment listen, all on loopback. */

/** One entry VM of the demo. */
export interface EntryVm {
  readonly name: string;
  readonly dataCentre: string;
  readonly address: string;
}

export const CALLERS_PORT = 8_080;
export const OPERATORS_PORT = 8_081;
export const PEERS_PORT = 7_000;

const FIRST_SUBNET = 16;
const SUBNETS = 220;
const STANDINS_HOST = 250;

/** A loopback network for this process alone, so that several runs do not meet. */
export const getNetwork = (pid: number): string => `127.${FIRST_SUBNET + (pid % SUBNETS)}`;

/** Where the stand-ins listen. */
export const getStandinsAddress = (network: string): string => `${network}.${STANDINS_HOST}.1`;

/** The entry VMs: `perDataCentre` in each data centre. */
export const listEntryVms = (
  network: string,
  dataCentres: readonly string[],
  perDataCentre: number,
): readonly EntryVm[] =>
  dataCentres.flatMap((dataCentre, place) =>
    Array.from({ length: perDataCentre }, (_, index) => ({
      name: `entry-${dataCentre}-${index + 1}`,
      dataCentre,
      address: `${network}.${place + 1}.${index + 1}`,
    })),
  );
