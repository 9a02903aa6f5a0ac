/**
 * Ports of the instances.
 *
 * @module
 */
import type {PortName} from './flood-faults.js';

/** Ports of all instances; each has an address of its own. */
export const ports = {callers: 18_080, readiness: 18_081, internal: 18_090};

/** Port of the metrics, where a process serves them. */
export const metricsPort = 18_095;

export function portOf(name: PortName): number {
	const numbers: Readonly<Record<PortName, number>> = {
		callers: ports.callers, readiness: ports.readiness, metrics: metricsPort, peers: ports.internal, relay: ports.internal + 1,
	};
	return numbers[name];
}
