/**
 * Ports of the instances.
 *
 * @module
 */

/** Ports of all instances; each has an address of its own. */
export const ports = {callers: 18_080, readiness: 18_081, internal: 18_090};
