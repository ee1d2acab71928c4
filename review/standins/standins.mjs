/** What the scripts of the review use. */
export * from './http.mjs';
export * from './upstream.mjs';
export * from './world.mjs';
