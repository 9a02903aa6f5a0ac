/**
 * Makes clients of listed upstreams that speak HTTP.
 *
 * @module
 */
import type {ListedInstance} from '../platform/instance-list.js';
import type {ClosableEngine, ClosableService, UpstreamConnector} from './directory.js';
import {HttpEngine} from './http-engine.js';
import {HttpService} from './http-service.js';

/** Connects over HTTP. */
export class HttpConnector implements UpstreamConnector {
	readonly #inactivityTimeout: number;

	/** @param silence - Longest silence of an upstream on an open answer, in milliseconds. */
	constructor(silence: number) {
		this.#inactivityTimeout = silence;
	}

	engine({name, address}: ListedInstance): ClosableEngine {
		return new HttpEngine({name, address, inactivityTimeout: this.#inactivityTimeout});
	}

	service({name, address}: ListedInstance): ClosableService {
		return new HttpService({name, address, inactivityTimeout: this.#inactivityTimeout});
	}
}
