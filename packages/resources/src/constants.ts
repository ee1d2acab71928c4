/** Names and bounds that resources share. */

export const API_VERSION = 'snipehaven/v1';

/** The task of a request that names none. */
export const DEFAULT_TASK = 'default';

/** In `allowedVersions`: every version of a model. */
export const ANY_VERSION = '*';

export const MAX_NAME_LENGTH = 63;
export const MAX_PRIORITY = 9;
export const DEFAULT_PRIORITY = 5;
