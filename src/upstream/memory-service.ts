/**
 * Simulated plain service in the same process, with injected faults like those of a service across a network.
 *
 * @module
 */
import {CarobquayError, errorMessage} from '../errors/errors.js';
import {Faults} from '../stand-in/faults.js';
import {ServiceHost, type ServiceHostOptions} from '../stand-in/service/service-host.js';
import {InjectedRefusal, MemoryTransport} from './memory-transport.js';
import type {
	ServiceAnswer, ServiceClient, ServiceLoad, ServiceRequest,
} from './service.js';

/** Options of an in-memory service. */
export type MemoryServiceOptions = ServiceHostOptions & {
	name: string;
	/**
	 * Time in milliseconds without any message after which a call fails with error 4004.
	 * @default 10_000
	 */
	inactivityTimeout?: number;
	/**
	 * Faults to inject.
	 * @default no faults
	 */
	faults?: Faults;
};

/** In-memory service and its client in one. */
export class MemoryService implements ServiceClient {
	readonly name: string;
	readonly faults: Faults;
	/** The running service, for inspecting its effects and for marking it as leaving. */
	readonly host: ServiceHost;
	readonly #inactivityTimeout: number;
	readonly #transport: MemoryTransport;

	constructor(options: MemoryServiceOptions) {
		const {name, faults = new Faults(), inactivityTimeout = 10_000} = options;
		this.name = name;
		this.faults = faults;
		this.host = new ServiceHost(options, async () => faults.thawed());
		this.#inactivityTimeout = inactivityTimeout;
		this.#transport = new MemoryTransport({
			name, faults, inactivityTimeout, toError: error => new CarobquayError('4003', {message: `service "${name}" failed: ${errorMessage(error)}`, cause: error}),
		});
	}

	async call({timeRemaining, ...call}: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
		try {
			return await this.#transport.call(async () => this.host.perform(call), {signal, inactivityTimeout: Math.min(this.#inactivityTimeout, timeRemaining)});
		} catch (error) {
			if (error instanceof InjectedRefusal) {
				return {
					requestId: call.requestId, attempt: call.attempt, status: error.status, contentType: undefined, body: new Uint8Array(),
				};
			}

			throw error;
		}
	}

	async fetchLoad(signal?: AbortSignal): Promise<ServiceLoad> {
		return this.#transport.call(() => this.host.load(), {signal});
	}

	/** Removes all injected faults. */
	async close(): Promise<void> {
		this.faults.clear();
	}
}
