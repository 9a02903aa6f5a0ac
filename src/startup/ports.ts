/**
 * Opens the ports of an instance, one after the other, and waits for those that are taken.
 *
 * @module
 */
import type net from 'node:net';
import {once} from 'node:events';
import {CarobquayError, errorMessage} from '../errors/errors.js';
import type {EventLog} from '../telemetry/log.js';
import {defaultStartLimit, repeatUntilSuccess} from './repeated-attempt.js';

/** A port to open. */
export type Port = {
	/** What it is for. */
	name: string;
	host: string;
	port: number;
	transport: 'tcp' | 'udp';
	/** @throws the error of the socket. May be called again then. */
	open: () => Promise<void>;
};

/** Options of `openPorts`. */
export type OpenPortsOptions = {
	log: EventLog;
	/**
	 * Time in milliseconds for which one that is taken is waited for, all together.
	 * @default 30000
	 */
	timeLimit: number | undefined;
	/** Ends the waits. */
	signal: AbortSignal;
};

/** Errors of an address that another process may give up, or that the machine has not got yet. */
const temporaryCodes: ReadonlySet<unknown> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/** Shortest time in milliseconds between two lines about connections that a port could not accept. */
const acceptLogInterval = 1000;

/** @throws {CarobquayError} 7004 if a port cannot be opened, or the reason of the signal. */
export async function openPorts(ports: readonly Port[], {log, timeLimit = defaultStartLimit, signal}: OpenPortsOptions): Promise<void> {
	const deadline = performance.now() + timeLimit;
	for (const {name, host, port, transport, open} of ports) {
		try {
			// eslint-disable-next-line no-await-in-loop
			await repeatUntilSuccess({
				attempt: open, isTemporary: error => temporaryCodes.has(errorCode(error)), timeLimit: deadline - performance.now(), signal, onFailure(error) {
					log.warn('instance.port-unavailable', {
						port_for: name, address: `${host}:${port}`, transport, code: errorCode(error), reason: errorMessage(error), waits_ms: Math.round(deadline - performance.now()),
					});
				},
			});
		} catch (error) {
			signal.throwIfAborted();
			throw new CarobquayError('7004', {
				message: `port for ${name} (${transport} ${host}:${port}) should be free within ${timeLimit} ms, found ${errorMessage(error)}`, cause: error,
			});
		}
	}

	signal.throwIfAborted();
}

/** Opens a server. A connection that cannot be accepted later on leaves it open. @throws the error of the socket; it may be opened again then. */
export async function openServer(server: net.Server, address: {host: string; port: number; backlog?: number}, log: EventLog): Promise<void> {
	const opened = once(server, 'listening');
	server.listen(address);
	await opened;
	let lastLoggedAt = Number.NEGATIVE_INFINITY;
	server.on('error', error => {
		if (performance.now() - lastLoggedAt >= acceptLogInterval) {
			lastLoggedAt = performance.now();
			log.warn('connection.not-accepted', {address: `${address.host}:${address.port}`, reason: error.message});
		}
	});
}

function errorCode(error: unknown): string | undefined {
	return error instanceof Error && 'code' in error && typeof error.code === 'string' ? error.code : undefined;
}
