/**
 * Version of the program.
 *
 * @module
 */

/** Set by the build; absent when run from source. */
declare const carobquayVersion: string | undefined;

/** Version from the package manifest. */
export const version = typeof carobquayVersion === 'string' ? carobquayVersion : '0.0.0-source';
