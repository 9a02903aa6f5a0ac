/**
 * A plain service in the same process, with the faults of one across a network.
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

/** Settings of a service in memory. */
export type MemoryServiceOptions = ServiceHostOptions & {
	name: string;
	/**
	 * Time in milliseconds without any message after which a call counts as silent.
	 * @default 10_000
	 */
	inactivityTimeout?: number;
	/**
	 * Faults to show.
	 * @default no faults
	 */
	faults?: Faults;
};

/** A service in memory. */
export class MemoryService implements ServiceClient {
	readonly name: string;
	readonly faults: Faults;
	/** The service itself, for looking at its effects and for telling it to leave. */
	readonly host: ServiceHost;
	readonly #inactivityTimeout: number;
	readonly #transport: MemoryTransport;

	constructor(options: MemoryServiceOptions) {
		const {name, faults = new Faults(), inactivityTimeout: silenceLimit = 10_000} = options;
		this.name = name;
		this.faults = faults;
		this.host = new ServiceHost(options, async () => faults.thawed());
		this.#inactivityTimeout = silenceLimit;
		this.#transport = new MemoryTransport({
			name, faults, inactivityTimeout: silenceLimit, toError: error => new CarobquayError('4003', {message: `service "${name}" failed: ${errorMessage(error)}`, cause: error}),
		});
	}

	async call({timeRemaining: deadline, ...call}: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
		try {
			return await this.#transport.call(async () => this.host.perform(call), {signal, silenceLimit: Math.min(this.#inactivityTimeout, deadline)});
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

	/** Ends all faults. */
	async close(): Promise<void> {
		this.faults.clear();
	}
}
