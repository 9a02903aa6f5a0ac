/**
 * Who is told of the admission and the end of requests.
 *
 * @module
 */
import type {RequestTerms} from '../request/life.js';
import type {RequestEnding} from './record.js';

/** How a request ended, as its handler knows it. */
export type ObservedEnding = Omit<RequestEnding, 'endedAt'>;

/** Told of what was promised and how it ended. */
export interface RequestObserver {
	/** @param deferred - Whether the request was accepted durably to be fetched later. */
	admitted(terms: RequestTerms, deferred: boolean): void;
	/** Requests that were never admitted are told of too. */
	ended(terms: RequestTerms, ending: ObservedEnding): void;
}
