/**
 * Who is told of the admission and the end of requests.
 *
 * @module
 */
import type {RequestMetadata} from '../request/request-lifecycle.js';
import type {RequestEnding} from './record.js';

/** How a request ended, as its handler knows it. */
export type ObservedEnding = Omit<RequestEnding, 'endedAt'>;

/** Told of what was promised and how it ended. */
export interface RequestObserver {
	/**
	 * @param deferred - Whether the request was accepted durably to be fetched later.
	 * @param admittedAt - Wall-clock time in milliseconds; now unless another instance admitted the request.
	 */
	admitted(terms: RequestMetadata, deferred: boolean, admittedAt?: number): void;
	/** Requests that were never admitted are told of too. */
	ended(terms: RequestMetadata, ending: ObservedEnding): void;
	/** Another instance has taken the request over and tells of its end. */
	left(terms: RequestMetadata): void;
}
