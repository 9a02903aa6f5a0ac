/**
 * Creates HTTP clients for listed upstreams.
 *
 * @module
 */
import type {ListedInstance} from '../platform/instance-list.js';
import type {ClosableEngineClient, ClosableServiceClient, UpstreamConnector} from './directory.js';
import {HttpEngine} from './http-engine.js';
import {HttpService} from './http-service.js';

/** Creates clients that reach their upstream over HTTP. */
export class HttpConnector implements UpstreamConnector {
	readonly #inactivityTimeout: number;

	/** @param inactivityTimeout - Time in milliseconds without any byte from an upstream after which a call fails. */
	constructor(inactivityTimeout: number) {
		this.#inactivityTimeout = inactivityTimeout;
	}

	createEngineClient({name, address}: ListedInstance): ClosableEngineClient {
		return new HttpEngine({name, address, inactivityTimeout: this.#inactivityTimeout});
	}

	createServiceClient({name, address}: ListedInstance): ClosableServiceClient {
		return new HttpService({name, address, inactivityTimeout: this.#inactivityTimeout});
	}
}
